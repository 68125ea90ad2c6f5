"""What routers tell each other of backend servers, to whom and how often.

Made for many servers that turn slow or unreachable at once while each router calls a given server
only a few times in ten seconds. Against that stands the use of the network, which is bounded.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Annotated

import msgspec

from fighinge.ownership import rendezvous_weight

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fighinge.router.addresses import RouterAddress

SLOW_RATIO = 3.0  # slowness from which on a server is reported as slow
SLOW_END_RATIO = 1.5  # hysteresis, so that the reports do not alternate
FAILING_SHARE = 0.4  # two failures in a row
FAILING_END_SHARE = 0.2
CHANGE_RATIO = 1.5  # of the slowness, from which on a report is sent before the next repetition
MAX_OBSERVATION_AGE_S = 2.5  # longer than the longest back-off of an unreachable server
REPEAT_S = 0.3
EARLY_REPEAT_S = 0.1  # of a change, so that a lost datagram delays it little
EARLY_REPEATS = 2
CLOCK_TOLERANCE_S = 0.02  # of the interval between two looks at what is due
END_REPEATS = 3  # of a return to usual; a datagram in ten may be lost
DECAY_S = 2.0  # as of own observations

BYTES_PER_S = 6000.0
BURST_BYTES = 4000.0  # with the rate: at most 10 KB in any second
OTHER_ROUTERS_RATIO = 0.25  # routers without callers see little, and there are many of them
DATAGRAM_OVERHEAD_BYTES = 28 + 24  # of IP and UDP, and of the message around the reports
MAX_REPORTS_BYTES = 1300  # fits with the message around it in one datagram
REPEAT_LEVEL = 0.5  # of the burst; below, what remains is kept for changes
MAX_RECEIVERS = 12  # with more, the budget has room for few reports to each
MAX_NEAR_RECEIVERS = 8  # of the own data centre; others learn of its servers too

ANSWERING = 0
UNREACHABLE = 1
UNCERTAIN = 2  # neither the last call was answered nor was the server found unreachable

Tenths = Annotated[int, msgspec.Meta(ge=0, le=10_000)]
Percent = Annotated[int, msgspec.Meta(ge=0, le=100)]
Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=60_000)]


class ServerReport(msgspec.Struct, frozen=True, array_like=True):
    """What a router has observed of one run of a backend server, in integers to save bytes.

    ``age_ms`` is the age of its last observation at sending. States of later builds count as
    uncertain.
    """

    instance_id: str
    started_ms: int
    slowness_tenths: Tenths
    failing_percent: Percent
    state: Annotated[int, msgspec.Meta(ge=0)]
    age_ms: Milliseconds


class ServerReports(msgspec.Struct, frozen=True, array_like=True, tag="server-reports"):
    """The reports of a router of a data centre."""

    zone: str
    reports: tuple[ServerReport, ...]


class Condition(msgspec.Struct, frozen=True):
    """What a router has itself observed of a server, at ``observed_s`` on its monotonic clock.

    ``has_returned`` says that it has just answered after it was found or reported unreachable.
    """

    instance_id: str
    started_ms: int
    slowness: float
    failing_share: float
    state: int
    observed_s: float
    has_returned: bool = False

    @property
    def tells_failures(self) -> bool:
        """Return whether the condition may be due to this router's links."""
        return self.state == UNREACHABLE or self.failing_share >= FAILING_SHARE

    def is_notable(self, now_s: float, *, was_notable: bool) -> bool:
        """Return whether the condition is worth a report while it lasts."""
        if now_s - self.observed_s > MAX_OBSERVATION_AGE_S:
            return False
        decay = math.exp(-max(0.0, now_s - self.observed_s) / DECAY_S)
        slowness = 1.0 + (self.slowness - 1.0) * decay
        return (
            self.state == UNREACHABLE
            or slowness >= (SLOW_END_RATIO if was_notable else SLOW_RATIO)
            or self.failing_share * decay >= (FAILING_END_SHARE if was_notable else FAILING_SHARE)
        )

    def differs_from(self, other: Condition) -> bool:
        """Return whether the difference is worth a message before the next repetition."""
        ratio = max(self.slowness, other.slowness) / min(self.slowness, other.slowness)
        was_failing = other.failing_share >= FAILING_SHARE
        is_failing = self.failing_share >= FAILING_SHARE
        return ratio >= CHANGE_RATIO or self.state != other.state or is_failing != was_failing

    def report(self, now_s: float) -> ServerReport:
        """Return the report to send now."""
        return ServerReport(
            self.instance_id,
            self.started_ms,
            min(10_000, round(10 * self.slowness)),
            min(100, round(100 * self.failing_share)),
            self.state,
            min(60_000, max(0, round(1000 * (now_s - self.observed_s)))),
        )


