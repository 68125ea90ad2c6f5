"""Handling of the signals that shut a process down."""

from __future__ import annotations

import asyncio
import signal

import logbook

logger = logbook.Logger(__name__)


class StopRequest:
    """A request for a graceful shutdown, made by a signal or by a failed background task.

    A second signal skips the time in which peers and callers learn of the shutdown. In both cases
    the work in flight is finished.
    """

    __slots__ = ("_repeated", "_requested")

    def __init__(self) -> None:
        self._requested = asyncio.Event()
        self._repeated = asyncio.Event()

    @classmethod
    def from_signals(cls) -> StopRequest:
        """Return a request that is triggered by SIGTERM and SIGINT."""
        request = cls()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, request.trigger)
        return request

    def trigger(self) -> None:
        """Request the shutdown; the second call skips the time for others to learn of it."""
        if self._requested.is_set():
            logger.notice("second stop signal: not waiting for peers and callers")
            self._repeated.set()
        self._requested.set()

    async def wait(self) -> None:
        """Wait until the shutdown is requested."""
        await self._requested.wait()

    async def wait_for_second_signal(self, timeout_s: float) -> None:
        """Wait until the shutdown is requested again or the timeout has passed."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._repeated.wait()
        except TimeoutError:
            return
