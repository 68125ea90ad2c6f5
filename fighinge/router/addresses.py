"""Selects the routers whose addresses a caller is given."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from fighinge.router.model import BackendRecord

MAX_ADDRESSES = 64  # callers use no more from one answer
HIGH_CAPACITY_RATIO = 0.5  # of the largest host's capacity; such a host serves callers equally well
MIN_HIGH_CAPACITY_ROUTERS = 3  # one is left if two fail at once
SERVED_SERVICES_RATIO = 0.5  # of the services that the data centre with the most of them has
MIN_ADDRESSES = 3  # one is left if two fail at once


class RouterAddress(msgspec.Struct, frozen=True):
    """A router that accepts new requests.

    A suspected one may have failed; one that is cut off has to forward its requests.
    ``utilisation`` is the part of its host's scarcest resource that is in use.
    """

    host: str
    zone: str
    is_suspect: bool = False
    is_overloaded: bool = False
    capacity_cores: float = 1.0
    is_cut_off: bool = False
    utilisation: float = 0.0


def high_capacity_routers(routers: Iterable[RouterAddress]) -> list[RouterAddress]:
    """Return the routers on high-capacity hosts, or all of them if those are too few."""
    routers = list(routers)
    max_capacity_cores = max((router.capacity_cores for router in routers), default=0.0)
    high_capacity = [
        router
        for router in routers
        if router.capacity_cores >= HIGH_CAPACITY_RATIO * max_capacity_cores
    ]
    return high_capacity if len(high_capacity) >= MIN_HIGH_CAPACITY_ROUTERS else routers


def usable_routers(routers: Iterable[RouterAddress]) -> list[RouterAddress]:
    """Return the routers that serve callers well, on high-capacity hosts, or all without any."""
    usable = list(routers)
    usable = [router for router in usable if not router.is_suspect] or usable
    usable = [router for router in usable if not router.is_cut_off] or usable
    return high_capacity_routers(router for router in usable if not router.is_overloaded) or usable


def zones_with_servers(records: Iterable[BackendRecord]) -> frozenset[str]:
    """Return the data centres whose servers answer most requests without calls to others."""
    services: dict[str, set[str]] = {}
    for record in records:
        if not record.is_draining:
            services.setdefault(record.zone, set()).add(record.service)
    most = max(map(len, services.values()), default=0)
    return frozenset(
        zone for zone, names in services.items() if len(names) >= SERVED_SERVICES_RATIO * most
    )


def choose_routers(
    routers: Iterable[RouterAddress],
    zone: str,
    region_by_zone: Mapping[str, str],
    server_zones: Collection[str] = (),
) -> list[RouterAddress]:
    """Return the routers for a caller in a data centre, sorted by distance.

    Callers pick one of them at random, so routers of other data centres are included only if the
    caller's own has fewer than ``MIN_ADDRESSES``. If capacities differ, only high-capacity routers
    are returned: a low-capacity host spends much of a request's time limit on merging many shards,
    and fewer routers keep more connections open and have more recent data on each backend server.

    If the caller's data centre has no servers, these are all routers of the region that have
    servers beside them: one answer then crosses between data centres instead of one for each shard.

    :param server_zones: data centres with servers, as far as they are known
    """
    usable = usable_routers(routers)
    region = region_by_zone.get(zone)

    def distance(router: RouterAddress) -> tuple[bool, bool, str]:
        is_far = region_by_zone.get(router.zone) != region
        return (router.zone != zone, is_far, router.host)

    ranked = sorted(usable, key=distance)
    near = [router for router in ranked if router.zone == zone]
    if server_zones and zone not in server_zones and region is not None:
        beside_servers = [
            router
            for router in ranked
            if router.zone in server_zones and region_by_zone.get(router.zone) == region
        ]
        if len(beside_servers) >= MIN_ADDRESSES:
            near = ranked = beside_servers
    return ranked[: max(MIN_ADDRESSES, len(near))][:MAX_ADDRESSES]
