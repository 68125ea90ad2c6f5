"""Adaptive concurrency limit of a warm backend server."""

from __future__ import annotations

FAILURE_DECREASE_FACTOR = 0.5
LATENCY_DECREASE_FACTOR = 0.8
MIN_DECREASE_INTERVAL_S = 0.1
INCREASE_SLOTS_PER_S = 2.0
MAX_INCREASE_INTERVAL_S = 0.1


class AdaptiveLimit:
    """An additive-increase, multiplicative-decrease limit between one and a server's slots.

    Overload halves it and growing latency lowers it by a fifth; several signs within a short time
    count once, since they have one cause. Answers raise it by at most ``INCREASE_SLOTS_PER_S``
    slots a second.
    """

    __slots__ = ("_decreased_s", "_increased_s", "_limit", "_slots", "is_fixed")

    def __init__(self, slots: int, *, is_fixed: bool = False) -> None:
        self.is_fixed = is_fixed
        self._slots = slots
        self._limit = float(slots)
        self._decreased_s = float("-inf")
        self._increased_s = float("-inf")

    @property
    def concurrency_limit(self) -> int:
        """Return the limit, rounded down to whole calls."""
        return int(self._limit)

    def overloaded(self, now_s: float) -> None:
        """Halve the limit after a sign of overload."""
        self._decrease(FAILURE_DECREASE_FACTOR, now_s)

    def latency_grew(self, now_s: float) -> None:
        """Lower the limit by a fifth after a growth of latency."""
        self._decrease(LATENCY_DECREASE_FACTOR, now_s)

    def call_answered(self, now_s: float) -> None:
        """Raise the limit in proportion to the time since the last answer or decrease.

        At most ``MAX_INCREASE_INTERVAL_S`` of it counts, so that an idle server gains nothing.
        """
        if self._limit >= self._slots:
            self._increased_s = now_s
            return
        elapsed_s = min(now_s - self._increased_s, MAX_INCREASE_INTERVAL_S)
        self._increased_s = now_s
        self._limit = min(float(self._slots), self._limit + elapsed_s * INCREASE_SLOTS_PER_S)

    def start_at(self, calls: int) -> None:
        """Start below the slots because another owner may still be using the server."""
        if not self.is_fixed:
            self._limit = float(max(1, min(calls, self._slots)))

    def _decrease(self, factor: float, now_s: float) -> None:
        if self.is_fixed or now_s - self._decreased_s < MIN_DECREASE_INTERVAL_S:
            return
        self._decreased_s = self._increased_s = now_s
        self._limit = max(1.0, self._limit * factor)
