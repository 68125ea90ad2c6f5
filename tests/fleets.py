"""Fleets of members in one process, connected by a simulated network."""

from __future__ import annotations

import asyncio
import random

import msgspec

from fighinge.configuration.base import Values
from fighinge.configuration.history import BASE_KEY, PATCH_PREFIX
from fighinge.configuration.store import ConfigurationStore
from fighinge.facts import FactBoard
from fighinge.membership.member import GossipPorts, Member, MemberState, Role
from fighinge.membership.messages import Codec
from fighinge.membership.service import Membership
from standins.datagrams import DatagramNetwork, NetworkTransport
from tests.builders import raw_document

PORTS = GossipPorts(8070, 8071)


class Process:
    """A simulated process: its membership, configuration store and facts."""

    def __init__(
        self, network: DatagramNetwork, local_member: Member, hosts: list[str], key: str = ""
    ) -> None:
        self.clock = asyncio.get_running_loop().time
        self.board = FactBoard()
        self.store = ConfigurationStore()
        self.versions: list[int] = []
        self.store.listen(lambda accepted: self.versions.append(accepted.version))
        self.transport = NetworkTransport(
            network, PORTS.address(local_member.role, local_member.host)
        )
        self.membership = Membership(
            local_member,
            PORTS,
            self.transport,
            self.store,
            self.board,
            self.clock,
            random.Random(f"{local_member.name} {local_member.incarnation}"),
            Codec(key),
        )
        self.membership.set_seeds(hosts)
        self.task = asyncio.create_task(self.membership.run())

    @property
    def host(self) -> str:
        """Return the host of the process."""
        return self.membership.table.local_member.host

    def crash(self) -> None:
        """Stop without announcing the departure."""
        self.task.cancel()

    def state_of(self, host: str) -> MemberState | None:
        """Return the state of the entry on a host as known here, or ``None``."""
        member = self.membership.table.get(f"entry@{host}")
        return member.state if member else None


class ProcessFleet:
    """Entries on hosts ``10.0.ZONE.NUMBER``, all started at once."""

    def __init__(self, zones: int, hosts_per_zone: int, seed: int = 1) -> None:
        self.network = DatagramNetwork(seed)
        self.hosts = {
            f"10.0.{zone}.{number}": f"z{zone}"
            for zone in range(1, zones + 1)
            for number in range(1, hosts_per_zone + 1)
        }
        self.processes: dict[str, Process] = {}
        for host in self.hosts:
            self.start(host)

    def start(self, host: str, incarnation: int = 100, key: str = "") -> Process:
        """Start a process on a host."""
        local_member = Member(Role.ENTRY, host, self.hosts[host], incarnation)
        process = Process(self.network, local_member, list(self.hosts), key)
        self.processes[host] = process
        return process

    def partition(self, first: set[str], second: set[str], *, one_way: bool = False) -> None:
        """Drop datagrams between two sets of hosts, or only from the first to the second."""

        def blocked(sender: str, receiver: str) -> bool:
            forward = sender in first and receiver in second
            backward = sender in second and receiver in first
            return forward or (backward and not one_way)

        self.network.is_blocked = blocked

    def heal(self) -> None:
        """End the partition."""
        self.network.is_blocked = lambda _sender, _receiver: False

    def all_agree(self, host: str, state: MemberState | None) -> bool:
        """Return whether a host has this state in every other process; ``None`` means unknown."""
        return all(
            process.state_of(host) is state
            for process in self.processes.values()
            if process.host != host
        )

    def all_alive(self) -> bool:
        """Return whether every process considers all others alive."""
        return all(self.all_agree(host, MemberState.ALIVE) for host in self.processes)


async def until(condition, limit_s: float) -> float:
    """Wait until a condition holds and return the elapsed seconds.

    :raises AssertionError: if it does not hold within the limit
    """
    clock = asyncio.get_running_loop().time
    started_s = clock()
    while not condition():
        assert clock() - started_s <= limit_s, f"not within {limit_s} s"
        await asyncio.sleep(0.05)
    return clock() - started_s


def base_values(version: int = 1, **changes) -> Values:
    """Return the values of a platform that publishes only a base document."""
    base = {"version": version, "document": raw_document(**changes)}
    return Values(version, {BASE_KEY: msgspec.Raw(msgspec.json.encode(base))})


def zone_patch(applies_to: int, zone: str = "z1", *, in_service: bool = False) -> Values:
    """Return a published patch that takes a data centre out of service or returns it."""
    operation = {"op": "add", "path": f"/zones/{zone}/in_service", "value": in_service}
    patch = {"applies_to": applies_to, "operations": [operation]}
    key = f"{PATCH_PREFIX}{applies_to:08d}"
    return Values(applies_to + 1, {key: msgspec.Raw(msgspec.json.encode(patch))})
