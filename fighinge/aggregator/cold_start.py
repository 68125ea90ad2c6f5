"""How a backend server in a cold start is led to its full load."""

from __future__ import annotations

MIN_WINDOW_CALLS = 16
MIN_WINDOW_S = 0.25
MAX_REPORTED_COLD_S = 10.0


class ColdStart:
    """Lets one call at a time run on a cold server and doubles after each clean window.

    A window ends after a number of answers and not before a time. Any sign of distress leads
    back to one call. A server that reports itself cold is held at one call, but not for longer
    than a stuck report deserves.
    """

    __slots__ = (
        "_answers",
        "_held_until_s",
        "_slots",
        "_window_started_s",
        "concurrency_limit",
        "is_cold",
    )

    def __init__(self, slots: int, now_s: float) -> None:
        self._slots = slots
        self._held_until_s = 0.0
        self.restart(now_s)

    def restart(self, now_s: float) -> None:
        """Start again at one call."""
        self.is_cold = True
        self.concurrency_limit = 1
        self._open_window(now_s)

    def hold_at_one_call(self, now_s: float) -> None:
        """Stay at one call because the server reports itself cold."""
        self.restart(now_s)
        self._held_until_s = now_s + MAX_REPORTED_COLD_S

    def release_hold(self) -> None:
        """Go on because the server no longer reports itself cold."""
        self._held_until_s = 0.0

    def finish(self) -> None:
        """Take the server for warm."""
        self.is_cold = False
        self.concurrency_limit = self._slots

    def call_answered(self, now_s: float) -> None:
        """Count a call that ended well."""
        if not self.is_cold:
            return
        self._answers += 1
        if self._answers < MIN_WINDOW_CALLS or now_s - self._window_started_s < MIN_WINDOW_S:
            return
        if now_s < self._held_until_s:
            return
        self._open_window(now_s)
        if self.concurrency_limit >= self._slots:
            self.finish()
            return
        self.concurrency_limit = min(2 * self.concurrency_limit, self._slots)

    def _open_window(self, now_s: float) -> None:
        self._answers = 0
        self._window_started_s = now_s
