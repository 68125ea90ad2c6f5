"""Detection of pauses of the process, after which its view of the fleet may be out of date."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook

if TYPE_CHECKING:
    from collections.abc import Callable

logger = logbook.Logger(__name__)

TICK_S = 0.1
PAUSE_THRESHOLD_S = 1.0
SETTLE_S = 0.2  # in which datagrams that arrived during the pause are read


class PauseDetector:
    """Measures the time between ticks; a gap longer than ``PAUSE_THRESHOLD_S`` is a pause.

    A pause is detected by the next tick or by the next call of :meth:`observe`, so that a request
    that was queued during the pause is not accepted before it is detected.
    """

    __slots__ = ("_clock", "_last_s", "_listeners", "_settled_s")

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._last_s = clock()
        self._settled_s = 0.0
        self._listeners: list[Callable[[float], None]] = []

    def listen(self, listener: Callable[[float], None]) -> None:
        """Call a listener with the current time after each pause."""
        self._listeners.append(listener)

    async def run(self, on_tick: Callable[[float], None] = lambda _lag_s: None) -> None:
        """Tick until the task is cancelled.

        :param on_tick: called with the lag of each tick in seconds
        """
        while True:
            due_s = self._clock() + TICK_S
            await asyncio.sleep(TICK_S)
            now_s = self._clock()
            self.observe(now_s)
            on_tick(max(0.0, now_s - due_s))

    def observe(self, now_s: float) -> None:
        """Record that the process runs, and call the listeners if it was paused before."""
        lag_s = now_s - self._last_s
        self._last_s = now_s
        if lag_s <= PAUSE_THRESHOLD_S:
            return
        self._settled_s = now_s + SETTLE_S
        logger.notice(
            "paused for {:.1f} s; refusing new work until the configuration is confirmed", lag_s
        )
        for listener in self._listeners:
            listener(now_s)

    def is_settled(self, now_s: float) -> bool:
        """Return whether messages that arrived during the last pause have been read."""
        return now_s >= self._settled_s
