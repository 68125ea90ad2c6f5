"""The budget of calls beyond the first of each request, for one service.

Over all routers, a window may hold a fraction of its requests plus a slack. Each router spends the
fraction of its own requests and its fraction of the slack, so the sum holds without agreement.
``limit_share`` is that fraction, between 0 and 1.
"""

from __future__ import annotations

from collections import deque

import msgspec

SAFETY_FACTOR = 0.9  # requests near the edges of a window are counted by the other side's clock
BUCKETS = 20  # half a second each at the usual window of 10 s
HEDGE_FRACTION = 0.9  # the rest is kept for calls that have failed for certain
LOW_BUDGET_FRACTION = 0.9  # beyond this, a shard that an answer can do without is left out


class RetryBudgetLimits(msgspec.Struct, frozen=True):
    """What all routers together may send beyond the first calls."""

    ratio: float
    window_s: float
    slack: float


class _Bucket:
    __slots__ = ("extra", "first", "number")

    def __init__(self, number: int) -> None:
        self.number = number
        self.first = 0
        self.extra = 0


class RetryBudget:
    """Counts the calls of this router to a service in a sliding window."""

    __slots__ = ("_buckets", "_extra", "_first", "_limits")

    def __init__(self, limits: RetryBudgetLimits) -> None:
        self._limits = limits
        self._buckets: deque[_Bucket] = deque()
        self._first = 0
        self._extra = 0

    def set_limits(self, limits: RetryBudgetLimits) -> None:
        """Take new limits."""
        self._limits = limits

    def record_request(self, now_s: float) -> None:
        """Count a request for the service."""
        self._current_bucket(now_s).first += 1
        self._first += 1

    def acquire_retry(self, limit_share: float, now_s: float) -> bool:
        """Spend a call that follows a failed one, if the budget has it."""
        return self._acquire(1.0, limit_share, now_s)

    def acquire_hedge(self, limit_share: float, now_s: float) -> bool:
        """Spend a call beside one that has not ended, if the budget has it."""
        return self._acquire(HEDGE_FRACTION, limit_share, now_s)

    def can_hedge(self, limit_share: float, now_s: float) -> bool:
        """Return whether the budget has a call beside one that has not ended."""
        self._current_bucket(now_s)
        return self._extra + 1 <= HEDGE_FRACTION * self._allowed(limit_share)

    def is_low(self, limit_share: float, now_s: float) -> bool:
        """Return whether most of the budget of the window is spent."""
        self._current_bucket(now_s)
        return self._extra + 1 > LOW_BUDGET_FRACTION * self._allowed(limit_share)

    def spent_fraction(self, limit_share: float, now_s: float) -> float:
        """Return which fraction of the budget of the window is spent, at most 1."""
        self._current_bucket(now_s)
        allowed = self._allowed(limit_share)
        return min(1.0, self._extra / allowed) if allowed > 0 else 1.0

    def _acquire(self, fraction: float, limit_share: float, now_s: float) -> bool:
        bucket = self._current_bucket(now_s)
        if self._extra + 1 > fraction * self._allowed(limit_share):
            return False
        bucket.extra += 1
        self._extra += 1
        return True

    def _allowed(self, limit_share: float) -> float:
        limits = self._limits
        return SAFETY_FACTOR * (limits.ratio * self._first + limits.slack * limit_share)

    def _current_bucket(self, now_s: float) -> _Bucket:
        number = int(now_s * BUCKETS / self._limits.window_s)
        while self._buckets and self._buckets[0].number <= number - BUCKETS - 1:
            expired = self._buckets.popleft()
            self._first -= expired.first
            self._extra -= expired.extra
        if not self._buckets or self._buckets[-1].number < number:
            self._buckets.append(_Bucket(number))
        return self._buckets[-1]
