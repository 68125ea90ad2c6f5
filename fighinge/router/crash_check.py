"""Finds out whether a backend server that lost a connection has ended."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from fighinge.router.backend import Backend
    from fighinge.router.backend_calls import BackendCalls
    from fighinge.router.crash_suspects import CrashSuspects
    from fighinge.router.reachability import Reachability

# The first connection may reach a process that ends; the last one is made before it starts again.
CHECK_DELAYS_S = (0.0, 0.05, 0.2)


class CrashCheck:
    """Opens connections to servers under suspicion instead of waiting for further calls to them.

    A refused connection shows that the server has ended, unless this router is cut off from all
    servers. One that is accepted shows nothing, as the process may have started again. Nor does one
    that is reset while it is opened: a proxy in front of the server does that as well.
    """

    __slots__ = ("_calls", "_clock", "_reachability", "_running", "_suspects")

    def __init__(
        self,
        calls: BackendCalls,
        suspects: CrashSuspects,
        reachability: Reachability,
        clock: Callable[[], float],
    ) -> None:
        self._calls = calls
        self._reachability = reachability
        self._suspects = suspects
        self._clock = clock
        self._running: dict[str, asyncio.Task] = {}

    def start(self, backend: Backend) -> None:
        """Check a server that has lost calls, unless a check of this run of it is in progress."""
        server = backend.record.run_name
        if self._suspects.has_unconfirmed_losses(server) and server not in self._running:
            self._running[server] = asyncio.create_task(self._run(backend, server))

    def close(self) -> None:
        """Cancel the checks in progress."""
        for task in self._running.values():
            task.cancel()

    async def _run(self, backend: Backend, server: str) -> None:
        try:
            for delay_s in CHECK_DELAYS_S:
                await asyncio.sleep(delay_s)
                if not self._suspects.has_unconfirmed_losses(server):
                    return
                if await self._calls.refuses_connections(backend.record.address):
                    await self._record_refusal(backend, server)
                    return
        finally:
            del self._running[server]

    async def _record_refusal(self, backend: Backend, server: str) -> None:
        causes_refusal = await self._reachability.causes_refusal()
        now_s = self._clock()
        if causes_refusal:
            self._suspects.record_unclear_refusal(server, now_s)
            return
        backend.record_refused_connection(now_s)
        self._suspects.record_end(server, now_s)
