"""HTTP server that bounds the bytes and the connections of all callers of an entry."""

from __future__ import annotations

import asyncio
import resource
from collections import Counter
from typing import TYPE_CHECKING

import logbook
from tornado.httpserver import HTTPServer

from fighinge.caller_memory import CallerMemory
from fighinge.caller_stream import CallerStream
from fighinge.connection_limit import DESCRIPTOR_SHARE, ConnectionLimit
from fighinge.metrics import CALLERS_REFUSED

if TYPE_CHECKING:
    from tornado import httputil
    from tornado.iostream import IOStream

logger = logbook.Logger(__name__)

MAX_HELD_BYTES = 64 * 1024 * 1024  # 64 bodies at the limit, about what an entry itself takes
MIN_LOG_INTERVAL_S = 1.0


class CallerBounds:
    """Keeps the bounds on all callers, and closes the connections that exceed them."""

    def __init__(self, max_held_bytes: int, max_connections: int, idle_timeout_s: float) -> None:
        self.memory = CallerMemory(max_held_bytes)
        self.connections = ConnectionLimit(max_connections)
        self._idle_timeout_s = idle_timeout_s
        self._unlogged: Counter[str] = Counter()
        self._logged_s = float("-inf")

    def add(self, stream: CallerStream) -> bool:
        """Add a connection, and return whether it stays open."""
        now_s = asyncio.get_running_loop().time()
        victim = self.connections.add(stream, self._idle_timeout_s, now_s)
        if victim is not None:
            self._close(victim, "connections")
        return victim is not stream

    def start_message(self, stream: CallerStream) -> None:
        """Expect a new request; the answer to the previous one has been written."""
        self.memory.release(stream)
        self.connections.end_service(stream, asyncio.get_running_loop().time())

    def start_service(self, stream: CallerStream) -> None:
        """Record a complete request, or its answer."""
        if not stream.closed():
            self.memory.start_service(stream)
            self.connections.start_service(stream)

    def discard(self, stream: CallerStream) -> None:
        """Record that nothing is kept of a body that is too large."""
        self.memory.release(stream)

    def bytes_received(self, stream: CallerStream, count: int) -> None:
        """Count bytes of a request against the bound of all callers."""
        self.connections.start_receiving(stream)
        now_s = asyncio.get_running_loop().time()
        for victim in self.memory.grow(stream, count, now_s):
            self._close(victim, "memory")

    def header_too_long(self, stream: CallerStream) -> None:
        """Leave the connection to be closed without an answer."""

    def stream_closed(self, stream: CallerStream) -> None:
        """Release everything that a connection holds."""
        self.memory.release(stream)
        self.connections.remove(stream)

    def _close(self, stream: CallerStream, reason: str) -> None:
        """Close a connection whose request has not run."""
        stream.close()
        CALLERS_REFUSED.labels(reason).inc()
        self._unlogged[reason] += 1
        now_s = asyncio.get_running_loop().time()
        if now_s - self._logged_s >= MIN_LOG_INTERVAL_S:
            logger.warning(
                "connections of callers closed: {}; {} of {} bytes held, {} of {} connections",
                dict(self._unlogged),
                self.memory.used_bytes,
                self.memory.limit_bytes,
                len(self.connections),
                self.connections.limit,
            )
            self._unlogged.clear()
            self._logged_s = now_s


class BoundedServer(HTTPServer):
    """An HTTP server whose connections count against the bounds."""

    def initialize(self, *args: object, bounds: CallerBounds, **kwargs: object) -> None:
        """Initialise the server; Tornado calls this instead of a constructor."""
        self.bounds = bounds
        super().initialize(*args, **kwargs)

    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Serve a connection unless there are too many; Tornado calls this."""
        bounded = CallerStream(stream.socket, self.bounds, self.max_buffer_size)
        if self.bounds.add(bounded):
            super().handle_stream(bounded, address)

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Return the delegate that reads a request; called by Tornado."""
        self.bounds.start_message(request_conn.stream)
        return super().start_request(server_conn, request_conn)


def max_connections() -> int:
    """Return the bound on connections from the descriptors that this process may open."""
    return max(1, int(resource.getrlimit(resource.RLIMIT_NOFILE)[0] * DESCRIPTOR_SHARE))
