"""The typical latency of calls to healthy backend servers, by route."""

from __future__ import annotations

INITIAL_LATENCY_S = 0.02  # replaced after a few calls
MAX_SAMPLE_FACTOR = 2.0  # a straggler does not raise the typical latency
EWMA_WEIGHT = 0.03  # about thirty calls reveal a change of the work itself
WARM_UP_CALLS = 10
MIN_LATENCY_S = 0.002  # below this, the network dominates


class TypicalLatencies:
    """Exponentially weighted moving averages of call latency; outliers are clipped."""

    __slots__ = ("_call_counts", "_typical_s")

    def __init__(self) -> None:
        self._typical_s: dict[str, float] = {}
        self._call_counts: dict[str, int] = {}

    def typical_s(self, latency_key: str) -> float:
        """Return the typical latency of a call, in seconds."""
        return self._typical_s.get(latency_key, INITIAL_LATENCY_S)

    def observe(self, latency_key: str, took_s: float) -> None:
        """Add the latency of an answered call."""
        calls = self._call_counts[latency_key] = self._call_counts.get(latency_key, 0) + 1
        mean_s = self._typical_s.get(latency_key, took_s)
        weight = max(EWMA_WEIGHT, 1 / calls) if calls <= WARM_UP_CALLS else EWMA_WEIGHT
        clipped_s = took_s if calls <= WARM_UP_CALLS else min(took_s, MAX_SAMPLE_FACTOR * mean_s)
        self._typical_s[latency_key] = max(MIN_LATENCY_S, mean_s + weight * (clipped_s - mean_s))
