"""The budget of calls beyond the first of each request, for one service.

All routers together may send a share of the requests and a slack in each window. A router spends
the share of its own requests and its part of the slack, so that the sum holds without agreement.
``part`` is that part, between 0 and 1.
"""

from __future__ import annotations

from collections import deque

import msgspec

SAFETY = 0.9  # requests near the edges of a window are counted by the other side's clock
BUCKETS = 20  # half a second each at the usual window of 10 s
HEDGE_PART = 0.9  # the rest is kept for calls that have failed for certain
SCARCE_PART = 0.9  # beyond this, a shard that an answer can do without is left out


class RetryBudgetLimits(msgspec.Struct, frozen=True):
    """What all routers together may send beyond the first calls."""

    share: float
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

    __slots__ = ("_buckets", "_extra", "_first", "_terms")

    def __init__(self, terms: RetryBudgetLimits) -> None:
        self._terms = terms
        self._buckets: deque[_Bucket] = deque()
        self._first = 0
        self._extra = 0

    def limit(self, terms: RetryBudgetLimits) -> None:
        """Take new terms."""
        self._terms = terms

    def requested(self, now_s: float) -> None:
        """Count a request for the service."""
        self._current(now_s).first += 1
        self._first += 1

    def take_retry(self, part: float, now_s: float) -> bool:
        """Spend a call that follows a failed one, if the budget has it."""
        return self._take(1.0, part, now_s)

    def take_hedge(self, part: float, now_s: float) -> bool:
        """Spend a call beside one that has not ended, if the budget has it."""
        return self._take(HEDGE_PART, part, now_s)

    def has_hedge(self, part: float, now_s: float) -> bool:
        """Return whether the budget has a call beside one that has not ended."""
        self._current(now_s)
        return self._extra + 1 <= HEDGE_PART * self._allowed(part)

    def is_scarce(self, part: float, now_s: float) -> bool:
        """Return whether most of the budget of the window is spent."""
        self._current(now_s)
        return self._extra + 1 > SCARCE_PART * self._allowed(part)

    def spent_share(self, part: float, now_s: float) -> float:
        """Return which share of the budget of the window is spent, at most 1."""
        self._current(now_s)
        allowed = self._allowed(part)
        return min(1.0, self._extra / allowed) if allowed > 0 else 1.0

    def _take(self, share: float, part: float, now_s: float) -> bool:
        bucket = self._current(now_s)
        if self._extra + 1 > share * self._allowed(part):
            return False
        bucket.extra += 1
        self._extra += 1
        return True

    def _allowed(self, part: float) -> float:
        terms = self._terms
        return SAFETY * (terms.share * self._first + terms.slack * part)

    def _current(self, now_s: float) -> _Bucket:
        number = int(now_s * BUCKETS / self._terms.window_s)
        while self._buckets and self._buckets[0].number <= number - BUCKETS - 1:
            old = self._buckets.popleft()
            self._first -= old.first
            self._extra -= old.extra
        if not self._buckets or self._buckets[-1].number < number:
            self._buckets.append(_Bucket(number))
        return self._buckets[-1]
