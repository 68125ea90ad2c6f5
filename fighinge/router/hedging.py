"""When a request's call in flight is hedged, and why a hedge that was due is not sent.

Made for the seconds in which some backend servers are slow: a second call then saves the answer,
and one that was due and not sent costs it.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from fighinge.router.hedge_delay import hedge_delay_s
from fighinge.router.metrics import UNSENT_HEDGES

if TYPE_CHECKING:
    from collections.abc import Callable

    from fighinge.router.backend import Backend
    from fighinge.router.pool import BackendPool, Service
    from fighinge.router.service_call import CallLimits
    from fighinge.router.typical_latency import TypicalLatencies

RECHECK_S = 0.005  # until a hedge that could not be sent is considered again


class UnsentReason(enum.Enum):
    """Why a hedge that was due was not sent."""

    BUDGET = "budget"
    NO_SERVER = "no server"
    NO_TIME = "no time"
    TOO_MANY = "too many at once"
    QUARANTINE = "quarantine"
    PROBE = "probe"


LASTING_REASONS = frozenset({UnsentReason.QUARANTINE, UnsentReason.PROBE})


class Hedging:
    """The hedges of one request's calls to a service.

    Each reason is counted once for each request and service, however often it is met.
    """

    __slots__ = (
        "_earliest_s",
        "_limits",
        "_may_hedge",
        "_pool",
        "_reasons",
        "_service",
        "_typical_latencies",
    )

    def __init__(
        self,
        limits: CallLimits,
        service: Service,
        pool: BackendPool,
        typical_latencies: TypicalLatencies,
        may_hedge: Callable[[], bool],
    ) -> None:
        """Initialise the hedges of a request.

        :param may_hedge: whether few enough calls of the request are late at once
        """
        self._limits = limits
        self._service = service
        self._pool = pool
        self._typical_latencies = typical_latencies
        self._may_hedge = may_hedge
        self._earliest_s = float("-inf")
        self._reasons: set[UnsentReason] = set()

    def due_s(self, started_s: float, now_s: float) -> float:
        """Return the time at which a call in flight is hedged.

        :param started_s: start of the call
        """
        limits = self._limits
        typical_s = self._typical_latencies.typical_s(limits.latency_key)
        due_s = started_s + hedge_delay_s(typical_s, limits.soft_deadline_s - started_s)
        return max(due_s, now_s + RECHECK_S, self._earliest_s)

    def acquire(
        self,
        choose: Callable[[float], Backend | None],
        now_s: float,
        *,
        is_probe: bool,
        is_quarantined: bool,
        is_paid: bool,
    ) -> Backend | UnsentReason:
        """Spend the budget for a hedge and return its backend server, or why it is not sent.

        :param choose: returns the server to call for a typical latency in seconds
        :param is_probe: whether the request is suspected to crash servers
        :param is_quarantined: whether the request is known to crash servers
        :param is_paid: whether the budget was spent on a hedge that has not been sent
        """
        budget, limit_share = self._service.retry_budget, self._pool.limit_share
        if not self._may_hedge():
            return UnsentReason.TOO_MANY
        if not is_paid and not budget.can_hedge(limit_share, now_s):
            return UnsentReason.BUDGET
        if is_probe:
            return UnsentReason.PROBE
        if is_quarantined:
            return UnsentReason.QUARANTINE
        typical_s = self._typical_latencies.typical_s(self._limits.latency_key)
        backend = choose(typical_s)
        if backend is None:
            return UnsentReason.NO_SERVER
        if now_s + backend.expected_s(typical_s, now_s) >= self._limits.hard_deadline_s:
            return UnsentReason.NO_TIME
        if not is_paid and not budget.acquire_hedge(limit_share, now_s):
            return UnsentReason.BUDGET
        return backend

    def record_unsent(self, reason: UnsentReason) -> bool:
        """Record why a hedge was not sent, and return whether the reason is a new one."""
        if reason in LASTING_REASONS:
            self._earliest_s = self._limits.hard_deadline_s
        if reason in self._reasons:
            return False
        self._reasons.add(reason)
        UNSENT_HEDGES.labels(reason.value).inc()
        return True
