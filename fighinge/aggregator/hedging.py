"""When a call has taken so long that another replica is asked as well."""

from __future__ import annotations

import math

MIN_LATENCY_S = 0.0005
BUCKET_RATIO = 1.02
BUCKET_COUNT = 512
HALVING_SAMPLES = 2000
MIN_SAMPLES = 50
REFRESH_INTERVAL_SAMPLES = 50
HEDGE_BUDGET_RATIO = 0.8
LOG_BUCKET_RATIO = math.log(BUCKET_RATIO)


class DecayingHistogram:
    """Counts of latencies in buckets of equal ratio; old counts lose weight as new ones come."""

    __slots__ = ("_counts", "_total", "samples")

    def __init__(self) -> None:
        self._counts = [0.0] * BUCKET_COUNT
        self._total = 0.0
        self.samples = 0

    def record(self, latency_s: float) -> None:
        """Count a latency."""
        bucket = 0
        if latency_s > MIN_LATENCY_S:
            bucket = min(
                BUCKET_COUNT - 1, 1 + int(math.log(latency_s / MIN_LATENCY_S) / LOG_BUCKET_RATIO)
            )
        self._counts[bucket] += 1.0
        self._total += 1.0
        self.samples += 1
        if self._total >= 2 * HALVING_SAMPLES:
            self._counts = [count / 2 for count in self._counts]
            self._total /= 2

    def quantile_s(self, quantile: float) -> float:
        """Return the upper end of the bucket that a quantile falls into."""
        remaining = (1.0 - quantile) * self._total
        for bucket in range(BUCKET_COUNT - 1, 0, -1):
            remaining -= self._counts[bucket]
            if remaining < 0:
                return MIN_LATENCY_S * BUCKET_RATIO**bucket
        return MIN_LATENCY_S


class HedgeDelay:
    """The delay of hedges for one class of queries at one replica group.

    The quantile leaves a part of the extra-load budget to retries.
    """

    __slots__ = ("_delay_s", "_histogram", "_next_refresh_samples", "_quantile")

    def __init__(self, retry_budget_ratio: float) -> None:
        self._quantile = 1.0 - HEDGE_BUDGET_RATIO * retry_budget_ratio
        self._histogram = DecayingHistogram()
        self._delay_s: float | None = None
        self._next_refresh_samples = MIN_SAMPLES

    @property
    def delay_s(self) -> float | None:
        """Return the delay, or none before enough calls were seen."""
        return self._delay_s

    def record(self, latency_s: float) -> None:
        """Learn from a call; for a cancelled one, from the time that it had taken."""
        self._histogram.record(latency_s)
        if self._histogram.samples >= self._next_refresh_samples:
            self._next_refresh_samples = self._histogram.samples + REFRESH_INTERVAL_SAMPLES
            self._delay_s = self._histogram.quantile_s(self._quantile)
