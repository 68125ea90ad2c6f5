"""The HTTP server for callers, based on Tornado."""

from __future__ import annotations

import asyncio
import socket
import struct
import sys
from typing import TYPE_CHECKING

import msgspec
from tornado import httputil
from tornado.httpserver import HTTPServer
from tornado.netutil import add_accept_handler, bind_sockets

from fighinge.errors import Failure
from fighinge.router.exchange import Answer, CallerRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from tornado.http1connection import HTTP1Connection

    from fighinge.caller_stream import CallerStream
    from fighinge.router.caller_guard import CallerGuard
    from fighinge.router.exchange import Codec
    from fighinge.router.model import CallerLimits
    from fighinge.router.service import RouterService

IDLE_TIMEOUT_MARGIN_S = 1.0  # callers may reuse a connection up to the idle timeout
TCP_INFO_BYTES = 104  # struct tcp_info as in every kernel since tcpi_rtt was added
TCPI_RTT_OFFSET_BYTES = 68  # tcpi_rtt (microseconds) in struct tcp_info, linux/tcp.h
IDLE_CHECK_S = 0.25  # requests sent before their callers saw the close have arrived by then
LISTEN_BACKLOG = 1024  # connections of one second, if this process cannot accept them
ENDED_BY_STOP = "ended by the stop of this router"  # tells it from a caller that disconnects
REQUEST_LINE_BYTES = 4096  # read in addition to the configured limit of the header section


