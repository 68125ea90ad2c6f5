"""What calls of a route take at healthy backend servers."""

from __future__ import annotations

INITIAL_LATENCY_S = 0.02  # replaced after a few calls
MAX_SAMPLE_FACTOR = 2.0  # a straggler does not change what is typical
EWMA_WEIGHT = 0.03  # some thirty calls tell a change of the work itself
WARM_UP_CALLS = 10
MIN_LATENCY_S = 0.002  # below this, the network counts more than the work


class TypicalLatencies:
    """Follows the usual time of a call for each latency_key of request; stragglers are clipped."""

    __slots__ = ("_call_counts", "_typical_s")

    def __init__(self) -> None:
        self._typical_s: dict[str, float] = {}
        self._call_counts: dict[str, int] = {}

    def typical_s(self, latency_key: str) -> float:
        """Return the usual time of a call."""
        return self._typical_s.get(latency_key, INITIAL_LATENCY_S)

    def observe(self, latency_key: str, took_s: float) -> None:
        """Take the time of a call that was answered."""
        calls = self._call_counts[latency_key] = self._call_counts.get(latency_key, 0) + 1
        mean_s = self._typical_s.get(latency_key, took_s)
        weight = max(EWMA_WEIGHT, 1 / calls) if calls <= WARM_UP_CALLS else EWMA_WEIGHT
        clipped_s = took_s if calls <= WARM_UP_CALLS else min(took_s, MAX_SAMPLE_FACTOR * mean_s)
        self._typical_s[latency_key] = max(MIN_LATENCY_S, mean_s + weight * (clipped_s - mean_s))
