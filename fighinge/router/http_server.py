"""The listener for callers, on tornado's HTTP server."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import TYPE_CHECKING

from tornado import httputil
from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream
from tornado.netutil import bind_sockets

from fighinge.router.exchange import Answer, CallerRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from tornado.http1connection import HTTP1Connection

    from fighinge.errors import Failure
    from fighinge.router.exchange import Codec
    from fighinge.router.model import CallerLimits
    from fighinge.router.service import RouterService

IDLE_TIMEOUT_MARGIN_S = 1.0  # a caller may use a connection until the last moment of the idle limit
TCP_INFO_BYTES = 104  # the fields that every kernel has had since the round trip was added
TCPI_RTT_OFFSET_BYTES = 68  # tcpi_rtt in microseconds, of struct tcp_info in linux/tcp.h
IDLE_CHECK_S = 0.25  # a request that was sent before its caller could see the close has arrived
LISTEN_BACKLOG = 1024  # connections of a second, while this process is kept from taking them
MAX_HEADER_BYTES = 65_536  # the operators' limit is checked once the configuration is known
MAX_BODY_BYTES = 8 * 1024 * 1024  # as above


class CallerServer(httputil.HTTPServerConnectionDelegate):
    """Reads requests whole, and answers each on its connection."""

    def __init__(self, service: RouterService, codec: Codec, clock: Callable[[], float]) -> None:
        self._service = service
        self._codec = codec
        self.clock = clock
        self._tasks: set[asyncio.Task] = set()
        self._sockets: list[socket.socket] = []
        self.is_draining = False
        self._is_closing = False
        self._was_idle = True
        self._server = HTTPServer(
            self,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_BODY_BYTES,
            idle_connection_timeout=60.0,
        )

    @property
    def unanswered(self) -> int:
        """Return how many requests have no answer yet."""
        return len(self._tasks)

    def listen(self, port: int, address: str) -> None:
        """Listen for callers.

        :raises OSError: if the address is taken
        """
        self._sockets = bind_sockets(port, address, backlog=LISTEN_BACKLOG)
        self._server.add_sockets(self._sockets)

    def set_limits(self, limits: CallerLimits) -> None:
        """Take the limits for connections; those that are open already keep theirs."""
        self._server.conn_params.header_timeout = limits.idle_timeout_s + IDLE_TIMEOUT_MARGIN_S

    def start_draining(self) -> None:
        """Close each connection after its next answer."""
        self.is_draining = True
        self._server.conn_params.no_keep_alive = True

    def stop_listening(self) -> None:
        """Refuse new connections; those that wait to be taken are taken first.

        The kernel resets what waits at a listener that closes, with the requests on it.
        """
        for listener in self._sockets:
            self._accept_pending(listener)
        self._sockets = []
        self._server.stop()

    def _accept_pending(self, listener: socket.socket) -> None:
        while True:
            try:
                connection, address = listener.accept()
            except OSError:  # nothing waits, or no descriptor is left to take it
                return
            connection.setblocking(False)
            self._server.handle_stream(IOStream(connection), address)

    async def wait_until_idle(self, timeout_s: float) -> bool:
        """Wait until no request was without an answer for a while, and return whether that was.

        Callers go on with open connections until they have had an answer on each.
        """
        end_s = self.clock() + timeout_s
        while self.clock() < end_s:
            if self._tasks:
                await asyncio.wait(self._tasks, timeout=end_s - self.clock())
            self._was_idle = True
            await asyncio.sleep(min(IDLE_CHECK_S, max(0.0, end_s - self.clock())))
            if self._was_idle and not self._tasks:
                return True
        return False

    def refuse_requests(self) -> None:
        """Pass no request on any longer: their connections close without an answer."""
        self._is_closing = True

    async def close(self) -> None:
        """Close every connection."""
        await self._server.close_all_connections()

    def start_request(
        self, server_conn: object, request_conn: HTTP1Connection
    ) -> httputil.HTTPMessageDelegate:
        """Begin to read a request; called by tornado."""
        return _Request(self, request_conn)

    def decode(
        self,
        start_line: httputil.RequestStartLine,
        headers: httputil.HTTPHeaders,
        body: bytes,
        received_s: float,
        rtt_s: float,
    ) -> CallerRequest | Failure:
        """Return what a caller asks."""
        return self._codec.decode_request(
            start_line.method, start_line.path, tuple(headers.get_all()), body, received_s, rtt_s
        )

    def handle_request(
        self, connection: HTTP1Connection, method: str, request: CallerRequest | Failure
    ) -> None:
        """Answer a request that was read."""
        if self._is_closing:
            connection.close()
            return
        self._was_idle = False
        task = asyncio.create_task(self._answer(connection, method, request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(
        self, connection: HTTP1Connection, method: str, request: CallerRequest | Failure
    ) -> None:
        task = asyncio.current_task()
        connection.set_close_callback(task.cancel)
        try:
            answer = await self._service.answer(request)
        except asyncio.CancelledError:
            if isinstance(request, CallerRequest):
                self._service.caller_disconnected(request)
            return
        connection.set_close_callback(None)
        self._write(connection, method, answer)

    def _write(self, connection: HTTP1Connection, method: str, answer: Answer) -> None:
        headers = httputil.HTTPHeaders()
        for name, value in answer.headers:
            headers.add(name, value)
        headers["Content-Length"] = str(len(answer.body))
        if self.is_draining:
            headers["Connection"] = "close"
        reason = httputil.responses.get(answer.status, "Unknown")
        start_line = httputil.ResponseStartLine("HTTP/1.1", answer.status, reason)
        body = b"" if method == "HEAD" or answer.status in (204, 304) else answer.body
        if answer.status in (204, 304):
            del headers["Content-Length"]
        if connection.stream.closed():
            return
        connection.write_headers(start_line, headers, body or None)
        connection.finish()


class _Request(httputil.HTTPMessageDelegate):
    """Collects one request."""

    def __init__(self, server: CallerServer, connection: HTTP1Connection) -> None:
        self._server = server
        self._connection = connection
        self._chunks: list[bytes] = []
        self._start_line: httputil.RequestStartLine | None = None
        self._headers = httputil.HTTPHeaders()
        self._received_s = 0.0

    def headers_received(
        self, start_line: httputil.RequestStartLine, headers: httputil.HTTPHeaders
    ) -> None:
        """Take the head; the caller's patience counts from here."""
        self._start_line = start_line
        self._headers = headers
        self._received_s = self._server.clock()

    def data_received(self, chunk: bytes) -> None:
        """Take a part of the body."""
        self._chunks.append(chunk)

    def finish(self) -> None:
        """Hand the whole request over."""
        request = self._server.decode(
            self._start_line,
            self._headers,
            b"".join(self._chunks),
            self._received_s,
            measured_rtt_s(self._connection),
        )
        self._server.handle_request(self._connection, self._start_line.method, request)

    def on_connection_close(self) -> None:
        """Forget a request whose caller left before it was read."""
        self._chunks.clear()


def measured_rtt_s(connection: HTTP1Connection) -> float:
    """Return the time to a caller and back as the kernel measured it, 0 where it did not."""
    try:
        raw = connection.stream.socket.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
        )
    except (AttributeError, OSError):
        return 0.0
    if len(raw) < TCPI_RTT_OFFSET_BYTES + 4:
        return 0.0
    return struct.unpack_from("=I", raw, TCPI_RTT_OFFSET_BYTES)[0] / 1e6
