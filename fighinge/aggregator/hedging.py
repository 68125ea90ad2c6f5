"""Delay after which a call is hedged on another replica."""

from __future__ import annotations

import math

MIN_LATENCY_S = 0.0005
BUCKET_RATIO = 1.02
BUCKET_COUNT = 512
HALVING_INTERVAL_SAMPLES = 2000
MIN_SAMPLES = 50
REFRESH_INTERVAL_SAMPLES = 50
HEDGE_BUDGET_FRACTION = 0.8
LOG_BUCKET_RATIO = math.log(BUCKET_RATIO)


class DecayingHistogram:
    """A latency histogram with logarithmic buckets and exponential decay of old samples."""

    __slots__ = ("_counts", "_total", "samples")

    def __init__(self) -> None:
        self._counts = [0.0] * BUCKET_COUNT
        self._total = 0.0
        self.samples = 0

    def record(self, latency_s: float) -> None:
        """Add a sample."""
        bucket = 0
        if latency_s > MIN_LATENCY_S:
            bucket = min(
                BUCKET_COUNT - 1, 1 + int(math.log(latency_s / MIN_LATENCY_S) / LOG_BUCKET_RATIO)
            )
        self._counts[bucket] += 1.0
        self._total += 1.0
        self.samples += 1
        if self._total >= 2 * HALVING_INTERVAL_SAMPLES:
            self._counts = [count / 2 for count in self._counts]
            self._total /= 2

    def quantile_s(self, quantile: float) -> float:
        """Return the upper bound of the bucket that contains a quantile."""
        remaining = (1.0 - quantile) * self._total
        for bucket in range(BUCKET_COUNT - 1, 0, -1):
            remaining -= self._counts[bucket]
            if remaining < 0:
                return MIN_LATENCY_S * BUCKET_RATIO**bucket
        return MIN_LATENCY_S


class HedgeDelay:
    """The hedge delay of one query class at one replica group: a quantile of its latency.

    The quantile lets hedges use up only a fraction of the retry budget and leaves the rest to
    retries.
    """

    __slots__ = ("_delay_s", "_histogram", "_next_refresh_samples", "_quantile")

    def __init__(self, retry_budget_ratio: float) -> None:
        self._quantile = 1.0 - HEDGE_BUDGET_FRACTION * retry_budget_ratio
        self._histogram = DecayingHistogram()
        self._delay_s: float | None = None
        self._next_refresh_samples = MIN_SAMPLES

    @property
    def delay_s(self) -> float | None:
        """Return the delay, or none before there are enough samples."""
        return self._delay_s

    def record(self, latency_s: float) -> None:
        """Add the latency of a call, or the time until it was cancelled."""
        self._histogram.record(latency_s)
        if self._histogram.samples >= self._next_refresh_samples:
            self._next_refresh_samples = self._histogram.samples + REFRESH_INTERVAL_SAMPLES
            self._delay_s = self._histogram.quantile_s(self._quantile)
