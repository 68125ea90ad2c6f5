"""One connection to a backend server, which carries one request at a time."""

from __future__ import annotations

import asyncio
import re
import socket
from typing import TYPE_CHECKING

from fighinge.aggregator.base import CallFailure, CallFault
from fighinge.router.exchange import InterruptedResponse, RawResponse
from fighinge.router.response_parser import ResponseParser

if TYPE_CHECKING:
    from collections.abc import Callable

    from fighinge.aggregator.base import Address
    from fighinge.router.exchange import BackendRequest, Headers
    from fighinge.router.read_pacing import ReadPacing
    from fighinge.router.response_parser import ResponseBuffers

DEFAULT_IDLE_TIMEOUT_S = 10.0  # without a Keep-Alive timeout, most servers keep a connection longer
KEEP_ALIVE_MARGIN_S = 0.5  # the header has whole seconds, and a request takes time to arrive
KEEPALIVE_INTERVAL_S = 1  # the minimum that Linux accepts
KEEPALIVE_PROBES = 2  # a single lost packet must not close a connection
TCP_USER_TIMEOUT_MS = 2000  # the duration of the keep-alive probes
_SECONDS_PATTERN = re.compile(r"[0-9]{1,9}")  # other characters are digits for str.isdigit
BODY_METHODS = frozenset(("POST", "PUT", "PATCH"))  # have a length even without a body
SOCKET_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
)


