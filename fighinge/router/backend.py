"""Health and load of one backend server, as this router observes them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from fighinge.aggregator.base import CallFailure, CallFault
from fighinge.router.cold_limit import ColdCallWindow
from fighinge.router.connection_doubt import ConnectionDoubt
from fighinge.router.exchange import BackendResponse
from fighinge.router.limited_calls import CallKind
from fighinge.router.metrics import observe_statement
from fighinge.router.named_limit import NamedLimit
from fighinge.router.observed_health import ObservedHealth
from fighinge.router.server_reports import SLOW_END_RATIO, SLOW_RATIO
from fighinge.router.stated_load import StatedLoad

if TYPE_CHECKING:
    from fighinge.router.decision_log import DecisionLog
    from fighinge.router.exchange import ServerStatement
    from fighinge.router.model import BackendRecord
    from fighinge.router.rate_share import RouterShare
    from fighinge.router.received_reports import ReceivedReport
    from fighinge.router.server_reports import Condition

MIN_DOWN_BACKOFF_S = 0.4  # a process restarts within about a second
MAX_DOWN_BACKOFF_S = 2.0  # nothing announces the end of an outage of seconds; calls have to test it
LOAD_WEIGHT = 0.3  # other routers may use the slots that appear free here
SHED_FACTOR = 5.0  # only a stalled server is worse than one that has just refused
SHED_PENALTY_DURATION_S = 0.05  # a full queue of 12 drains in about this time
STALL_FACTOR = 3.0  # few calls take three times the typical latency unless the server stalls
MIN_STALL_S = 0.025  # below this, delays of the network and of this process dominate
MAX_RECORD_DELAY_S = 10.0  # within this time, a run may answer before its record is known
ADOPTED_LEAVING_S = 30.0  # a server that leaves has ended by then; others are used again
TIMEOUTS_TO_DOWN = 2  # one may be a pause; two in a row mean that the server is gone
COLD_FACTOR = 1.6  # calls to a cold server take about this much longer


class _Call(msgspec.Struct):
    started_s: float
    typical_s: float


class Backend:
    """Counts calls in flight and updates its statistics with the result of each call."""

    __slots__ = (
        "_adopted_leaving_until_s",
        "_calls",
        "_cold_calls",
        "_cold_until_s",
        "_consecutive_timeouts",
        "_down_backoff_s",
        "_down_until_s",
        "_health",
        "_is_slow",
        "_last_call_number",
        "_leaving_said_s",
        "_log",
        "_next_run_leaves_until_s",
        "_refused_until_s",
        "_restored_s",
        "_shed_until_s",
        "_stated_load",
        "_unreachable_s",
        "cold_quota",
        "connection_doubt",
        "connection_quota",
        "is_leaving",
        "limit",
        "record",
        "troubled",
    )

    def __init__(
        self,
        record: BackendRecord,
        log: DecisionLog,
        router_share: RouterShare,
        now_s: float,
    ) -> None:
        self.record = record
        self._log = log
        self._is_slow = False
        self.is_leaving = record.is_draining
        self._refused_until_s = float("-inf")
        self._leaving_said_s = float("-inf")
        self._adopted_leaving_until_s = float("-inf")
        self._restored_s = float("-inf")
        self.limit = NamedLimit(record, log, router_share)
        self.connection_quota = 1
        self.cold_quota: int | None = None
        self._cold_calls = ColdCallWindow()
        self.connection_doubt = ConnectionDoubt()
        self._calls: dict[int, _Call] = {}
        self._last_call_number = 0
        self._health = ObservedHealth()
        self.troubled: set[Backend] = set()  # shared by the servers that this router calls
        self._stated_load = StatedLoad(log)
        self._down_until_s = float("-inf")
        self._down_backoff_s = MIN_DOWN_BACKOFF_S
        self._shed_until_s = float("-inf")
        self._consecutive_timeouts = 0
        self._unreachable_s = float("-inf")
        self._next_run_leaves_until_s = float("-inf")
        self._cold_until_s = now_s + record.cold_left_s

    def update(self, record: BackendRecord, now_s: float) -> None:
        """Replace the server's record by another one of the same process.

        A process that leaves does not return: a record that says otherwise was written or read
        late.
        """
        if self.is_leaving and self.record.is_draining and not record.is_draining:
            self._log_state("leaving", "its record no longer says so", now_s)
        self.record = record
        self.is_leaving = self.is_leaving or record.is_draining
        self._cold_until_s = max(self._cold_until_s, now_s + record.cold_left_s)

    @property
    def in_flight(self) -> int:
        """Return the number of this router's calls in flight."""
        return len(self._calls)

    def is_cold(self, now_s: float) -> bool:
        """Return whether the server is cold by its own report."""
        return now_s < self._cold_until_s

    def is_usable(self, now_s: float, *, is_urgent: bool = True) -> bool:
        """Return whether a call may be sent now.

        :param is_urgent: whether no more urgent requests want what a limit has left
        """
        has_connection = len(self._calls) < self.connection_quota
        return has_connection and self.takes_calls(now_s, is_urgent=is_urgent)

    def takes_calls(self, now_s: float, *, is_urgent: bool = True) -> bool:
        """Return whether a call may be sent as soon as a connection is free."""
        if not self.is_in_service(now_s):
            return False
        if self.cold_quota is not None and self.is_at_cold_limit(now_s):
            return False
        return not self.limit.is_reached(now_s, is_urgent=is_urgent)

    def adopt_statements(self, previous: Backend) -> None:
        """Heed statements that this run may have made before its record was known.

        Until then, the answers of this run count for the previous one. If that had refused a
        connection before it first said that it leaves, it had probably ended, and this run says so.
        """
        self._refused_until_s = max(
            self._refused_until_s, previous._refused_until_s, previous._next_run_leaves_until_s
        )

    def adopt_restored(self, previous: Backend, now_s: float) -> None:
        """Heed what another run of this server said, after a restored copy exchanged their records.

        Answers count for the run that is listed, whichever of the two gave them. That an earlier
        run left before it was listed again says nothing of this one.
        """
        self.adopt_statements(previous)
        self.limit = previous.limit
        is_earlier = previous.record.started_ms < self.record.started_ms
        has_said_so = previous._leaving_said_s > previous._restored_s
        if previous.is_leaving and (has_said_so or not is_earlier):
            self._adopted_leaving_until_s = now_s + ADOPTED_LEAVING_S
        self._restored_s = now_s

    def is_in_service(self, now_s: float) -> bool:
        """Return whether the server takes calls, apart from limits of their number."""
        is_leaving = self.is_leaving or now_s < self._adopted_leaving_until_s
        is_refused = now_s < self._refused_until_s
        return not (is_leaving or is_refused or now_s < self._down_until_s)

    def wait_s(self, now_s: float) -> float | None:
        """Return the time until a further caller's request may be sent.

        :returns: seconds, ``None`` if the server itself has not told
        """
        if self.is_leaving or now_s < self._adopted_leaving_until_s or self.is_down(now_s):
            return None
        wait_s = max(self.refusal_left_s(now_s), self.limit.wait_s(now_s))
        return wait_s if wait_s > 0 else None

    def refusal_left_s(self, now_s: float) -> float:
        """Return for how many seconds the server wants no requests, by its own statement."""
        return max(0.0, self._refused_until_s - now_s)

    def is_at_cold_limit(self, now_s: float) -> bool:
        """Return whether the server is cold and this router's quota for the second is used up."""
        if self.cold_quota is None or not self.is_cold(now_s):
            return False
        return self._cold_calls.is_full(self.cold_quota, now_s)

    def is_down(self, now_s: float) -> bool:
        """Return whether the server is in the back-off after it was found unreachable."""
        return now_s < self._down_until_s

    @property
    def is_unproven(self) -> bool:
        """Return whether the server was found unreachable and has answered no call since."""
        return self._down_backoff_s > MIN_DOWN_BACKOFF_S

    def expected_s(self, typical_s: float, now_s: float) -> float:
        """Return the expected latency of one more call, in seconds.

        :param typical_s: typical latency of such a call at a healthy server, in seconds
        """
        work_s = typical_s * self.slowness(now_s)
        if now_s < self._cold_until_s:
            work_s *= COLD_FACTOR
        slots = self.record.slots
        load = max(len(self._calls), self._stated_load.requests(now_s))
        queued = max(0, load + 1 - slots)
        expected_s = work_s * (1.0 + LOAD_WEIGHT * load / slots + queued / slots)
        expected_s += self._stall_s(now_s)
        if now_s < self._shed_until_s:
            expected_s += SHED_FACTOR * typical_s
        return expected_s / (1.0 - self.failure_rate(now_s))

    def slowness(self, now_s: float) -> float:
        """Return the ratio of this server's latency to the typical one."""
        return self._health.slowness(now_s)

    def failure_rate(self, now_s: float) -> float:
        """Return the fraction of recent calls that gave no usable answer."""
        return self._health.failure_rate(now_s)

    def record_report(self, report: ReceivedReport, now_s: float) -> None:
        """Take in what another router has observed of this run of the server."""
        self._health.record_report(report, now_s)

    def is_in_doubt(self, now_s: float) -> bool:
        """Return whether the server may be unreachable, by own calls or reports of others."""
        return self._health.is_in_doubt(now_s, is_unproven=self.is_unproven)

    def condition(self, now_s: float) -> Condition:
        """Return what this router has itself observed, for other routers."""
        return self._health.condition(self.record, now_s, is_unproven=self.is_unproven)

    def start_call(self, typical_s: float, now_s: float, kind: CallKind = CallKind.FIRST) -> int:
        """Record the start of a call and return its number."""
        self.limit.record_call(kind, now_s)
        self._last_call_number += 1
        self._calls[self._last_call_number] = _Call(now_s, typical_s)
        if self.is_cold(now_s):
            self._cold_calls.record_call(now_s)
        return self._last_call_number

    def cancel_call(self, call_number: int, now_s: float) -> None:
        """Record the end of a call that was cancelled before its result."""
        call = self._calls.pop(call_number)
        ratio = (now_s - call.started_s) / call.typical_s
        if ratio > self._health.own_slowness(now_s):
            self._observe_slowness(ratio, now_s)

    def abandon_call(self, call_number: int) -> None:
        """Record the end of a call by an unexpected error, which says nothing of the server."""
        self._calls.pop(call_number, None)

    def finish_call(
        self, call_number: int, result: BackendResponse | CallFailure, now_s: float
    ) -> None:
        """Update the statistics with the result of a call."""
        call = self._calls.pop(call_number)
        took_s = now_s - call.started_s
        if isinstance(result, CallFailure):
            self._record_failure(result, took_s, call.typical_s, now_s)
            return
        if self._health.record_answer(now_s, was_unproven=self.is_unproven):
            self.troubled.add(self)
        if self.is_unproven:
            self._log_state("up", "a call was answered", now_s)
        self._down_backoff_s = MIN_DOWN_BACKOFF_S
        self._down_until_s = float("-inf")
        self._consecutive_timeouts = 0
        self._stated_load.record(result, self.record, now_s)
        if result.cold_left_s is not None:
            self._cold_until_s = now_s + result.cold_left_s
        if result.is_other_instance:
            self._mark_down("another process listens at the address", now_s)
        if result.was_not_run:
            self._shed_until_s = now_s + SHED_PENALTY_DURATION_S
        is_success = 200 <= result.status < 500 and not result.was_not_run
        self._observe_failure(not is_success, now_s)
        if is_success:
            self._observe_slowness(took_s / call.typical_s, now_s)

    def record_refused_connection(self, now_s: float) -> None:
        """Record that the server refused a connection that carried no call."""
        self._unreachable_s = now_s
        self.connection_doubt.record_failed()
        self._mark_down("refused a connection", now_s)

    def record_statement(self, statement: ServerStatement, now_s: float) -> None:
        """Record what the server says of itself in a response."""
        is_new = statement.is_leaving and not self.is_leaving
        refused_until_s = now_s + (statement.refusal_s or 0.0)
        if is_new or refused_until_s > max(now_s, self._refused_until_s):
            self._log.write(
                "backend server statement",
                backend=self.record.instance_id,
                service=self.record.service,
                leaving=statement.is_leaving,
                refusal_s=statement.refusal_s,
                record_draining=self.record.is_draining,
                in_flight=len(self._calls),
            )
            observe_statement("leaving" if is_new else "refusal")
        if is_new and now_s - self._unreachable_s <= MAX_RECORD_DELAY_S:
            self._next_run_leaves_until_s = now_s + ADOPTED_LEAVING_S
        if is_new:
            self._leaving_said_s = now_s
        self.is_leaving = self.is_leaving or statement.is_leaving
        self._refused_until_s = max(self._refused_until_s, refused_until_s)

    def record_leaving(self) -> None:
        """Record that the server has said to a peer that it leaves, which is final."""
        self.is_leaving = True

    def forget_unreachable(self) -> None:
        """Forget failures that were not due to the server."""
        self.connection_doubt.record_established()
        self._unreachable_s = float("-inf")
        self._next_run_leaves_until_s = float("-inf")
        self._down_until_s = float("-inf")
        self._down_backoff_s = MIN_DOWN_BACKOFF_S
        self._consecutive_timeouts = 0
        self._health.forget_failures()

    def _record_failure(
        self, failure: CallFailure, took_s: float, typical_s: float, now_s: float
    ) -> None:
        if failure.fault is CallFault.CONNECTION_LIMIT:
            return
        self._observe_failure(True, now_s)
        if failure.fault is CallFault.NOT_CONNECTED:
            self._unreachable_s = now_s
            self.connection_doubt.record_failed()
            self._mark_down(failure.reason, now_s)
        elif failure.fault is CallFault.TIMEOUT:
            self._observe_slowness(took_s / typical_s, now_s)
            self._consecutive_timeouts += 1
            if self._consecutive_timeouts >= TIMEOUTS_TO_DOWN:
                self._mark_down(f"{TIMEOUTS_TO_DOWN} consecutive timeouts", now_s)

    def _mark_down(self, cause: str, now_s: float) -> None:
        if now_s < self._down_until_s:
            return
        self._log_state("down", cause, now_s)
        self._health.record_unreachable(now_s)
        self.troubled.add(self)
        self._down_until_s = now_s + self._down_backoff_s
        self._down_backoff_s = min(MAX_DOWN_BACKOFF_S, 2 * self._down_backoff_s)

    def _observe_slowness(self, ratio: float, now_s: float) -> None:
        slowness = self._health.observe_slowness(ratio, now_s)
        if self._is_slow != (slowness >= (SLOW_END_RATIO if self._is_slow else SLOW_RATIO)):
            self._is_slow = not self._is_slow
            self._log_state("slow" if self._is_slow else "normal", "call latency", now_s)
        if self._is_slow:
            self.troubled.add(self)

    def _log_state(self, state: str, cause: str, now_s: float) -> None:
        self._log.write(
            "backend server condition",
            backend=self.record.instance_id,
            service=self.record.service,
            state=state,
            cause=cause,
            slowness=round(self.slowness(now_s), 1),
            failure_share=round(self.failure_rate(now_s), 2),
            in_flight=len(self._calls),
        )

    def _observe_failure(self, is_failure: bool, now_s: float) -> None:
        self._health.observe_failure(is_failure, now_s)
        if is_failure:
            self.troubled.add(self)

    def _stall_s(self, now_s: float) -> float:
        """Return the age of the oldest call in flight once it is unusual, otherwise 0."""
        if not self._calls:
            return 0.0
        oldest = next(iter(self._calls.values()))
        age_s = now_s - oldest.started_s
        if age_s < max(MIN_STALL_S, STALL_FACTOR * oldest.typical_s):
            return 0.0
        return age_s
