"""Detection of processor overload by the lag of the event loop."""

from __future__ import annotations

WINDOW_TICKS = 20
OVERLOADED_LAG_S = 0.1
RECOVERED_LAG_S = 0.02


class OverloadDetector:
    """Detects overload by the mean lag of periodic ticks, with hysteresis."""

    __slots__ = ("_lags_s", "overloaded")

    def __init__(self) -> None:
        self._lags_s: list[float] = []
        self.overloaded = False

    def observe(self, lag_s: float) -> bool:
        """Record the lag of a tick and return whether ``overloaded`` changed.

        :param lag_s: time between the due time of the tick and its execution, in seconds
        """
        self._lags_s = [*self._lags_s[1 - WINDOW_TICKS :], lag_s]
        if len(self._lags_s) < WINDOW_TICKS:
            return False
        mean_s = sum(self._lags_s) / WINDOW_TICKS
        before = self.overloaded
        self.overloaded = mean_s > (RECOVERED_LAG_S if before else OVERLOADED_LAG_S)
        return self.overloaded is not before
