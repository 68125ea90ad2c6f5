"""The retry budget of one service: calls beyond the first of each request.

All routers together may send as extra calls a ratio of the requests in a window, plus a slack.
Each router applies the ratio to its own requests and gets the fraction ``limit_share`` of the
slack, so that the sum stays within the limit without coordination.
"""

from __future__ import annotations

from collections import deque

import msgspec

SAFETY_FACTOR = 0.9  # requests at window edges are counted by the other side's clock
BUCKETS_PER_WINDOW = 20  # half a second each for a window of 10 s
HEDGE_BUDGET_FRACTION = 0.9  # the rest is reserved for retries of calls that have failed
LOW_BUDGET_FRACTION = 0.9  # beyond this, shards that an answer does not need are excluded


class RetryBudgetLimits(msgspec.Struct, frozen=True):
    """Limits of the extra calls of all routers together."""

    ratio: float
    window_s: float
    slack: float


class _Bucket:
    __slots__ = ("extra_calls", "first_calls", "number")

    def __init__(self, number: int) -> None:
        self.number = number
        self.first_calls = 0
        self.extra_calls = 0


class RetryBudget:
    """Counts the calls of this router to a service in a sliding window."""

    __slots__ = ("_buckets", "_extra_calls", "_first_calls", "_limits")

    def __init__(self, limits: RetryBudgetLimits) -> None:
        self._limits = limits
        self._buckets: deque[_Bucket] = deque()
        self._first_calls = 0
        self._extra_calls = 0

    def set_limits(self, limits: RetryBudgetLimits) -> None:
        """Replace the limits."""
        self._limits = limits

    def record_request(self, now_s: float) -> None:
        """Record a request for the service."""
        self._current_bucket(now_s).first_calls += 1
        self._first_calls += 1

    def acquire_retry(self, limit_share: float, now_s: float) -> bool:
        """Spend one call on a retry if the budget allows it, and return whether it does."""
        return self._acquire(1.0, limit_share, now_s)

    def acquire_hedge(self, limit_share: float, now_s: float) -> bool:
        """Spend one call on a hedge if the budget allows it, and return whether it does."""
        return self._acquire(HEDGE_BUDGET_FRACTION, limit_share, now_s)

    def can_hedge(self, limit_share: float, now_s: float) -> bool:
        """Return whether the budget allows a hedge."""
        self._current_bucket(now_s)
        return self._extra_calls + 1 <= HEDGE_BUDGET_FRACTION * self._allowed_extra_calls(
            limit_share
        )

    def is_low(self, limit_share: float, now_s: float) -> bool:
        """Return whether most of the budget of the window is spent."""
        self._current_bucket(now_s)
        return self._extra_calls + 1 > LOW_BUDGET_FRACTION * self._allowed_extra_calls(limit_share)

    def spent_fraction(self, limit_share: float, now_s: float) -> float:
        """Return the fraction of the budget of the window that is spent, at most 1."""
        self._current_bucket(now_s)
        allowed = self._allowed_extra_calls(limit_share)
        return min(1.0, self._extra_calls / allowed) if allowed > 0 else 1.0

    def _acquire(self, fraction: float, limit_share: float, now_s: float) -> bool:
        bucket = self._current_bucket(now_s)
        if self._extra_calls + 1 > fraction * self._allowed_extra_calls(limit_share):
            return False
        bucket.extra_calls += 1
        self._extra_calls += 1
        return True

    def _allowed_extra_calls(self, limit_share: float) -> float:
        limits = self._limits
        return SAFETY_FACTOR * (limits.ratio * self._first_calls + limits.slack * limit_share)

    def _current_bucket(self, now_s: float) -> _Bucket:
        number = int(now_s * BUCKETS_PER_WINDOW / self._limits.window_s)
        while self._buckets and self._buckets[0].number <= number - BUCKETS_PER_WINDOW - 1:
            expired = self._buckets.popleft()
            self._first_calls -= expired.first_calls
            self._extra_calls -= expired.extra_calls
        if not self._buckets or self._buckets[-1].number < number:
            self._buckets.append(_Bucket(number))
        return self._buckets[-1]
