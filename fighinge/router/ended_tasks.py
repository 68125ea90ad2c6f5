"""Waits for the next of many tasks at a cost that does not depend on their number."""

from __future__ import annotations

import asyncio


class EndedTasks:
    """Collects tasks as they end; :meth:`add` is the done callback of each."""

    __slots__ = ("_ended", "_waiter")

    def __init__(self) -> None:
        self._ended: list[asyncio.Task] = []
        self._waiter: asyncio.Future[None] | None = None

    def add(self, task: asyncio.Task) -> None:
        """Record that a task has ended."""
        self._ended.append(task)
        self._wake_up()

    async def wait(self, timeout_s: float) -> list[asyncio.Task]:
        """Return the tasks that have ended since the last call, as soon as there is one.

        :param timeout_s: longest time to wait, in seconds, after which the list is empty
        """
        if not self._ended and timeout_s > 0:
            loop = asyncio.get_running_loop()
            self._waiter = loop.create_future()
            timer = loop.call_later(timeout_s, self._wake_up)
            try:
                await self._waiter
            finally:
                timer.cancel()
                self._waiter = None
        ended, self._ended = self._ended, []
        return ended

    def _wake_up(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
