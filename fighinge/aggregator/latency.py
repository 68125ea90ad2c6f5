"""What a backend server's latency usually is, and runs of calls that are slower."""

from __future__ import annotations

INITIAL_LATENCY_S = 0.02
USUAL_WEIGHT = 0.05
OUTLIER_FACTOR = 2.0
GROWTH_FACTOR = 2.0
GROWTH_CALLS = 3
JUMP_FACTOR = 2.5
JUMP_FLOOR_S = 0.002
JUMP_CALLS = 4
LEARNING_CALLS = 8
SHARE_WEIGHT = 1 / 64
COMMON_SHARE = 0.5


class SlowShare:
    """The share of all recent calls that were slow, whichever server they went to.

    While most servers are slow at once, the cause is this process, its network or the load, and
    no conclusion about a single server holds.
    """

    __slots__ = ("_share",)

    def __init__(self) -> None:
        self._share = 0.0

    @property
    def is_common(self) -> bool:
        """Return whether being slow says nothing about the server."""
        return self._share > COMMON_SHARE

    def observe(self, *, is_slow: bool) -> None:
        """Count a call."""
        self._share += SHARE_WEIGHT * (is_slow - self._share)


class _ClassLatency:
    """The usual latency of one class of queries."""

    __slots__ = ("calls", "usual_s")

    def __init__(self, first_s: float) -> None:
        self.usual_s = first_s
        self.calls = 1

    def observe(self, took_s: float) -> None:
        weight = max(USUAL_WEIGHT, 1 / (self.calls + 1))
        self.usual_s += weight * (min(took_s, OUTLIER_FACTOR * self.usual_s) - self.usual_s)
        self.calls += 1


class LatencyTrend:
    """Tells a slow phase of a server from single slow calls.

    A straggler among quick calls is no sign of anything; a run of slow calls without a quick
    one between them is. Classes of queries are compared with themselves only.
    """

    __slots__ = ("_classes", "_everywhere", "_grown_calls", "_jumped_calls", "typical_s")

    def __init__(self, everywhere: SlowShare, typical_s: float = INITIAL_LATENCY_S) -> None:
        self.typical_s = typical_s
        self._everywhere = everywhere
        self._classes: dict[str, _ClassLatency] = {}
        self._grown_calls = 0
        self._jumped_calls = 0

    @property
    def has_grown(self) -> bool:
        """Return whether the last calls all took longer than usual."""
        return self._grown_calls >= GROWTH_CALLS and not self._everywhere.is_common

    @property
    def has_jumped(self) -> bool:
        """Return whether the last calls all took so long that the server must have changed."""
        return self._jumped_calls >= JUMP_CALLS and not self._everywhere.is_common

    def observe(self, query_class: str, took_s: float) -> None:
        """Take the latency of an answered call."""
        self.typical_s += USUAL_WEIGHT * (
            min(took_s, OUTLIER_FACTOR * self.typical_s) - self.typical_s
        )
        known = self._classes.get(query_class)
        if known is None:
            self._classes[query_class] = _ClassLatency(took_s)
            return
        if known.calls >= LEARNING_CALLS:
            self._count_slow(took_s, known.usual_s)
        known.observe(took_s)

    def is_slow(self, query_class: str, took_s: float) -> bool:
        """Return whether a call that has not ended took longer than calls of its class do."""
        known = self._classes.get(query_class)
        return known is not None and took_s > GROWTH_FACTOR * known.usual_s

    def forget(self) -> None:
        """Learn anew, as from a server that has changed."""
        self._classes.clear()
        self._grown_calls = self._jumped_calls = 0

    def _count_slow(self, took_s: float, usual_s: float) -> None:
        has_grown = took_s > GROWTH_FACTOR * usual_s
        self._everywhere.observe(is_slow=has_grown)
        self._grown_calls = self._grown_calls + 1 if has_grown else 0
        jumped = took_s > JUMP_FACTOR * usual_s and took_s - usual_s > JUMP_FLOOR_S
        self._jumped_calls = self._jumped_calls + 1 if jumped else 0
