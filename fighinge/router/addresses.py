"""Selects the routers whose addresses a caller is given."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

MAX_ADDRESSES = 64  # callers use no more from one answer
HIGH_CAPACITY_RATIO = 0.5  # of the largest host's capacity; such a host serves callers equally well
MIN_HIGH_CAPACITY_ROUTERS = 3  # one is left if two fail at once
MIN_ADDRESSES = 3  # one is left if two fail at once


class RouterAddress(msgspec.Struct, frozen=True):
    """A router that accepts new requests.

    A suspected one may have failed; one that is cut off has to forward its requests.
    """

    host: str
    zone: str
    is_suspect: bool = False
    is_overloaded: bool = False
    capacity_cores: float = 1.0
    is_cut_off: bool = False


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


def choose_routers(
    routers: Iterable[RouterAddress], zone: str, region_by_zone: Mapping[str, str]
) -> list[RouterAddress]:
    """Return the routers for a caller in a data centre, sorted by distance.

    Callers pick one of them at random, so routers of other data centres are included only if the
    caller's own has fewer than ``MIN_ADDRESSES``. If capacities differ, only high-capacity routers
    are returned: a low-capacity host spends much of a request's time limit on merging many shards,
    and fewer routers keep more connections open and have more recent data on each backend server.
    """
    usable = list(routers)
    usable = [router for router in usable if not router.is_suspect] or usable
    usable = [router for router in usable if not router.is_cut_off] or usable
    usable = (
        high_capacity_routers(router for router in usable if not router.is_overloaded) or usable
    )
    region = region_by_zone.get(zone)

    def distance(router: RouterAddress) -> tuple[bool, bool, str]:
        is_far = region_by_zone.get(router.zone) != region
        return (router.zone != zone, is_far, router.host)

    ranked = sorted(usable, key=distance)
    near = [router for router in ranked if router.zone == zone]
    return ranked[: max(MIN_ADDRESSES, len(near))][:MAX_ADDRESSES]
