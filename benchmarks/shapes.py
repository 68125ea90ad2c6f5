"""Sizes and timing of the measured fleets, and their configuration documents."""

from __future__ import annotations

import msgspec

from demo.fleet import BACKEND_HOST, FIRST_BACKEND_PORT, listed_hosts
from fighinge.configuration.base import ListedHost
from standins.records import shard_map

QUERY_CLASSES = {
    "desk": {"weight": 8, "rank": 0},
    "batch": {"weight": 1, "rank": 9},
}


class FleetShape(msgspec.Struct, frozen=True, kw_only=True):
    """Size and timing of a fleet; ``replicas`` backend servers hold each group's shards.

    ``one_way_ms`` is the mean one-way delay between aggregators and backend servers,
    ``client_one_way_ms`` that between clients and entries.
    """

    zones: tuple[str, ...] = ("sa-1", "sa-2", "sa-3")
    hosts_per_zone: int = 2
    groups: int = 25
    replicas: int = 3
    shards_per_group: int = 2
    slots: int = 4
    connection_limit: int = 35
    connect_ms: float = 6.0
    service_ms: float = 10.0
    one_way_ms: float = 1.0
    client_one_way_ms: float = 3.0
    deadline_s: float = 1.0
    standin_processes: int = 6
    behaviour: dict[str, object] = {}

    def hosts(self) -> list[ListedHost]:
        """Return the hosts of the fleet."""
        return listed_hosts(self.zones, self.hosts_per_zone)

    def server_names(self, group: int) -> list[str]:
        """Return the names of a group's backend servers."""
        return [f"b{group:03d}-{replica}" for replica in range(self.replicas)]

    def document(self) -> bytes:
        """Return the configuration document."""
        servers = {}
        for group in range(self.groups):
            for replica, name in enumerate(self.server_names(group)):
                servers[name] = {
                    "host": BACKEND_HOST,
                    "port": FIRST_BACKEND_PORT + len(servers),
                    "zone": self.zones[(group + replica) % len(self.zones)],
                    "slots": self.slots,
                    "connection_limit": self.connection_limit,
                }
        shards = shard_map(
            self.groups * self.shards_per_group,
            lambda shard: self.server_names(shard // self.shards_per_group),
        )
        services = {
            name: {"collection": "records", "query_class": name, "deadline_s": self.deadline_s}
            for name in QUERY_CLASSES
        }
        return msgspec.json.encode(
            {
                "zones": {zone: {"region": "here"} for zone in self.zones},
                "classes": QUERY_CLASSES,
                "backend_servers": servers,
                "collections": {"records": {"snapshots": [{"index_version": 1, "shards": shards}]}},
                "services": services,
            }
        )

    def initial_behaviour(self) -> dict[str, object]:
        """Return the initial behaviour fields of the stand-in backend servers."""
        return {
            "service_ms": self.service_ms,
            "one_way_ms": self.one_way_ms,
            "connect_ms": self.connect_ms,
            **self.behaviour,
        }


THREE_ZONE_FLEET = FleetShape()
FOUR_ZONE_FLEET = FleetShape(
    zones=("al-1", "al-2", "al-3", "al-4"),
    slots=2,
    connection_limit=25,
    client_one_way_ms=1.0,
)
