"""The signals that tell a process to stop."""

from __future__ import annotations

import asyncio
import signal

import logbook

logger = logbook.Logger(__name__)


class StopRequest:
    """The first signal asks for a planned stop, the second one to wait for nobody's view.

    Neither cuts off what runs.
    """

    __slots__ = ("_repeated", "_requested")

    def __init__(self) -> None:
        self._requested = asyncio.Event()
        self._repeated = asyncio.Event()

    @classmethod
    def from_signals(cls) -> StopRequest:
        """Return a request that SIGTERM and SIGINT make."""
        request = cls()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, request.trigger)
        return request

    def trigger(self) -> None:
        """Ask to stop, or the second time to hurry."""
        if self._requested.is_set():
            logger.notice("asked again to stop")
            self._repeated.set()
        self._requested.set()

    async def wait(self) -> None:
        """Return when the process is told to stop."""
        await self._requested.wait()

    async def wait_for_second_signal(self, timeout_s: float) -> None:
        """Let others learn of the stop, unless the process is told to hurry."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._repeated.wait()
        except TimeoutError:
            return
