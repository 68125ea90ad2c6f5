"""When a call has taken so long that another replica is asked as well."""

from __future__ import annotations

import math

SHORTEST_S = 0.0005
BUCKET_RATIO = 1.02
BUCKETS = 512
HALVING_CALLS = 2000
LEARNING_CALLS = 50
REFRESH_CALLS = 50
HEDGED_SHARE_OF_BUDGET = 0.8
LOG_RATIO = math.log(BUCKET_RATIO)


class DecayingHistogram:
    """Counts of latencies in buckets of equal ratio; old counts lose weight as new ones come."""

    __slots__ = ("_counts", "_total", "records")

    def __init__(self) -> None:
        self._counts = [0.0] * BUCKETS
        self._total = 0.0
        self.records = 0

    def record(self, latency_s: float) -> None:
        """Count a latency."""
        bucket = 0
        if latency_s > SHORTEST_S:
            bucket = min(BUCKETS - 1, 1 + int(math.log(latency_s / SHORTEST_S) / LOG_RATIO))
        self._counts[bucket] += 1.0
        self._total += 1.0
        self.records += 1
        if self._total >= 2 * HALVING_CALLS:
            self._counts = [count / 2 for count in self._counts]
            self._total /= 2

    def quantile_s(self, quantile: float) -> float:
        """Return the upper end of the bucket that a quantile falls into."""
        left = (1.0 - quantile) * self._total
        for bucket in range(BUCKETS - 1, 0, -1):
            left -= self._counts[bucket]
            if left < 0:
                return SHORTEST_S * BUCKET_RATIO**bucket
        return SHORTEST_S


class HedgeDelay:
    """The delay of hedges for one class of queries at one replica group.

    The quantile leaves a part of the extra-load budget to retries.
    """

    __slots__ = ("_delay_s", "_histogram", "_quantile", "_refreshed_at")

    def __init__(self, extra_load_share: float) -> None:
        self._quantile = 1.0 - HEDGED_SHARE_OF_BUDGET * extra_load_share
        self._histogram = DecayingHistogram()
        self._delay_s: float | None = None
        self._refreshed_at = LEARNING_CALLS

    @property
    def delay_s(self) -> float | None:
        """Return the delay, or none before enough calls were seen."""
        return self._delay_s

    def record(self, latency_s: float) -> None:
        """Learn from a call; for a cancelled one, from the time that it had taken."""
        self._histogram.record(latency_s)
        if self._histogram.records >= self._refreshed_at:
            self._refreshed_at = self._histogram.records + REFRESH_CALLS
            self._delay_s = self._histogram.quantile_s(self._quantile)
