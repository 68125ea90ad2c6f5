"""How long groups took to answer lately, and when they last did."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_SAMPLES_PER_GROUP = 32
MAX_SAMPLES_ALL_GROUPS = 512
MIN_SAMPLES = 4
P95_REFRESH_SAMPLES = 64


class Sample(NamedTuple):
    """A latency, or how long a group was waited for that did not answer."""

    took_s: float
    answered: bool


class ResponseTimes:
    """Latencies of the groups that an entry asked lately.

    A group that was given up on counts with the time that was waited for it, which says
    nothing of what would have come later.
    """

    __slots__ = ("_all", "_by_group", "_last_response_s", "_p95_s", "_samples_since_p95")

    def __init__(self) -> None:
        self._all: deque[Sample] = deque(maxlen=MAX_SAMPLES_ALL_GROUPS)
        self._by_group: dict[str, deque[Sample]] = {}
        self._last_response_s: dict[str, float] = {}
        self._p95_s = 0.0
        self._samples_since_p95 = 0

    def observe(self, group: str, took_s: float, *, answered: bool) -> None:
        """Take a latency, or the time after which a group was given up on."""
        samples = self._by_group.get(group)
        if samples is None:
            samples = self._by_group[group] = deque(maxlen=MAX_SAMPLES_PER_GROUP)
        sample = Sample(took_s, answered)
        samples.append(sample)
        self._all.append(sample)
        self._samples_since_p95 += 1

    def record_response(self, aggregator: str, now_s: float) -> None:
        """Note that an aggregator answered something."""
        self._last_response_s[aggregator] = now_s

    def is_silent_since(self, aggregator: str, since_s: float) -> bool:
        """Return whether an aggregator answered nothing after a time."""
        return self._last_response_s.get(aggregator, -1.0) < since_s

    def response_probability(
        self, group: str, waited_s: float, further_s: float, default: float
    ) -> float:
        """Return how likely a group is to answer within a further time.

        Of the samples that lasted longer than what has been waited already, the share that was
        answered within that time counts: the group's own ones or, where these are too few, all
        groups'.

        :param default: what is returned where those are too few as well
        """
        for samples in (self._by_group.get(group, ()), self._all):
            results = _known_results(samples, waited_s, waited_s + further_s)
            if len(results) >= MIN_SAMPLES:
                return sum(results) / len(results)
        return default

    def p95_s(self) -> float:
        """Return the latency that 95 of 100 answers stay within, 0 without samples."""
        if self._samples_since_p95 >= P95_REFRESH_SAMPLES or not self._p95_s:
            ordered = sorted(sample.took_s for sample in self._all)
            self._p95_s = ordered[int(0.95 * (len(ordered) - 1))] if ordered else 0.0
            self._samples_since_p95 = 0
        return self._p95_s


def _known_results(samples: Iterable[Sample], waited_s: float, until_s: float) -> list[bool]:
    """Return for each sample longer than ``waited_s`` whether it was answered by ``until_s``.

    A group that was given up on before then tells neither.
    """
    return [
        sample.answered and sample.took_s <= until_s
        for sample in samples
        if sample.took_s > waited_s and (sample.answered or sample.took_s >= until_s)
    ]