class CallerServer(httputil.HTTPServerConnectionDelegate):
    """Reads complete requests and writes each answer to its connection."""

    def __init__(
        self,
        service: RouterService,
        codec: Codec,
        clock: Callable[[], float],
        guard: CallerGuard,
    ) -> None:
        self._service = service
        self._codec = codec
        self.guard = guard
        self.clock = clock
        self._tasks: set[asyncio.Task] = set()
        self._sockets: list[socket.socket] = []
        self._stop_accepting: list[Callable[[], None]] = []
        self.is_draining = False
        self._is_closing = False
        self._end_s = float("inf")
        self._last_long_s = float("inf")
        self._was_idle = True
        self.sent_bytes = 0
        self._server = HTTPServer(
            self,
            max_header_size=guard.limits.max_header_bytes,
            max_body_size=sys.maxsize,  # the guard bounds bodies, and answers callers with 413
            idle_connection_timeout=guard.limits.idle_timeout_s + IDLE_TIMEOUT_MARGIN_S,
        )

    @property
    def is_closing(self) -> bool:
        """Return whether further requests get no answer."""
        return self._is_closing

    @property
    def unanswered(self) -> int:
        """Return the number of requests in flight."""
        return len(self._tasks)

    def listen(self, port: int, address: str) -> None:
        """Listen for callers.

        :raises OSError: if the address is in use
        """
        self._sockets = bind_sockets(port, address, backlog=LISTEN_BACKLOG)
        self._stop_accepting = [
            add_accept_handler(listener, self._accept) for listener in self._sockets
        ]

    def set_limits(self, limits: CallerLimits) -> None:
        """Set the limits of all connections; a wait that has begun keeps its timeout."""
        self.guard.limits = limits
        # Tornado applies its header timeout also to the wait for the next request.
        self._server.conn_params.header_timeout = limits.idle_timeout_s + IDLE_TIMEOUT_MARGIN_S
        self._server.conn_params.max_header_size = limits.max_header_bytes + REQUEST_LINE_BYTES

    def start_draining(self, end_s: float = float("inf")) -> None:
        """Close each connection after its next answer.

        In the second half of the time that is left, requests that may outlast it are refused, while
        their callers can still be served by other routers.

        :param end_s: time at which requests in flight have to end
        """
        self.is_draining = True
        self._end_s = end_s
        self._last_long_s = (self.clock() + end_s) / 2
        self._server.conn_params.no_keep_alive = True

    def stop_listening(self) -> None:
        """Stop listening after accepting the pending connections.

        The kernel resets pending connections, with their requests, when a listener closes.
        """
        for stop in self._stop_accepting:
            stop()
        self._stop_accepting = []
        for listener in self._sockets:
            self._accept_pending(listener)
            listener.close()
        self._sockets = []

    def _accept(self, connection: socket.socket, address: tuple) -> None:
        stream = self.guard.accept(connection)
        if stream is not None:
            self._server.handle_stream(stream, address)

    def _accept_pending(self, listener: socket.socket) -> None:
        while True:
            try:
                connection, address = listener.accept()
            except OSError:  # no pending connection, or no file descriptor left
                return
            self._accept(connection, address)

    async def wait_until_idle(self, timeout_s: float) -> bool:
        """Wait until there has been no request for a while, and return whether this was reached.

        Callers use open connections until they have received an answer on each.

        :param timeout_s: maximum wait, in seconds
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
        """Close the connections of further requests without an answer."""
        self._is_closing = True

    async def end_requests(self) -> None:
        """Answer the requests in flight at once, which servers may have run."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel(ENDED_BY_STOP)
        if tasks:
            await asyncio.wait(tasks)

    async def close(self) -> None:
        """Close every connection."""
        await self._server.close_all_connections()
        self.guard.close()

    def start_request(
        self, server_conn: object, request_conn: HTTP1Connection
    ) -> httputil.HTTPMessageDelegate:
        """Return the delegate that reads a request; called by Tornado."""
        self.guard.start_message(request_conn.stream)
        return _Request(self, request_conn)

    def decode(
        self,
        start_line: httputil.RequestStartLine,
        headers: httputil.HTTPHeaders,
        body: bytes,
        received_s: float,
        rtt_s: float,
    ) -> CallerRequest | Failure:
        """Decode a request, or return why it is invalid."""
        return self._codec.decode_request(
            start_line.method, start_line.path, tuple(headers.get_all()), body, received_s, rtt_s
        )

    def handle_request(
        self, connection: HTTP1Connection, method: str, request: CallerRequest | Failure
    ) -> None:
        """Answer a complete request."""
        if self._is_closing:
            connection.close()
            return
        self._was_idle = False
        if self._outlasts_stop(request):
            self._write(connection, method, self._service.refuse_for_stop(request))
            return
        task = asyncio.create_task(self._answer(connection, method, request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _outlasts_stop(self, request: CallerRequest | Failure) -> bool:
        """Return whether a request that has just arrived may still be in flight at the end."""
        if isinstance(request, Failure) or self.clock() < self._last_long_s:
            return False
        return request.received_s + request.caller_timeout_s > self._end_s

    def start_forwarded(self, request: CallerRequest) -> asyncio.Task[Answer]:
        """Answer a request that a peer has forwarded; it counts as one of this router's own."""
        self._was_idle = False
        received = msgspec.structs.replace(request, received_s=self.clock(), is_forwarded=True)
        task = asyncio.create_task(self._service.answer(received))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _answer(
        self, connection: HTTP1Connection, method: str, request: CallerRequest | Failure
    ) -> None:
        task = asyncio.current_task()
        connection.set_close_callback(task.cancel)
        try:
            answer = await self._service.answer(request)
        except asyncio.CancelledError as cancellation:
            if not isinstance(request, CallerRequest):
                return
            if ENDED_BY_STOP not in cancellation.args:
                self._service.caller_disconnected(request)
                return
            answer = self._service.end_for_stop(request)
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
        self.sent_bytes += len(body)
        connection.write_headers(start_line, headers, body or None)
        self.guard.start_answer(connection.stream, len(body))
        if not connection.stream.closed():
            connection.finish()


class _Request(httputil.HTTPMessageDelegate):
    """Reads one request."""

    def __init__(self, server: CallerServer, connection: HTTP1Connection) -> None:
        self._server = server
        self._connection = connection
        self._stream: CallerStream = connection.stream
        self._body = bytearray()  # small chunks are not kept as objects of their own
        self._start_line: httputil.RequestStartLine | None = None
        self._headers = httputil.HTTPHeaders()
        self._received_s = 0.0

    def headers_received(
        self, start_line: httputil.RequestStartLine, headers: httputil.HTTPHeaders
    ) -> None:
        """Store the header section; the caller timeout starts here."""
        self._start_line = start_line
        self._headers = headers
        self._received_s = self._server.clock()
        self._server.guard.start_body(self._stream, headers)

    def data_received(self, chunk: bytes) -> None:
        """Store a chunk of the body, unless the body is larger than the limit."""
        if self._server.guard.check_body(self._stream, len(self._body) + len(chunk)):
            self._body += chunk

    def finish(self) -> None:
        """Decode the complete request and have it answered, unless it was refused."""
        if self._stream.closed():
            return
        self._server.guard.start_service(self._stream)
        request = self._server.decode(
            self._start_line,
            self._headers,
            bytes(self._body),
            self._received_s,
            measured_rtt_s(self._connection),
        )
        self._body = bytearray()
        self._server.handle_request(self._connection, self._start_line.method, request)

    def on_connection_close(self) -> None:
        """Discard a request whose caller disconnected before it was complete."""
        self._body = bytearray()


def measured_rtt_s(connection: HTTP1Connection) -> float:
    """Return the kernel's estimate of the round-trip time to a caller, in seconds, or 0."""
    try:
        raw = connection.stream.socket.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
        )
    except (AttributeError, OSError):
        return 0.0
    if len(raw) < TCPI_RTT_OFFSET_BYTES + 4:
        return 0.0
    return struct.unpack_from("=I", raw, TCPI_RTT_OFFSET_BYTES)[0] / 1e6
