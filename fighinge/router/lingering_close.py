"""Closes connections after an early answer so that it reaches a caller that is still sending."""

from __future__ import annotations

import asyncio
import socket

LINGER_S = 2.0  # a caller inside its own timeout has read the answer by then
MAX_DISCARDED_BYTES = 8 * 1024 * 1024  # of one caller; callers that send all before they read
READ_BYTES = 65_536


class LingeringCloser:
    """Sends last answers and discards what callers still send, for a bounded time.

    Closing a socket with unread bytes resets the connection, and the reset discards an answer that
    the caller has not read yet.
    """

    def __init__(self, max_sockets: int) -> None:
        self._max_sockets = max_sockets
        self._timers: dict[socket.socket, asyncio.TimerHandle] = {}
        self._discarded_bytes: dict[socket.socket, int] = {}
        self._buffer = bytearray(READ_BYTES)

    def close_after(self, connection: socket.socket, response: bytes) -> None:
        """Send a response and discard what still arrives; the caller's own descriptor stays open.

        Beyond ``max_sockets`` connections, nothing is discarded.
        """
        try:
            connection.send(response)  # a few hundred bytes on a connection without unsent ones
            if len(self._timers) >= self._max_sockets:
                return
            duplicate = connection.dup()
        except OSError:  # the caller has closed, or no descriptor is left
            return
        try:
            duplicate.setblocking(False)
            duplicate.shutdown(socket.SHUT_WR)
        except OSError:
            duplicate.close()
            return
        loop = asyncio.get_running_loop()
        self._discarded_bytes[duplicate] = 0
        self._timers[duplicate] = loop.call_later(LINGER_S, self._close, duplicate)
        loop.add_reader(duplicate, self._discard, duplicate)

    def close_all(self) -> None:
        """Close all connections at once."""
        for connection in list(self._timers):
            self._close(connection)

    def _discard(self, connection: socket.socket) -> None:
        try:
            count = connection.recv_into(self._buffer)
        except BlockingIOError:
            return
        except OSError:
            count = 0
        self._discarded_bytes[connection] += count
        if not count or self._discarded_bytes[connection] > MAX_DISCARDED_BYTES:
            self._close(connection)

    def _close(self, connection: socket.socket) -> None:
        asyncio.get_running_loop().remove_reader(connection)
        self._timers.pop(connection).cancel()
        del self._discarded_bytes[connection]
        connection.close()
