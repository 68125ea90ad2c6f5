"""Which hosts carry callers: as few as serve the load, so that each knows the backend servers well.

A router learns how fast a backend server is from its own calls. With queries spread over many
hosts, each calls a server so seldom that what it knows is out of date when a server turns slow.
Against that stands the loss of a host with all its callers, so that a data centre keeps one more
host in use than may fail at once.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from fighinge.router.addresses import RouterAddress

TARGET_UTILISATION = 0.5  # the callers of a lost data centre add half to the load of two others
SHRINK_UTILISATION = 0.35  # below the target by more than one step of the announced utilisation
SHRINK_DELAY_S = 10.0  # twice as long as callers keep an address
ESTABLISHED_S = 2.0  # membership is complete within this time after a start
LIMIT_MEMORY_S = 10.0  # what a host has spent of the retry budget counts for this time
UTILISATION_STEPS = 4  # of an announced utilisation between 0 and 1
IDLE_UTILISATION = 0.125  # below, a host is announced as idle: many idle ones are no load
STILL_IDLE_UTILISATION = 0.0625  # hysteresis, so that the announcement does not alternate
CORES_TOLERANCE = 1e-9  # of sums of capacities, by the rounding of their floats
MAX_UTILISATION = 1.0
SHARE_DELAY_S = 1.0  # by then, the other routers know that a host carries callers


class _Place(msgspec.Struct):
    """Whether a host carries callers, and since when.

    ``full_share_s`` is when it may use its part of the limits, ``counts_until_s`` until when it
    counts for them although it no longer carries callers.
    """

    is_selected: bool
    since_s: float
    full_share_s: float = float("-inf")
    counts_until_s: float = float("-inf")


class HostSelection:
    """Selects the hosts of each data centre that callers are sent to.

    Those of the highest capacity come first, in an order that is the same for all routers. Hosts
    are added at once if the load needs them, and removed one by one after it has been low for a
    while. Without more hosts than the minimum, all are selected.
    """

    __slots__ = ("_counts", "_min_hosts", "_places", "_shrink_due_s", "_zones_with_choice")

    def __init__(self, tolerated_host_losses: int) -> None:
        self._min_hosts = tolerated_host_losses + 1
        self._counts: dict[str, int] = {}
        self._shrink_due_s: dict[str, float] = {}
        self._places: dict[str, _Place] = {}
        self._zones_with_choice: frozenset[str] = frozenset()

    def select(
        self,
        usable: Iterable[RouterAddress],
        now_s: float,
        members: Iterable[RouterAddress] = (),
    ) -> list[RouterAddress]:
        """Return the routers that callers are sent to, of those that may serve them.

        :param usable: routers on high-capacity hosts that accept requests
        :param now_s: time on the monotonic clock, in seconds
        :param members: all routers; the load of those that are not usable now moves to the others
        """
        usable = list(usable)
        members = {router.host: router for router in (*members, *usable)}
        used_cores: dict[str, float] = {}
        for router in members.values():
            used = router.utilisation * router.capacity_cores
            used_cores[router.zone] = used_cores.get(router.zone, 0.0) + used
        by_zone: dict[str, list[RouterAddress]] = {}
        for router in usable:
            by_zone.setdefault(router.zone, []).append(router)
        self._zones_with_choice = frozenset(
            zone for zone, routers in by_zone.items() if len(routers) > self._min_hosts
        )
        selected: list[RouterAddress] = []
        for zone, routers in by_zone.items():
            routers.sort(key=lambda router: (-router.capacity_cores, router.host))
            count = self._count(zone, routers, used_cores[zone], now_s)
            selected += routers[:count]
            for place, router in enumerate(routers):
                self._record(router.host, is_selected=place < count, now_s=now_s)
        self._forget(members, now_s)
        return selected

    def has_choice(self, zone: str) -> bool:
        """Return whether a data centre has more hosts than the minimum."""
        return zone in self._zones_with_choice

    def is_surplus(self, host: str, now_s: float) -> bool:
        """Return whether a host has no part in the limits of those that carry callers.

        One that has carried callers keeps its part for a while, as it may have used it, before the
        parts of the others grow.
        """
        place = self._places.get(host)
        return place is not None and not place.is_selected and now_s >= place.counts_until_s

    def has_full_share(self, host: str, now_s: float) -> bool:
        """Return whether a host may use its part of the limits, as the others know of it."""
        place = self._places.get(host)
        if place is None:
            return True
        return place.is_selected and now_s >= place.full_share_s

    def _count(
        self, zone: str, routers: list[RouterAddress], used_cores: float, now_s: float
    ) -> int:
        """Return how many hosts of a data centre carry callers."""
        least = min(self._min_hosts, len(routers))
        needed = max(least, _hosts_for(used_cores / TARGET_UTILISATION, routers))
        count = max(self._counts.get(zone, 0), needed)
        fewer = max(least, _hosts_for(used_cores / SHRINK_UTILISATION, routers))
        if fewer >= count:
            self._shrink_due_s.pop(zone, None)
        elif now_s >= self._shrink_due_s.setdefault(zone, now_s + SHRINK_DELAY_S):
            count -= 1
            self._shrink_due_s[zone] = now_s + SHRINK_DELAY_S
        self._counts[zone] = count
        return min(count, len(routers))

    def _record(self, host: str, *, is_selected: bool, now_s: float) -> None:
        place = self._places.get(host)
        if place is None:
            self._places[host] = _Place(is_selected, now_s)
        elif place.is_selected is not is_selected:
            if place.is_selected and now_s - place.since_s >= ESTABLISHED_S:
                place.counts_until_s = now_s + LIMIT_MEMORY_S
            place.is_selected, place.since_s = is_selected, now_s
            place.full_share_s = now_s + SHARE_DELAY_S

    def _forget(self, present: Collection[str], now_s: float) -> None:
        """Forget hosts that are gone; one that returns counts in full at once.

        One that is only overloaded, suspected, leaving or cut off keeps its part in the limits: it
        knows of that before the others do.
        """
        self._places = {
            host: place
            for host, place in self._places.items()
            if host in present or now_s < place.counts_until_s
        }


def _hosts_for(cores: float, routers: list[RouterAddress]) -> int:
    """Return how many of the routers, in their order, have a capacity of so many cores."""
    for count, router in enumerate(routers):
        if cores <= CORES_TOLERANCE:
            return count
        cores -= router.capacity_cores
    return len(routers)


def announced_utilisation(utilisation: float, announced: float) -> float:
    """Return the utilisation to announce, in steps of a quarter.

    It is rounded up unless the host is idle, and falls only when it is well below the step, so that
    it seldom changes.

    :param utilisation: present use of the scarcest resource of a host
    :param announced: what was announced last
    """
    if utilisation < (IDLE_UTILISATION if announced == 0 else STILL_IDLE_UTILISATION):
        return 0.0
    step = math.ceil(min(utilisation, MAX_UTILISATION) * UTILISATION_STEPS) / UTILISATION_STEPS
    is_well_below = utilisation < announced - 1.5 / UTILISATION_STEPS
    return step if step > announced or is_well_below else announced
