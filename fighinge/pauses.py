"""Notices that this process was paused and distrusts its view of the fleet until confirmed."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook

if TYPE_CHECKING:
    from collections.abc import Callable

logger = logbook.Logger(__name__)

TICK_S = 0.1
PAUSE_THRESHOLD_S = 1.0
SETTLE_S = 0.2


class PauseDetector:
    """Measures the time between ticks; a gap longer than ``PAUSE_THRESHOLD_S`` is a pause.

    Whatever asks first after a pause finds it, the tick or a request that was waiting.
    """

    __slots__ = ("_clock", "_last_s", "_listeners", "_settled_s")

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._last_s = clock()
        self._settled_s = 0.0
        self._listeners: list[Callable[[float], None]] = []

    def listen(self, listener: Callable[[float], None]) -> None:
        """Call a listener with the present time after each pause."""
        self._listeners.append(listener)

    async def run(self, on_tick: Callable[[float], None] = lambda _lag_s: None) -> None:
        """Tick for as long as the task runs.

        :param on_tick: called with how late each tick was, in seconds
        """
        while True:
            due_s = self._clock() + TICK_S
            await asyncio.sleep(TICK_S)
            now_s = self._clock()
            self.observe(now_s)
            on_tick(max(0.0, now_s - due_s))

    def observe(self, now_s: float) -> None:
        """Note that the process runs, and tell the listeners if it had not for long."""
        lag_s = now_s - self._last_s
        self._last_s = now_s
        if lag_s <= PAUSE_THRESHOLD_S:
            return
        self._settled_s = now_s + SETTLE_S
        logger.notice("paused for {:.1f} s; the view is confirmed before new work", lag_s)
        for listener in self._listeners:
            listener(now_s)

    def is_settled(self, now_s: float) -> bool:
        """Return whether what was waiting during the last pause has been read by now."""
        return now_s >= self._settled_s