class _Entry(msgspec.Struct):
    """A server that is reported; ``ends_left`` counts the reports of its return to usual."""

    condition: Condition
    is_notable: bool = True
    sent: Condition | None = None
    sent_s: float = float("-inf")
    ends_left: int = END_REPEATS
    early_left: int = 0

    def is_changed(self) -> bool:
        return self.sent is None or self.condition.differs_from(self.sent)

    def is_due(self, now_s: float) -> bool:
        repeat_s = EARLY_REPEAT_S if self.early_left > 0 else REPEAT_S
        return self.is_changed() or now_s - self.sent_s >= repeat_s - CLOCK_TOLERANCE_S

    def record_sent(self, now_s: float) -> None:
        self.early_left = EARLY_REPEATS if self.is_changed() else self.early_left - 1
        self.ends_left -= not self.is_notable
        self.sent, self.sent_s = self.condition, now_s


class ReportPlan:
    """Decides which own observations are sent when, within a budget of bytes."""

    __slots__ = ("_entries", "_refilled_s", "_tokens_bytes")

    def __init__(self, now_s: float) -> None:
        self._entries: dict[tuple[str, int], _Entry] = {}
        self._tokens_bytes = BURST_BYTES
        self._refilled_s = now_s

    def __len__(self) -> int:
        """Return the number of servers that are reported."""
        return len(self._entries)

    def clear(self) -> None:
        """Report nothing of what was observed so far."""
        self._entries.clear()

    def observe(self, condition: Condition, now_s: float) -> bool:
        """Take in the present condition of a server, and return whether it is to be followed."""
        key = (condition.instance_id, condition.started_ms)
        entry = self._entries.get(key)
        is_notable = condition.is_notable(now_s, was_notable=entry is not None and entry.is_notable)
        if entry is None:
            if not is_notable and not condition.has_returned:
                return False
            entry = self._entries[key] = _Entry(condition)
        if is_notable:
            entry.ends_left = END_REPEATS
        elif entry.is_notable and entry.sent is not None:
            entry.sent = None  # the return to usual is a change
        entry.is_notable = is_notable
        entry.condition = condition
        has_ended = not is_notable and (
            entry.ends_left <= 0 or now_s - condition.observed_s > MAX_OBSERVATION_AGE_S
        )
        if has_ended:
            del self._entries[key]
        return not has_ended

    def take(
        self,
        receivers: int,
        now_s: float,
        *,
        carries_callers: bool,
        holds_failures: bool = False,
    ) -> list[ServerReport]:
        """Return the reports to send now to each receiver, and spend their bytes.

        :param receivers: number of the routers that get the reports
        :param carries_callers: whether this router carries callers
        :param holds_failures: whether failures may be due to this router's links, and wait until
            that is settled
        """
        rate = BYTES_PER_S * (1.0 if carries_callers else OTHER_ROUTERS_RATIO)
        elapsed_s, self._refilled_s = now_s - self._refilled_s, now_s
        self._tokens_bytes = min(BURST_BYTES, self._tokens_bytes + rate * elapsed_s)
        due = [
            entry
            for entry in self._entries.values()
            if entry.is_due(now_s) and not (holds_failures and entry.condition.tells_failures)
        ]
        if not due or not receivers:
            return []
        due.sort(key=lambda entry: (not entry.is_changed(), entry.sent_s))
        room_bytes = min(
            MAX_REPORTS_BYTES, self._tokens_bytes / receivers - DATAGRAM_OVERHEAD_BYTES
        )
        reports, size_bytes = [], 0
        chosen: list[_Entry] = []
        for entry in due:
            report = entry.condition.report(now_s)
            report_bytes = len(msgspec.msgpack.encode(report))
            if size_bytes + report_bytes > room_bytes:
                break
            reports.append(report)
            chosen.append(entry)
            size_bytes += report_bytes
        is_complete = len(chosen) == len(due)
        is_low = self._tokens_bytes < REPEAT_LEVEL * BURST_BYTES
        if not chosen or (is_low and not is_complete and not chosen[0].is_changed()):
            return []
        for entry in chosen:
            entry.record_sent(now_s)
        self._tokens_bytes -= receivers * (size_bytes + DATAGRAM_OVERHEAD_BYTES)
        return reports


def report_receivers(
    carrying: Iterable[RouterAddress], own: RouterAddress, turn: int
) -> list[RouterAddress]:
    """Return the other routers to send reports to, most of them in the own data centre.

    If there are too many, different ones get the reports in turn.
    """
    others = [router for router in carrying if router.host != own.host]
    if len(others) <= MAX_RECEIVERS:
        return others
    others.sort(key=lambda router: rendezvous_weight(router.host, f"{own.host} {turn}"))
    near = [router for router in others if router.zone == own.zone]
    far = [router for router in others if router.zone != own.zone]
    near_count = max(MAX_NEAR_RECEIVERS, MAX_RECEIVERS - len(far))
    chosen = near[:near_count]
    return chosen + far[: MAX_RECEIVERS - len(chosen)]


def trial_router(run_name: str, hosts: Iterable[str], turn: int) -> str | None:
    """Return the router that tries a server in doubt, another one in each turn.

    :param turn: number of the second by the wall clock, which routers share closely enough
    """
    return max(
        hosts, key=lambda host: (rendezvous_weight(host, f"{run_name} {turn}"), host), default=None
    )
