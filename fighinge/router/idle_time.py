"""Measures how long the event loop of a process has nothing to do."""

from __future__ import annotations

import selectors
import time


class IdleTimeSelector(selectors.DefaultSelector):
    """A selector that adds up the time in which it waits.

    The rest is the share of the processor that the process uses, including the time for which a
    quota keeps it from running.
    """

    def __init__(self) -> None:
        super().__init__()
        self.idle_s = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for events, and count the time."""
        started_s = time.monotonic()
        try:
            return super().select(timeout)
        finally:
            self.idle_s += time.monotonic() - started_s
