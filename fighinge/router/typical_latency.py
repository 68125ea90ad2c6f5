"""What calls of a route take at healthy backend servers."""

from __future__ import annotations

INITIAL_S = 0.02  # replaced after a few calls
CLIP_FACTOR = 2.0  # a straggler does not change what is typical
WEIGHT = 0.03  # some thirty calls tell a change of the work itself
LEARNING_CALLS = 10
FLOOR_S = 0.002  # below this, the network counts more than the work


class TypicalLatencies:
    """Follows the usual time of a call for each kind of request; stragglers are clipped."""

    __slots__ = ("_calls", "_typical_s")

    def __init__(self) -> None:
        self._typical_s: dict[str, float] = {}
        self._calls: dict[str, int] = {}

    def typical_s(self, kind: str) -> float:
        """Return the usual time of a call."""
        return self._typical_s.get(kind, INITIAL_S)

    def observe(self, kind: str, took_s: float) -> None:
        """Take the time of a call that was answered."""
        calls = self._calls[kind] = self._calls.get(kind, 0) + 1
        known_s = self._typical_s.get(kind, took_s)
        weight = max(WEIGHT, 1 / calls) if calls <= LEARNING_CALLS else WEIGHT
        clipped_s = took_s if calls <= LEARNING_CALLS else min(took_s, CLIP_FACTOR * known_s)
        self._typical_s[kind] = max(FLOOR_S, known_s + weight * (clipped_s - known_s))