class BackendConnection(asyncio.Protocol):
    """Sends a request and parses its response.

    After a complete response with nothing behind it the connection may carry another request, and
    is given to ``on_idle``. Otherwise it closes itself. Bytes that arrive while no response is
    awaited belong to no request, and close it as well.

    ``_result`` is the future of the call in progress. If its task is cancelled, the future is too,
    and bytes are parsed on until :meth:`cancel` decides what to do with them.
    """

    __slots__ = (
        "_echoed_header",
        "_late_timer",
        "_loop",
        "_may_reuse",
        "_on_end",
        "_on_idle",
        "_on_late",
        "_pacing",
        "_parser",
        "_result",
        "_socket",
        "_timer",
        "_transport",
        "address",
        "usable_until_s",
    )

    def __init__(
        self,
        address: Address,
        connected: socket.socket,
        buffers: ResponseBuffers,
        pacing: ReadPacing,
        on_idle: Callable[[BackendConnection], None],
        on_end: Callable[[BackendConnection], None],
    ) -> None:
        """Initialise a connection; its transport follows.

        :param buffers: the bytes that all connections hold
        :param pacing: the costly reads of all connections
        :param on_idle: called when another request may be sent
        :param on_end: called once when the connection is closed
        """
        self.address = address
        self._socket = connected
        self._on_idle = on_idle
        self._on_end = on_end
        self._pacing = pacing
        self._parser = ResponseParser(buffers)
        self._loop = asyncio.get_running_loop()
        self.usable_until_s = self._loop.time() + DEFAULT_IDLE_TIMEOUT_S
        self._transport: asyncio.Transport | None = None
        self._result: asyncio.Future[RawResponse | CallFailure] | None = None
        self._may_reuse = True
        self._echoed_header: tuple[str, str] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._late_timer: asyncio.TimerHandle | None = None
        self._on_late: Callable[[InterruptedResponse], None] | None = None

    @property
    def is_open(self) -> bool:
        """Return whether the server has neither closed an idle connection nor sent anything."""
        if self._transport is None or self._transport.is_closing():
            return False
        try:
            self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    @property
    def is_late(self) -> bool:
        """Return whether the response to a cancelled call is awaited."""
        return self._late_timer is not None

    def send(
        self, request: BackendRequest, timeout_s: float, *, may_reuse: bool = True
    ) -> asyncio.Future[RawResponse | CallFailure]:
        """Send a request and return a future with the response or the failure.

        :param timeout_s: time until the complete response, in seconds
        :param may_reuse: whether the connection may carry another request afterwards
        """
        self._may_reuse = may_reuse
        self._parser.start(is_head=request.method == "HEAD")
        self._echoed_header = request.echoed_header
        self._result = self._loop.create_future()
        self._timer = self._loop.call_later(timeout_s, self._handle_timeout)
        self._transport.write(encode_request(self.address, request))
        return self._result

    def cancel(self, on_late: Callable[[InterruptedResponse], None], wait_s: float) -> None:
        """End the call in progress.

        The connection's own side is closed at once, which ends the work at the server. A server may
        have sent a response by then, whose headers are read for a while.

        :param on_late: called with the headers of the response, if they are or become complete
        :param wait_s: time to wait for them in seconds, 0 to close the connection at once
        """
        result, self._result = self._result, None
        self._timer.cancel()
        if result is not None and result.done() and not result.cancelled():
            response = result.result()  # the call ended just before it was cancelled
            if isinstance(response, RawResponse):
                on_late(_cancelled(response.status, response.headers))
            return
        if self._parser.has_all_headers:
            on_late(_cancelled(self._parser.status, tuple(self._parser.headers)))
            self.close()
        elif wait_s <= 0 or self._transport.is_closing():
            self.close()
        else:
            self._on_late = on_late
            self._late_timer = self._loop.call_later(wait_s, self.close)
            self._transport.write_eof()

    def close(self) -> None:
        """Close the connection without waiting for anything."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Record the transport; asyncio calls this."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the response; asyncio calls this."""
        if self._late_timer is not None:
            self._read_late(data)
            return
        if self._result is None or (self._result.done() and not self._result.cancelled()):
            self.close()  # nothing is awaited
            return
        reason = self._parser.feed(data)
        if self._parser.is_complete:
            self._complete()
        elif reason:
            self._fail(CallFault.BAD_ANSWER, reason)
        else:
            self._pause_after_costly_read()

    def _pause_after_costly_read(self) -> None:
        delay_s = self._pacing.delay_s(self._parser.parts, self._loop.time())
        if delay_s > 0:
            self._transport.pause_reading()
            self._loop.call_later(delay_s, self._resume)

    def _resume(self) -> None:
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def eof_received(self) -> bool:
        """Handle the end of the server's bytes; asyncio calls this."""
        if self._is_waiting and self._parser.end():
            self._complete()  # without a length, the end of the stream is the end of the body
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Handle the end of the connection; asyncio calls this."""
        if self._is_waiting:
            reason = str(error) if error else "the connection closed before the whole response"
            self._fail(CallFault.CONNECTION_LOST, reason)
        if self._late_timer is not None:
            self._late_timer.cancel()
        self._parser.discard()
        self._on_end(self)

    @property
    def _is_waiting(self) -> bool:
        return self._result is not None and not self._result.done()

    def _handle_timeout(self) -> None:
        self._fail(CallFault.TIMEOUT, "no complete response in time")

    def _complete(self) -> None:
        """Give the response to the caller, and the connection to the next request.

        If the call was cancelled at this moment, :meth:`cancel` follows.
        """
        if self._result.cancelled():
            return
        parser = self._parser
        headers = tuple(parser.headers)
        response = RawResponse(parser.status, headers, parser.body)
        self._timer.cancel()
        parser.discard()
        self._result.set_result(response)
        is_sound = parser.may_reuse and not parser.has_surplus and self._answers_request(headers)
        if is_sound and self._may_reuse:
            self.usable_until_s = self._loop.time() + idle_timeout_s(headers)
            self._on_idle(self)
        else:
            self.close()

    def _answers_request(self, headers: Headers) -> bool:
        """Return whether a response belongs to the request, as far as its headers tell.

        Behind another request's response, the own one is still to come.
        """
        if self._echoed_header is None:
            return True
        echoed_name, echoed_value = self._echoed_header
        return all(
            value == echoed_value for name, value in headers if name.lower() == echoed_name.lower()
        )

    def _fail(self, fault: CallFault, reason: str) -> None:
        self._timer.cancel()
        if self._result is None or self._result.done():
            return
        failure = CallFailure(fault, reason)
        if self._parser.status:
            status, headers = self._parser.status, tuple(self._parser.headers)
            failure = InterruptedResponse(fault, reason, status, headers)
        self._result.set_result(failure)
        self.close()

    def _read_late(self, data: bytes) -> None:
        reason = self._parser.feed(data)
        if self._parser.has_all_headers:
            self._on_late(_cancelled(self._parser.status, tuple(self._parser.headers)))
            self.close()
        elif reason:
            self.close()


def _cancelled(status: int, headers: Headers) -> InterruptedResponse:
    return InterruptedResponse(CallFault.CONNECTION_LOST, "the call was cancelled", status, headers)


def idle_timeout_s(headers: Headers) -> float:
    """Return how long a connection may be idle, by the ``Keep-Alive`` header, in seconds."""
    for name, value in headers:
        if name.lower() != "keep-alive":
            continue
        for option in value.split(","):
            key, _, number = option.strip().partition("=")
            if key == "timeout" and _SECONDS_PATTERN.fullmatch(number):
                return max(0.0, int(number) - KEEP_ALIVE_MARGIN_S)
    return DEFAULT_IDLE_TIMEOUT_S


def encode_request(address: Address, request: BackendRequest) -> bytes:
    """Return the bytes of a request, which is not modified.

    :param address: names the host if the request does not
    """
    lines = [f"{request.method} {request.target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in request.headers]
    if not any(name.lower() == "host" for name, _ in request.headers):
        lines.append(f"Host: {address.host}:{address.port}")
    if request.body or request.method in BODY_METHODS:
        lines.append(f"Content-Length: {len(request.body)}")
    return "\r\n".join((*lines, "", "")).encode("latin-1") + request.body
