"""Average latency of a backend server, and detection of runs of slow calls."""

from __future__ import annotations

INITIAL_LATENCY_S = 0.02
EWMA_WEIGHT = 0.05
OUTLIER_FACTOR = 2.0
GROWTH_FACTOR = 2.0
MIN_GROWTH_RUN_CALLS = 3
JUMP_FACTOR = 2.5
MIN_JUMP_S = 0.002
MIN_JUMP_RUN_CALLS = 4
MIN_SAMPLES = 8
SLOW_FRACTION_EWMA_WEIGHT = 1 / 64
WIDESPREAD_SLOW_FRACTION = 0.5


class SlowCallFraction:
    """The fraction of recent calls to any server that were slow.

    While most calls are slow, the cause is this process, its network or the load, so nothing can be
    concluded about a single server.
    """

    __slots__ = ("_fraction",)

    def __init__(self) -> None:
        self._fraction = 0.0

    @property
    def is_widespread(self) -> bool:
        """Return whether most recent calls were slow, whichever server they went to."""
        return self._fraction > WIDESPREAD_SLOW_FRACTION

    def observe(self, *, is_slow: bool) -> None:
        """Add a call."""
        self._fraction += SLOW_FRACTION_EWMA_WEIGHT * (is_slow - self._fraction)


class _ClassEwma:
    """The average latency of one query class, with outliers clipped."""

    __slots__ = ("ewma_s", "samples")

    def __init__(self, latency_s: float) -> None:
        self.ewma_s = latency_s
        self.samples = 1

    def observe(self, latency_s: float) -> None:
        weight = max(EWMA_WEIGHT, 1 / (self.samples + 1))
        self.ewma_s += weight * (min(latency_s, OUTLIER_FACTOR * self.ewma_s) - self.ewma_s)
        self.samples += 1


class LatencyTrend:
    """Detects that a server has become slow, as opposed to single slow calls.

    Only an uninterrupted run of slow calls counts; a straggler among fast calls does not. A call
    is compared with the average of its own query class.
    """

    __slots__ = ("_classes", "_growth_run_calls", "_jump_run_calls", "_slow_fraction", "ewma_s")

    def __init__(self, slow_fraction: SlowCallFraction, ewma_s: float = INITIAL_LATENCY_S) -> None:
        self.ewma_s = ewma_s
        self._slow_fraction = slow_fraction
        self._classes: dict[str, _ClassEwma] = {}
        self._growth_run_calls = 0
        self._jump_run_calls = 0

    @property
    def has_grown(self) -> bool:
        """Return whether the last calls all took over ``GROWTH_FACTOR`` times the class average."""
        return (
            self._growth_run_calls >= MIN_GROWTH_RUN_CALLS and not self._slow_fraction.is_widespread
        )

    @property
    def has_jumped(self) -> bool:
        """Return whether the last calls were all so slow that the server must have changed."""
        return self._jump_run_calls >= MIN_JUMP_RUN_CALLS and not self._slow_fraction.is_widespread

    def observe(self, query_class: str, latency_s: float) -> None:
        """Add the latency of an answered call."""
        self.ewma_s += EWMA_WEIGHT * (min(latency_s, OUTLIER_FACTOR * self.ewma_s) - self.ewma_s)
        average = self._classes.get(query_class)
        if average is None:
            self._classes[query_class] = _ClassEwma(latency_s)
            return
        if average.samples >= MIN_SAMPLES:
            self._update_runs(latency_s, average.ewma_s)
        average.observe(latency_s)

    def is_slow(self, query_class: str, latency_s: float) -> bool:
        """Return whether a call without an answer took much longer than the class average."""
        average = self._classes.get(query_class)
        return average is not None and latency_s > GROWTH_FACTOR * average.ewma_s

    def reset(self) -> None:
        """Discard the averages by class and the runs, after a change of the server."""
        self._classes.clear()
        self._growth_run_calls = self._jump_run_calls = 0

    def _update_runs(self, latency_s: float, ewma_s: float) -> None:
        has_grown = latency_s > GROWTH_FACTOR * ewma_s
        self._slow_fraction.observe(is_slow=has_grown)
        self._growth_run_calls = self._growth_run_calls + 1 if has_grown else 0
        jumped = latency_s > JUMP_FACTOR * ewma_s and latency_s - ewma_s > MIN_JUMP_S
        self._jump_run_calls = self._jump_run_calls + 1 if jumped else 0
