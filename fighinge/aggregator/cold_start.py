"""Concurrency ramp of a backend server in a cold start."""

from __future__ import annotations

MIN_WINDOW_CALLS = 16
MIN_WINDOW_S = 0.25
MAX_REPORTED_COLD_S = 10.0


class ColdStart:
    """A concurrency limit that starts at one and doubles after each window without a failure.

    A window lasts for a minimum of answers and of time. Any sign of overload resets the limit to
    one. A server that reports itself cold is held at one call, for a bounded time only, since its
    report may be stuck.
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
        """Reset the limit to one call."""
        self.is_cold = True
        self.concurrency_limit = 1
        self._open_window(now_s)

    def hold_at_one_call(self, now_s: float) -> None:
        """Hold the limit at one call because the server reports itself cold."""
        self.restart(now_s)
        self._held_until_s = now_s + MAX_REPORTED_COLD_S

    def release_hold(self) -> None:
        """Resume the ramp because the server no longer reports itself cold."""
        self._held_until_s = 0.0

    def finish(self) -> None:
        """End the cold start at the full limit."""
        self.is_cold = False
        self.concurrency_limit = self._slots

    def call_answered(self, now_s: float) -> None:
        """Count an answered call and double the limit at the end of a window."""
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
