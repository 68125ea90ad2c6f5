"""The calls of one request to a service that have not ended, and which of them may send it.

Made for servers that do not accept connections: a call that is slow to connect has sent nothing, so
another server can be tried for it without an extra request.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import msgspec

from fighinge.aggregator.base import proves_not_sent
from fighinge.router.ended_tasks import EndedTasks

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from fighinge.router.backend import Backend
    from fighinge.router.call_runner import CallResult
    from fighinge.router.reached_servers import ReachedServers


class _SendRight:
    """The right to send the request once, held by one call at a time until it is spent."""

    __slots__ = ("holder", "is_spent")

    def __init__(self) -> None:
        self.holder: Backend | None = None
        self.is_spent = False


class EndedCall(msgspec.Struct, frozen=True):
    """A call that has ended; one that ``was_set_aside`` has sent nothing."""

    backend: Backend
    result: CallResult
    was_set_aside: bool


class OpenCalls:
    """Calls that connect, or that have sent the request and wait for the answer.

    Each call has a right to send the request. A call that is slow to connect can be set aside: the
    next call then shares its right, which goes to the one that connects first. Calls set aside do
    not count in ``reached``, as they have sent nothing and may not unless they take the right back.
    """

    __slots__ = ("_ended", "_is_closed", "_reached", "_rights", "_set_aside", "_shared", "active")

    def __init__(self, reached: ReachedServers) -> None:
        self._reached = reached
        self._ended = EndedTasks()
        self._rights: dict[Backend, _SendRight] = {}
        self._set_aside: dict[asyncio.Task, Backend] = {}
        self._shared: _SendRight | None = None  # what the calls set aside have a claim to
        self._is_closed = False
        self.active: dict[asyncio.Task, Backend] = {}

    @property
    def has_unspent_right(self) -> bool:
        """Return whether the next call shares the right of calls that were set aside."""
        return self._shared is not None

    @property
    def set_aside_count(self) -> int:
        """Return the number of calls that are set aside."""
        return len(self._set_aside)

    def unsent(self) -> Backend | None:
        """Return the server of an active call that has not sent the request, if there is one."""
        unsent = (item for item in self.active.values() if not self._rights[item].is_spent)
        return next(unsent, None)

    def start(
        self, backend: Backend, start_call: Callable[[Callable[[], bool]], asyncio.Task]
    ) -> None:
        """Start a call.

        :param start_call: starts the task of the call, and takes what tells whether it may send
        """
        right = self._shared or _SendRight()
        right.holder = backend
        self._rights[backend] = right
        self._reached.record_call(backend)
        call = start_call(partial(self._acquire, backend, right))
        call.add_done_callback(self._ended.add)
        self.active[call] = backend

    def set_aside(self, backend: Backend) -> None:
        """Let the next call share the right of one that has not sent the request."""
        right = self._rights[backend]
        right.holder = None
        self._shared = right
        self._move(backend, self.active, self._set_aside)
        self._reached.record_not_sent(backend)

    def resume(self) -> bool:
        """Make the call that was set aside last active again, and return whether there is one."""
        if self._shared is None or not self._set_aside:
            return False
        self._resume(next(reversed(self._set_aside.values())), self._shared)
        return True

    async def wait(self, timeout_s: float) -> list[EndedCall]:
        """Return the calls that have ended, as soon as there is one or the time has passed."""
        ended = []
        for task in await self._ended.wait(timeout_s):
            was_set_aside = task in self._set_aside
            calls = self._set_aside if was_set_aside else self.active
            backend = calls.pop(task)
            right = self._rights.pop(backend)
            if right.holder is backend:
                right.holder = None
            if not self._set_aside:
                self._shared = None
            result = task.result()
            if proves_not_sent(result) and not was_set_aside:
                self._reached.record_not_sent(backend)
            ended.append(EndedCall(backend, result, was_set_aside))
        return ended

    def close(self) -> None:
        """End the calls.

        Those set aside go on connecting, which shows whether the server accepts connections, and
        then end without sending anything.
        """
        self._is_closed = True
        for task in self.active:
            task.cancel()

    def _acquire(self, backend: Backend, right: _SendRight) -> bool:
        """Return whether a call that is connected may send the request."""
        if self._is_closed or right.is_spent:
            return False
        if right.holder is not backend:
            if right.holder is not None:
                self.set_aside(right.holder)
            self._resume(backend, right)
        right.is_spent = True
        if right is self._shared:
            self._shared = None
        return True

    def _resume(self, backend: Backend, right: _SendRight) -> None:
        right.holder = backend
        self._move(backend, self._set_aside, self.active)
        self._reached.record_call(backend)

    @staticmethod
    def _move(
        backend: Backend,
        source: dict[asyncio.Task, Backend],
        destination: dict[asyncio.Task, Backend],
    ) -> None:
        task = next(task for task, called in source.items() if called is backend)
        destination[task] = source.pop(task)
