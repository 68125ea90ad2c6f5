"""How long groups took to answer lately, and when they last did."""

from __future__ import annotations

from collections import deque

SAMPLES_PER_GROUP = 32
SAMPLES_OF_ALL = 512
LEAST_SAMPLES = 4
QUANTILE_REFRESH_SAMPLES = 64


class ResponseTimes:
    """Latencies of the groups that an entry asked lately.

    A group that was given up on counts with the time that was waited for it.
    """

    __slots__ = ("_all", "_by_group", "_heard_s", "_quantile_s", "_since_quantile")

    def __init__(self) -> None:
        self._all: deque[float] = deque(maxlen=SAMPLES_OF_ALL)
        self._by_group: dict[str, deque[float]] = {}
        self._heard_s: dict[str, float] = {}
        self._quantile_s = 0.0
        self._since_quantile = 0

    def observe(self, group: str, took_s: float) -> None:
        """Take a latency."""
        samples = self._by_group.get(group)
        if samples is None:
            samples = self._by_group[group] = deque(maxlen=SAMPLES_PER_GROUP)
        samples.append(took_s)
        self._all.append(took_s)
        self._since_quantile += 1

    def heard_from(self, aggregator: str, now_s: float) -> None:
        """Note that an aggregator answered something."""
        self._heard_s[aggregator] = now_s

    def silent_since(self, aggregator: str, since_s: float) -> bool:
        """Return whether an aggregator answered nothing after a time."""
        return self._heard_s.get(aggregator, -1.0) < since_s

    def chance(self, group: str, waited_s: float, further_s: float) -> float:
        """Return how likely a group is to answer within a further time.

        The share is of those latencies that were longer than what has been waited already,
        the group's own ones or, where these are too few, all groups'; 0 without any.
        """
        own = self._by_group.get(group, ())
        longer = [took_s for took_s in own if took_s > waited_s]
        if len(longer) < LEAST_SAMPLES:
            longer = [took_s for took_s in self._all if took_s > waited_s]
        if not longer:
            return 0.0
        in_time = sum(took_s <= waited_s + further_s for took_s in longer)
        return in_time / len(longer)

    def slow_s(self) -> float:
        """Return the latency that 95 of 100 answers stay within, 0 without samples."""
        if self._since_quantile >= QUANTILE_REFRESH_SAMPLES or not self._quantile_s:
            ordered = sorted(self._all)
            self._quantile_s = ordered[int(0.95 * (len(ordered) - 1))] if ordered else 0.0
            self._since_quantile = 0
        return self._quantile_s
