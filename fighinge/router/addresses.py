"""Which routers a caller should use."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

MAX_ADDRESSES = 64  # as many as callers take from one answer
HIGH_CAPACITY_RATIO = (
    0.5  # a host with half of the strongest one's processor is as good for callers
)
MIN_HIGH_CAPACITY_ROUTERS = 3  # two of them may be lost at once
MIN_ADDRESSES = 3  # a caller that has lost two of them still has one to try


class RouterAddress(msgspec.Struct, frozen=True):
    """A router that takes new work; a suspect one may be gone."""

    host: str
    zone: str
    is_suspect: bool = False
    is_overloaded: bool = False
    capacity_cores: float = 1.0


def high_capacity_routers(routers: Iterable[RouterAddress]) -> list[RouterAddress]:
    """Return the routers on high-capacity hosts, or all of them if those are too few."""
    routers = list(routers)
    strongest = max((router.capacity_cores for router in routers), default=0.0)
    high_capacity = [
        router for router in routers if router.capacity_cores >= HIGH_CAPACITY_RATIO * strongest
    ]
    return high_capacity if len(high_capacity) >= MIN_HIGH_CAPACITY_ROUTERS else routers


def choose_routers(
    routers: Iterable[RouterAddress], zone: str, region_by_zone: Mapping[str, str]
) -> list[RouterAddress]:
    """Return the routers for a caller in a data centre, nearest first.

    Callers take one of them at random, so that those of other data centres are named only where
    the caller's own has too few to outlive the loss of some. Where hosts are unequal, the
    high-capacity ones serve callers: merging many shards takes a weak host a good part of the time
    that an answer may take, and few routers keep their connections warm and know backend servers
    better.
    """
    usable = list(routers)
    usable = [router for router in usable if not router.is_suspect] or usable
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
