"""Recent response times of groups and the time of each aggregator's last response."""

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
    """A response time, or the time waited for a group that did not answer."""

    took_s: float
    answered: bool


class ResponseTimes:
    """Recent response times of the groups that an entry sent sub-queries to.

    A wait without an answer is a censored sample: it says nothing about later times.
    """

    __slots__ = ("_all", "_by_group", "_last_response_s", "_p95_s", "_samples_since_p95")

    def __init__(self) -> None:
        self._all: deque[Sample] = deque(maxlen=MAX_SAMPLES_ALL_GROUPS)
        self._by_group: dict[str, deque[Sample]] = {}
        self._last_response_s: dict[str, float] = {}
        self._p95_s = 0.0
        self._samples_since_p95 = 0

    def observe(self, group: str, took_s: float, *, answered: bool) -> None:
        """Add a response time, or the time after which the wait for a group ended."""
        samples = self._by_group.get(group)
        if samples is None:
            samples = self._by_group[group] = deque(maxlen=MAX_SAMPLES_PER_GROUP)
        sample = Sample(took_s, answered)
        samples.append(sample)
        self._all.append(sample)
        self._samples_since_p95 += 1

    def record_response(self, aggregator: str, now_s: float) -> None:
        """Record that an aggregator sent an outcome."""
        self._last_response_s[aggregator] = now_s

    def has_no_response_since(self, aggregator: str, since_s: float) -> bool:
        """Return whether no outcome of an aggregator arrived since a clock time."""
        return self._last_response_s.get(aggregator, -1.0) < since_s

    def response_probability(
        self, group: str, waited_s: float, further_s: float, default: float
    ) -> float:
        """Estimate the probability that a group answers within a further time.

        The estimate is the fraction of the samples longer than ``waited_s`` that were answered
        within that time, from the group's own samples or, if these are too few, from those of
        all groups.

        :param default: result if these are too few as well
        """
        for samples in (self._by_group.get(group, ()), self._all):
            results = _known_results(samples, waited_s, waited_s + further_s)
            if len(results) >= MIN_SAMPLES:
                return sum(results) / len(results)
        return default

    def p95_s(self) -> float:
        """Return the 95th percentile of the sample times in seconds, 0 without samples."""
        if self._samples_since_p95 >= P95_REFRESH_SAMPLES or not self._p95_s:
            ordered = sorted(sample.took_s for sample in self._all)
            self._p95_s = ordered[int(0.95 * (len(ordered) - 1))] if ordered else 0.0
            self._samples_since_p95 = 0
        return self._p95_s


def _known_results(samples: Iterable[Sample], waited_s: float, until_s: float) -> list[bool]:
    """Return whether each sample longer than ``waited_s`` was answered by ``until_s``.

    Waits without an answer that ended before ``until_s`` are left out; their result is unknown.
    """
    return [
        sample.answered and sample.took_s <= until_s
        for sample in samples
        if sample.took_s > waited_s and (sample.answered or sample.took_s >= until_s)
    ]
