"""HTTP calls to backend servers; each request is sent at most once and is not modified."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from fighinge.aggregator.base import Address, CallFailure, CallFault
from fighinge.router.connection_pool import ConnectionPool
from fighinge.router.exchange import BackendRequest, InterruptedResponse, RawResponse

if TYPE_CHECKING:
    from collections.abc import Callable

HEADER_BYTES = 400  # of a request or a response, for the use of the link
CONNECT_TIMEOUT_S = 0.4  # 40 times the slowest handshake, below the SYN retransmission after 1 s


class BackendCalls(Protocol):
    """Sends requests to backend servers; a cancelled call closes its connection.

    The closed connection ends the work at the server.
    """

    async def call(
        self,
        address: Address,
        request: BackendRequest,
        timeout_s: float,
        *,
        is_idempotent: bool,
        on_start: Callable[[], None] | None = None,
        on_late_response: Callable[[InterruptedResponse], None] | None = None,
        may_send: Callable[[], bool] | None = None,
    ) -> RawResponse | CallFailure:
        """Send a request at most once and return the complete response or the failure.

        :param on_start: called before the first byte is sent
        :param may_send: called once there is a connection; if false, nothing is sent
        :param on_late_response: called with the headers of a response that arrives as the call is
            cancelled, or shortly after
        """

    async def refuses_connections(self, address: Address) -> bool:
        """Open a connection without a request, and return whether it is refused."""

    async def accepts_connections(self, address: Address) -> bool:
        """Open a connection without a request, and return whether it is accepted."""


class PooledBackendCalls:
    """A :class:`BackendCalls` over persistent connections.

    A non-idempotent request gets a new connection: if a server closes a reused one at the moment of
    the request, it is unknown whether the request was executed. That connection is closed
    afterwards, as no other such request would use it.
    """

    __slots__ = ("_pool", "transferred_bytes")

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool
        self.transferred_bytes = 0

    @classmethod
    def create(cls, source_address: str = "") -> PooledBackendCalls:
        """Return an instance with a connection pool of its own.

        :param source_address: local address of all connections, chosen by the kernel if empty
        """
        return cls(ConnectionPool(source_address))

    @property
    def late_responses(self) -> int:
        """Return the number of cancelled calls whose responses may still arrive."""
        return self._pool.late_connections

    @property
    def open_connections(self) -> int:
        """Return the number of connections to backend servers."""
        return self._pool.open_connections

    def close(self) -> None:
        """Close every connection."""
        self._pool.close()

    async def call(
        self,
        address: Address,
        request: BackendRequest,
        timeout_s: float,
        *,
        is_idempotent: bool,
        on_start: Callable[[], None] | None = None,
        on_late_response: Callable[[InterruptedResponse], None] | None = None,
        may_send: Callable[[], bool] | None = None,
    ) -> RawResponse | CallFailure:
        """Send a request at most once and return the complete response or the failure.

        :param on_start: called before the first byte is sent
        :param may_send: called once there is a connection; if false, nothing is sent
        :param on_late_response: called with the headers of a response that arrives as the call is
            cancelled, or shortly after
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        connection = self._pool.take_idle(address, loop.time()) if is_idempotent else None
        if connection is None:
            connection = await self._pool.open(address, min(CONNECT_TIMEOUT_S, timeout_s))
        if isinstance(connection, CallFailure):
            return connection
        remaining_s = deadline_s - loop.time()
        if remaining_s <= 0:
            self._pool.keep(connection)
            # This fault proves that nothing was sent, and does not count against the server.
            return CallFailure(CallFault.CONNECTION_LIMIT, "no time is left for the call")
        if may_send is not None and not may_send():
            self._pool.keep(connection)
            return CallFailure(CallFault.CONNECTION_LIMIT, "another call sends the request")
        if on_start is not None:
            on_start()
        self.transferred_bytes += len(request.body) + HEADER_BYTES
        try:
            response = await connection.send(request, remaining_s, may_reuse=is_idempotent)
            if isinstance(response, RawResponse):
                self.transferred_bytes += len(response.body) + HEADER_BYTES
            return response
        except asyncio.CancelledError:
            self._pool.cancel(connection, on_late_response)
            raise

    async def refuses_connections(self, address: Address) -> bool:
        """Open a connection without a request, and return whether it is refused."""
        return isinstance(
            await self._pool.try_connect(address, CONNECT_TIMEOUT_S), ConnectionRefusedError
        )

    async def accepts_connections(self, address: Address) -> bool:
        """Open a connection without a request, and return whether it is accepted."""
        return await self._pool.try_connect(address, CONNECT_TIMEOUT_S) is None
