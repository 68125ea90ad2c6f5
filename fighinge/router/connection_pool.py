"""Opens connections to backend servers and keeps the idle ones for further requests."""

from __future__ import annotations

import asyncio
import errno
import socket
from typing import TYPE_CHECKING

from fighinge.aggregator.base import CallFailure, CallFault
from fighinge.router.backend_connection import SOCKET_OPTIONS, BackendConnection
from fighinge.router.read_pacing import ReadPacing
from fighinge.router.response_parser import ResponseBuffers

if TYPE_CHECKING:
    from collections.abc import Callable

    from fighinge.aggregator.base import Address
    from fighinge.router.exchange import InterruptedResponse

MAX_CONNECTIONS = 2048  # half of the descriptors of a host
MAX_LATE_RESPONSES = 100  # of cancelled calls; further connections are closed at once
LATE_WAIT_S = 0.2  # a response that was under way arrives within a round trip
_EXHAUSTED = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)


class ConnectionPool:
    """The connections of a router to all backend servers.

    Of the idle connections to a server the one that was used last is taken first, so that those
    which the load does not need reach their idle timeout.
    """

    __slots__ = ("_buffers", "_idle", "_late", "_open", "_opening", "_pacing", "_source_address")

    def __init__(self, source_address: str = "") -> None:
        """Initialise a pool without connections.

        :param source_address: local address of all connections, chosen by the kernel if empty
        """
        self._source_address = source_address
        self._buffers = ResponseBuffers()
        self._pacing = ReadPacing()
        self._idle: dict[Address, list[BackendConnection]] = {}
        self._open: set[BackendConnection] = set()
        self._late: set[BackendConnection] = set()
        self._opening = 0

    @property
    def late_connections(self) -> int:
        """Return the number of cancelled calls whose responses may still arrive."""
        return len(self._late)

    @property
    def open_connections(self) -> int:
        """Return the number of open connections, idle ones included."""
        return len(self._open)

    def close(self) -> None:
        """Close every connection."""
        for connection in list(self._open):
            connection.close()

    def take_idle(self, address: Address, now_s: float) -> BackendConnection | None:
        """Return an idle connection to a server that is certainly open, if there is one."""
        idle = self._idle.get(address)
        while idle:
            connection = idle.pop()
            if now_s < connection.usable_until_s and connection.is_open:
                return connection
            connection.close()
        return None

    def keep(self, connection: BackendConnection) -> None:
        """Keep a connection on which nothing is awaited for a further request."""
        self._idle.setdefault(connection.address, []).append(connection)

    def cancel(
        self,
        connection: BackendConnection,
        on_late_response: Callable[[InterruptedResponse], None] | None,
    ) -> None:
        """Cancel the call in progress on a connection, see :meth:`BackendConnection.cancel`."""
        wait_s = LATE_WAIT_S
        if on_late_response is None or len(self._late) >= MAX_LATE_RESPONSES:
            wait_s = 0.0
        connection.cancel(on_late_response or _ignore, wait_s)
        if connection.is_late:
            self._late.add(connection)

    async def open(self, address: Address, timeout_s: float) -> BackendConnection | CallFailure:
        """Return a new connection, or why there is none; nothing has been sent then."""
        if timeout_s <= 0:
            return CallFailure(CallFault.CONNECTION_LIMIT, "no time is left for the call")
        if len(self._open) + self._opening >= MAX_CONNECTIONS and not self._close_oldest():
            return CallFailure(CallFault.CONNECTION_LIMIT, "too many connections are open")
        self._opening += 1
        try:
            connected = await self._connect(address, timeout_s)
            if _is_exhausted(connected) and self._close_oldest():
                await asyncio.sleep(0)  # the transport closes its descriptor in the next cycle
                connected = await self._connect(address, timeout_s)
            if isinstance(connected, OSError):
                reason = str(connected) or type(connected).__name__
                if _is_exhausted(connected):
                    return CallFailure(CallFault.CONNECTION_LIMIT, reason)
                return CallFailure(CallFault.NOT_CONNECTED, reason)
            return await self._adopt(address, connected)
        finally:
            self._opening -= 1

    async def try_connect(self, address: Address, timeout_s: float) -> OSError | None:
        """Open and close a connection, and return the error if that fails or takes too long."""
        connected = await self._connect(address, timeout_s)
        if isinstance(connected, OSError):
            return connected
        connected.close()
        return None

    async def _connect(self, address: Address, timeout_s: float) -> socket.socket | OSError:
        try:
            opened = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:  # no descriptor is free
            return error
        try:
            opened.setblocking(False)
            for option in SOCKET_OPTIONS:
                opened.setsockopt(*option)
            if self._source_address:
                opened.bind((self._source_address, 0))
            async with asyncio.timeout(timeout_s):
                loop = asyncio.get_running_loop()
                await loop.sock_connect(opened, (address.host, address.port))
        except OSError as error:  # includes a timeout
            opened.close()
            return error
        except (OverflowError, ValueError) as error:  # an unusable address, e.g. from an older peer
            opened.close()
            return OSError(str(error))
        except BaseException:
            opened.close()
            raise
        return opened

    async def _adopt(self, address: Address, connected: socket.socket) -> BackendConnection:
        """Return the connection of a connected socket."""
        connection = BackendConnection(
            address, connected, self._buffers, self._pacing, self.keep, self._forget
        )
        try:
            loop = asyncio.get_running_loop()
            await loop.create_connection(lambda: connection, sock=connected)
        except BaseException:
            connection.close()
            connected.close()
            raise
        self._open.add(connection)
        return connection

    def _close_oldest(self) -> bool:
        """Close the idle connection that was used first, and return whether there is one."""
        idle = [connections[0] for connections in self._idle.values() if connections]
        if not idle:
            return False
        oldest = min(idle, key=lambda connection: connection.usable_until_s)
        self._idle[oldest.address].remove(oldest)
        oldest.close()
        return True

    def _forget(self, connection: BackendConnection) -> None:
        """Forget a connection that has closed."""
        self._open.discard(connection)
        self._late.discard(connection)
        idle = self._idle.get(connection.address)
        if idle and connection in idle:
            idle.remove(connection)
        if not idle:
            self._idle.pop(connection.address, None)


def _is_exhausted(connected: socket.socket | OSError) -> bool:
    """Return whether this host lacks what a connection needs, which is no fault of the server."""
    return isinstance(connected, OSError) and connected.errno in _EXHAUSTED


def _ignore(_response: InterruptedResponse) -> None:
    return None
