"""How a backend server in a cold start is led to its full load."""

from __future__ import annotations

WINDOW_CALLS = 16
WINDOW_S = 0.25
REPORT_HOLD_S = 10.0


class ColdStart:
    """Lets one call at a time run on a cold server and doubles after each clean window.

    A window ends after a number of answers and not before a time. Any sign of distress leads
    back to one call. A server that reports itself cold is held at one call, but not for longer
    than a stuck report deserves.
    """

    __slots__ = ("_answers", "_full", "_held_until_s", "_window_started_s", "allowance", "is_cold")

    def __init__(self, slots: int, now_s: float) -> None:
        self._full = slots
        self._held_until_s = 0.0
        self.begin(now_s)

    def begin(self, now_s: float) -> None:
        """Start again at one call."""
        self.is_cold = True
        self.allowance = 1
        self._open_window(now_s)

    def hold(self, now_s: float) -> None:
        """Stay at one call because the server reports itself cold."""
        self.begin(now_s)
        self._held_until_s = now_s + REPORT_HOLD_S

    def release(self) -> None:
        """Go on because the server no longer reports itself cold."""
        self._held_until_s = 0.0

    def finish(self) -> None:
        """Take the server for warm."""
        self.is_cold = False
        self.allowance = self._full

    def answered(self, now_s: float) -> None:
        """Count a call that ended well."""
        if not self.is_cold:
            return
        self._answers += 1
        if self._answers < WINDOW_CALLS or now_s - self._window_started_s < WINDOW_S:
            return
        if now_s < self._held_until_s:
            return
        self._open_window(now_s)
        if self.allowance >= self._full:
            self.finish()
            return
        self.allowance = min(2 * self.allowance, self._full)

    def _open_window(self, now_s: float) -> None:
        self._answers = 0
        self._window_started_s = now_s
