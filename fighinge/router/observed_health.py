"""Slowness and failures of one backend server: own observations, and reports of other routers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from fighinge.router.received_reports import ReceivedReports
from fighinge.router.server_reports import ANSWERING, UNCERTAIN, UNREACHABLE, Condition

if TYPE_CHECKING:
    from fighinge.router.model import BackendRecord
    from fighinge.router.received_reports import ReceivedReport

SLOWNESS_EWMA_WEIGHT = 0.3  # three calls distinguish a slow phase from one pause
MAX_SLOWNESS = 30.0  # above any slow phase; bounds the time until it has decayed
SLOWNESS_DECAY_S = 2.0  # slow phases last some seconds; then the server is tried again
FAILURE_EWMA_WEIGHT = 0.25  # four consecutive failures make a server the last choice
FAILURE_DECAY_S = 2.0  # as for SLOWNESS_DECAY_S
MAX_FAILURE_RATE = 0.95  # keeps the expected latency finite if every call fails
RETURN_S = 1.0  # for which others are told that a server answers


class ObservedHealth:
    """Moving averages of the results of calls, which decay while there are none.

    Own observations never include what was received, so that a router does not repeat it.
    """

    __slots__ = (
        "_answered_s",
        "_failure_observed_s",
        "_failure_rate",
        "_received",
        "_returned_s",
        "_slowness",
        "_slowness_observed_s",
        "_unreachable_s",
    )

    def __init__(self) -> None:
        self._slowness = 1.0
        self._slowness_observed_s = float("-inf")
        self._failure_rate = 0.0
        self._failure_observed_s = float("-inf")
        self._answered_s = float("-inf")
        self._unreachable_s = float("-inf")
        self._returned_s = float("-inf")
        self._received: ReceivedReports | None = None

    def record_report(self, report: ReceivedReport, now_s: float) -> None:
        """Take in what another router has observed."""
        if self._received is None:
            self._received = ReceivedReports()
        self._received.add(report, now_s)

    def slowness(self, now_s: float) -> float:
        """Return the ratio of the server's latency to the typical one."""
        own = self.own_slowness(now_s)
        if self._received is None:
            return own
        return self._received.slowness(own, self._slowness_observed_s, now_s)

    def own_slowness(self, now_s: float) -> float:
        """Return the slowness by own observations."""
        if self._slowness == 1.0:
            return 1.0
        idle_s = now_s - self._slowness_observed_s
        return 1.0 + (self._slowness - 1.0) * math.exp(-idle_s / SLOWNESS_DECAY_S)

    def failure_rate(self, now_s: float) -> float:
        """Return the fraction of recent calls that gave no usable answer."""
        own = self._own_failure_rate(now_s)
        if self._received is None:
            return own
        received = self._received.failing_share(own, self._failure_observed_s, now_s)
        return min(MAX_FAILURE_RATE, received)

    def _own_failure_rate(self, now_s: float) -> float:
        if not self._failure_rate:
            return 0.0
        idle_s = now_s - self._failure_observed_s
        return min(MAX_FAILURE_RATE, self._failure_rate * math.exp(-idle_s / FAILURE_DECAY_S))

    def observe_slowness(self, ratio: float, now_s: float) -> float:
        """Take in the slowness of one call, and return the average."""
        previous = self.own_slowness(now_s)
        self._slowness = previous + SLOWNESS_EWMA_WEIGHT * (min(ratio, MAX_SLOWNESS) - previous)
        self._slowness_observed_s = now_s
        return self._slowness

    def observe_failure(self, is_failure: bool, now_s: float) -> None:
        """Take in whether one call failed."""
        previous = self._own_failure_rate(now_s)
        self._failure_rate = previous + FAILURE_EWMA_WEIGHT * (is_failure - previous)
        self._failure_observed_s = now_s

    def record_answer(self, now_s: float, *, was_unproven: bool) -> bool:
        """Record a response, and return whether other routers may believe the server unreachable.

        :param was_unproven: whether this router found it unreachable and had no answer since
        """
        self._answered_s = now_s
        is_refuted = self._received is not None and self._received.refute(now_s, now_s)
        if is_refuted or was_unproven:
            self._returned_s = now_s
        return is_refuted or was_unproven

    def record_unreachable(self, now_s: float) -> None:
        """Record that the server could not be reached."""
        self._unreachable_s = now_s

    def forget_failures(self) -> None:
        """Forget failures that were not due to the server."""
        self._failure_rate = 0.0
        self._unreachable_s = float("-inf")

    def is_in_doubt(self, now_s: float, *, is_unproven: bool) -> bool:
        """Return whether the server may be unreachable now.

        :param is_unproven: whether this router found it unreachable and got no answer since
        """
        received = self._received
        if is_unproven and (received is None or received.proven_s <= self._unreachable_s):
            return True
        return received is not None and received.is_unreachable(self._answered_s, now_s)

    def condition(self, record: BackendRecord, now_s: float, *, is_unproven: bool) -> Condition:
        """Return the own observations, for other routers."""
        observed_s = max(self._slowness_observed_s, self._failure_observed_s, self._unreachable_s)
        if is_unproven:
            state = UNREACHABLE
        elif self._answered_s >= observed_s:
            state = ANSWERING
        else:
            state = UNCERTAIN
        is_observed = math.isfinite(observed_s)
        return Condition(
            record.instance_id,
            record.started_ms,
            self.own_slowness(observed_s) if is_observed else 1.0,
            self._own_failure_rate(observed_s) if is_observed else 0.0,
            state,
            observed_s if is_observed else now_s,
            has_returned=now_s - self._returned_s < RETURN_S,
        )
