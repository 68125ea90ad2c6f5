"""Which group of a query is asked first, so that a crashing request costs few servers."""

from __future__ import annotations

import asyncio
import enum
from collections import OrderedDict
from typing import TYPE_CHECKING

import msgspec

from fighinge.aggregator.base import CallFault
from fighinge.errors import ErrorKind
from fighinge.ownership import rendezvous_weight

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from fighinge.entry.query_plan import QueryPlan
    from fighinge.messages import Attempt, GroupOutcome
    from fighinge.model import Service
    from fighinge.queries import GroupTrace

SAFE_FINGERPRINT_TTL_S = 600.0
MAX_SAFE_FINGERPRINTS = 100_000
SECOND_CANARY_FRACTION = 0.15
RELEASE_FRACTION = 0.5
LOST_CONNECTIONS_TO_STOP = 2


class SafeFingerprints:
    """Fingerprints of queries that some backend server has lately answered."""

    __slots__ = ("_expires_s",)

    def __init__(self) -> None:
        self._expires_s: OrderedDict[str, float] = OrderedDict()

    def add(self, fingerprint: str, now_s: float) -> None:
        """Remember that a query was answered."""
        self._expires_s[fingerprint] = now_s + SAFE_FINGERPRINT_TTL_S
        self._expires_s.move_to_end(fingerprint)
        if len(self._expires_s) > MAX_SAFE_FINGERPRINTS:
            self._expires_s.popitem(last=False)

    def contains(self, fingerprint: str, now_s: float) -> bool:
        """Return whether a query was answered lately."""
        expires_s = self._expires_s.get(fingerprint)
        return expires_s is not None and now_s < expires_s

    def remove(self, fingerprint: str) -> None:
        """Forget a query that was in flight when a backend server was lost."""
        self._expires_s.pop(fingerprint, None)


class CanaryPolicy:
    """Decides which queries of an entry need a canary, and learns from how they end."""

    __slots__ = ("_clock", "_safe")

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._safe = SafeFingerprints()

    def create_run(
        self, service: Service, fingerprint: str, plan: QueryPlan, deadline_s: float, now_s: float
    ) -> CanaryRun | None:
        """Return the canary of a query, or none where it needs none."""
        groups = [name for name, group in plan.groups.items() if group.owners]
        if service.canary == "off" or len(groups) < 2:
            return None
        if self._safe.contains(fingerprint, now_s):
            return None
        schedule = CanarySchedule.from_deadline(now_s, deadline_s)
        return CanaryRun(canary_order(fingerprint, groups), schedule, self._clock)

    def record_result(
        self, fingerprint: str, traces: list[GroupTrace], now_s: float, *, is_answered: bool
    ) -> None:
        """Take a query for safe, or no longer where a server was lost in running it."""
        if any(count_lost_connections(trace.attempts) for trace in traces):
            self._safe.remove(fingerprint)
        elif is_answered:
            self._safe.add(fingerprint, now_s)


class CanarySchedule(msgspec.Struct, frozen=True):
    """When to ask a second group, and when to ask all of them without any answer."""

    second_canary_s: float
    release_s: float

    @classmethod
    def from_deadline(cls, started_s: float, deadline_s: float) -> CanarySchedule:
        """Return the schedule for a query that started and must end at given clock times."""
        left_s = deadline_s - started_s
        return cls(
            started_s + SECOND_CANARY_FRACTION * left_s, started_s + RELEASE_FRACTION * left_s
        )


def canary_order(fingerprint: str, groups: Iterable[str]) -> list[str]:
    """Return the groups in the order in which they serve as a fingerprint's canary.

    Every entry finds the same first group, so that its owner sees the request each time it is
    sent again.
    """
    return sorted(groups, key=lambda group: rendezvous_weight(group, fingerprint), reverse=True)


class CanaryDecision(enum.Enum):
    """Whether the other groups of a query may be asked."""

    RELEASED = "released"
    STOPPED = "stopped"


class CanaryRun:
    """Asks one group of a query before all others, and a second one if the first is slow.

    A group that answers releases the others. So does the release time, for a request that
    crashes backend servers shows it by lost connections, not by silence. After one loss without
    an answer another group runs the request as a suspect, alone on one server; a second loss
    ends the query.
    """

    __slots__ = ("_clock", "_groups", "_lost_connections", "_outcomes", "_schedule")

    def __init__(
        self, groups: list[str], schedule: CanarySchedule, clock: Callable[[], float]
    ) -> None:
        self._groups = groups
        self._schedule = schedule
        self._clock = clock
        self._lost_connections = 0
        self._outcomes: asyncio.Queue[GroupOutcome] = asyncio.Queue()

    def on_outcome(self, outcome: GroupOutcome) -> None:
        """Take the outcome of a group that was asked."""
        self._outcomes.put_nowait(outcome)

    @property
    def is_suspect(self) -> bool:
        """Return whether a backend server was lost in running the request."""
        return self._lost_connections > 0

    async def run(self, send: Callable[[str], None]) -> CanaryDecision:
        """Ask groups one after the other until it is clear whether to ask the others."""
        groups = iter(self._groups)
        send(next(groups))
        until_s = self._schedule.second_canary_s
        while True:
            outcome = await self._next_outcome(until_s)
            if outcome is None and until_s == self._schedule.release_s:
                return CanaryDecision.STOPPED if self.is_suspect else CanaryDecision.RELEASED
            if outcome is None:
                until_s = self._schedule.release_s
                if self.is_suspect:
                    continue
            elif outcome.parts:
                self._lost_connections = 0
                return CanaryDecision.RELEASED
            elif self._stops_query(outcome):
                return CanaryDecision.STOPPED
            group = next(groups, None)
            if group is None:
                return CanaryDecision.STOPPED if self.is_suspect else CanaryDecision.RELEASED
            send(group)

    def _stops_query(self, outcome: GroupOutcome) -> bool:
        self._lost_connections += count_lost_connections(outcome.attempts)
        return self._lost_connections >= LOST_CONNECTIONS_TO_STOP or is_quarantined(outcome)

    async def _next_outcome(self, until_s: float) -> GroupOutcome | None:
        try:
            async with asyncio.timeout(max(0.0, until_s - self._clock())):
                return await self._outcomes.get()
        except TimeoutError:
            return None


def is_quarantined(outcome: GroupOutcome) -> bool:
    """Return whether an outcome shows that the request costs backend servers."""
    return not outcome.parts and any(
        missing.kind is ErrorKind.QUARANTINED for missing in outcome.missing
    )


def count_lost_connections(attempts: list[Attempt]) -> int:
    """Return how many calls ended with the loss of their connection."""
    lost = CallFault.CONNECTION_LOST.value
    return sum(attempt.result == lost for attempt in attempts)
