"""Canary requests: a query runs on one group first, so that a crashing one reaches few servers."""

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
# Fractions of the time to the deadline; a slow canary must not determine the tail latency.
SECOND_CANARY_FRACTION = 0.15
RELEASE_FRACTION = 0.5
LOST_CONNECTIONS_TO_STOP = 2  # a single one may be unrelated to the request


class SafeFingerprints:
    """A bounded cache of the fingerprints of recently answered queries."""

    __slots__ = ("_expires_s",)

    def __init__(self) -> None:
        self._expires_s: OrderedDict[str, float] = OrderedDict()

    def add(self, fingerprint: str, now_s: float) -> None:
        """Add the fingerprint of an answered query, or renew it."""
        self._expires_s[fingerprint] = now_s + SAFE_FINGERPRINT_TTL_S
        self._expires_s.move_to_end(fingerprint)
        if len(self._expires_s) > MAX_SAFE_FINGERPRINTS:
            self._expires_s.popitem(last=False)

    def contains(self, fingerprint: str, now_s: float) -> bool:
        """Return whether a fingerprint is present and has not expired."""
        expires_s = self._expires_s.get(fingerprint)
        return expires_s is not None and now_s < expires_s

    def remove(self, fingerprint: str) -> None:
        """Remove a query that was in flight when the connection to a backend server was lost."""
        self._expires_s.pop(fingerprint, None)


class CanaryPolicy:
    """Decide which queries need a canary, from the results of earlier ones."""

    __slots__ = ("_clock", "_safe")

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._safe = SafeFingerprints()

    def create_run(
        self, service: Service, fingerprint: str, plan: QueryPlan, deadline_s: float, now_s: float
    ) -> CanaryRun | None:
        """Return the canary run of a query, or ``None`` if no canary is needed."""
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
        """Add an answered query to the safe ones, or remove it if it lost a connection."""
        if any(count_lost_connections(trace.attempts) for trace in traces):
            self._safe.remove(fingerprint)
        elif is_answered:
            self._safe.add(fingerprint, now_s)


class CanarySchedule(msgspec.Struct, frozen=True):
    """Clock times at which to send a second canary and to release the other groups."""

    second_canary_s: float
    release_s: float

    @classmethod
    def from_deadline(cls, started_s: float, deadline_s: float) -> CanarySchedule:
        """Return the schedule of a query.

        :param started_s: clock time of the start
        :param deadline_s: clock time of the deadline
        """
        remaining_s = deadline_s - started_s
        return cls(
            started_s + SECOND_CANARY_FRACTION * remaining_s,
            started_s + RELEASE_FRACTION * remaining_s,
        )


def canary_order(fingerprint: str, groups: Iterable[str]) -> list[str]:
    """Return the groups in the order in which they are used as canaries for a fingerprint.

    The rendezvous order is equal on all entries, so the owner of the first group sees each resend
    of a request, whichever entry received it.
    """
    return sorted(groups, key=lambda group: rendezvous_weight(group, fingerprint), reverse=True)


class CanaryDecision(enum.Enum):
    """Whether the query is sent to its other groups."""

    RELEASED = "released"
    STOPPED = "stopped"


class CanaryRun:
    """Send a query to one group before all others, and to a second one if the first is slow.

    The first answer releases the other groups. So does the release time if no connection was lost,
    because a request that crashes backend servers causes lost connections, not a timeout. A group
    that fails without a result is followed by the next one, which runs the request as a suspect on
    a single server once a connection was lost. A second lost connection, a quarantined request, or
    a suspect without an answer at the release time or after the last group stops the query.
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
        """Handle the outcome of a canary group."""
        self._outcomes.put_nowait(outcome)

    @property
    def is_suspect(self) -> bool:
        """Return whether a connection was lost while a backend server ran the request."""
        return self._lost_connections > 0

    async def run(self, send: Callable[[str], None]) -> CanaryDecision:
        """Send canaries, one group at a time, until the decision is made.

        :param send: function that sends the query to the group of a name
        """
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
        """Count the lost connections of an outcome and return whether it stops the query."""
        self._lost_connections += count_lost_connections(outcome.attempts)
        return self._lost_connections >= LOST_CONNECTIONS_TO_STOP or is_quarantined(outcome)

    async def _next_outcome(self, until_s: float) -> GroupOutcome | None:
        try:
            async with asyncio.timeout(max(0.0, until_s - self._clock())):
                return await self._outcomes.get()
        except TimeoutError:
            return None


def is_quarantined(outcome: GroupOutcome) -> bool:
    """Return whether an outcome has no shard results and reports the request as quarantined."""
    return not outcome.parts and any(
        missing.kind is ErrorKind.QUARANTINED for missing in outcome.missing
    )


def count_lost_connections(attempts: list[Attempt]) -> int:
    """Return the number of calls that ended with a lost connection."""
    lost = CallFault.CONNECTION_LOST.value
    return sum(attempt.result == lost for attempt in attempts)
