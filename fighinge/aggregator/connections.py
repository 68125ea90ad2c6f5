"""Limits the connections to each backend server and opens them in advance."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from fighinge.aggregator.base import CallFailure, CallFault

if TYPE_CHECKING:
    from fighinge.aggregator.base import Address, BackendClient
    from fighinge.messages import BackendAnswer, BackendRefusal, BackendRequest, ServerState

DEFAULT_CONNECTION_QUOTA = 3
WARM_UP_TIMEOUT_S = 1.0
NO_FREE_CONNECTION = CallFailure(
    CallFault.CONNECTION_LIMIT, "no connection was free before the deadline"
)


class LimitedClient:
    """A backend client that limits the requests in flight at each server to a quota.

    A request occupies one connection, and a kept-alive one is reused before another is opened,
    so the number of connections never exceeds the quota.
    """

    __slots__ = ("_client", "_semaphores")

    def __init__(self, client: BackendClient) -> None:
        self._client = client
        self._semaphores: dict[Address, asyncio.Semaphore] = {}

    def set_quota(self, address: Address, connections: int) -> None:
        """Limit the connections to a server; call it before the first request."""
        self._semaphores[address] = asyncio.Semaphore(connections)

    async def search(
        self, address: Address, request: BackendRequest, timeout_s: float
    ) -> BackendAnswer | BackendRefusal | CallFailure:
        """Run a request on a backend server.

        :param timeout_s: timeout of the wait for a connection and again of the call, in seconds
        """
        semaphore = self._semaphore(address)
        if not await _acquire(semaphore, timeout_s):
            return NO_FREE_CONNECTION
        try:
            return await self._client.search(address, request, timeout_s)
        finally:
            semaphore.release()

    async def cancel(self, address: Address, call_id: str) -> None:
        """Ask a backend server to stop running a call."""
        async with self._semaphore(address):
            await self._client.cancel(address, call_id)

    async def state(self, address: Address, timeout_s: float) -> ServerState | CallFailure:
        """Ask a backend server for its load."""
        async with self._semaphore(address):
            return await self._client.state(address, timeout_s)

    async def warm_up(self, address: Address, connections: int) -> None:
        """Open connections before the calls that will use them."""
        await asyncio.gather(
            *(self.state(address, WARM_UP_TIMEOUT_S) for _number in range(connections))
        )

    def _semaphore(self, address: Address) -> asyncio.Semaphore:
        semaphore = self._semaphores.get(address)
        if semaphore is None:
            semaphore = self._semaphores[address] = asyncio.Semaphore(DEFAULT_CONNECTION_QUOTA)
        return semaphore


async def _acquire(semaphore: asyncio.Semaphore, timeout_s: float) -> bool:
    if not semaphore.locked():
        return await semaphore.acquire()
    try:
        async with asyncio.timeout(timeout_s):
            await semaphore.acquire()
    except TimeoutError:
        return False
    return True
