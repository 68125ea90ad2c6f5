"""Whether an entry has more work than its processor time allows."""

from __future__ import annotations

WINDOW_TICKS = 20
OVERLOADED_LAG_S = 0.1
RECOVERED_LAG_S = 0.02


class OverloadDetector:
    """Judges by how late the ticks of the event loop come, with hysteresis."""

    __slots__ = ("_lags_s", "overloaded")

    def __init__(self) -> None:
        self._lags_s: list[float] = []
        self.overloaded = False

    def observe(self, lag_s: float) -> bool:
        """Take how late a tick was and return whether the verdict changed."""
        self._lags_s = [*self._lags_s[1 - WINDOW_TICKS :], lag_s]
        if len(self._lags_s) < WINDOW_TICKS:
            return False
        mean_s = sum(self._lags_s) / WINDOW_TICKS
        before = self.overloaded
        self.overloaded = mean_s > (RECOVERED_LAG_S if before else OVERLOADED_LAG_S)
        return self.overloaded is not before
