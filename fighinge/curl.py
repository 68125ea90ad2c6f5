"""An HTTP client on Tornado's curl client that sends each request at most once."""

from __future__ import annotations

import asyncio
import os
import socket
from collections import deque
from io import BytesIO
from typing import TYPE_CHECKING

import msgspec
import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError

if TYPE_CHECKING:
    from collections.abc import Callable

    from tornado.httpclient import HTTPRequest, HTTPResponse
    from tornado.httputil import HTTPHeaders


MAX_CACHED_CONNECTIONS = 2048
MAX_RESPONSE_BYTES = 100 * 1024 * 1024
KEEPALIVE_INTERVAL_S = 1  # the minimum that Linux accepts
KEEPALIVE_PROBES = 2  # a single lost packet must not close a connection
FIRST_DIGITS = (b"1", b"2", b"3", b"4", b"5")  # of a status; libcurl accepts three digits only
TCP_USER_TIMEOUT_MS = 2000  # the duration of the keep-alive probes


class TransferFailure(msgspec.Struct, frozen=True):
    """The outcome of a request without a response.

    ``sent`` is false only if it is certain that no byte of the request was sent;
    ``error_number`` is the curl error code.
    """

    reason: str
    sent: bool
    timed_out: bool
    error_number: int = 0


class CurlClient(CurlAsyncHTTPClient):
    """An HTTP client that keeps its connections open and can be closed with requests in flight.

    By default, libcurl caches four connections per request in flight and closes the others, so
    that it loses most of them when the load drops for a moment. It also checks whether a reused
    connection is still open only if it was idle for a second; this client checks the socket
    before each request.

    Requests are GET, or POST with a body. Of their options, only headers, timeouts and
    ``prepare_curl_callback`` are supported. Redirects are not followed and no proxy is used.
    """

    def initialize(self, *args: object, source_address: str = "", **kwargs: object) -> None:
        """Initialise the client; Tornado calls this instead of a constructor.

        :param source_address: local address of all connections, chosen by the kernel if empty
        """
        self._source_address = source_address
        self._fd_by_port: dict[int, int] = {}
        self._port_by_fd: dict[int, int] = {}
        super().initialize(*args, **kwargs)
        self._multi.setopt(pycurl.M_MAXCONNECTS, MAX_CACHED_CONNECTIONS)

    def is_open(self, local_port: int) -> bool:
        """Return false if the connection from a local port is known to be closed."""
        fd = self._fd_by_port.get(local_port)
        if fd is None:
            return True
        try:
            return _has_nothing_to_read(fd, local_port)
        except OSError:
            return False

    def abort(self, request: HTTPRequest, curl: pycurl.Curl | None) -> bool:
        """Abort a request whose result is no longer needed, and close its connection.

        Tornado wraps each request in a proxy that adds the client's defaults, so the comparison
        is with the wrapped request.

        :param curl: the handle that sends the request, none while the request is queued
        :returns: whether the request was in flight
        """
        if self._multi is None:
            return False
        if curl is None:
            self._requests = deque(
                queued for queued in self._requests if queued[0].request is not request
            )
            return False
        info = getattr(curl, "info", None)
        if info is None or info["request"].request is not request:
            return False
        info["callback"] = _ignore
        self._finish(curl, pycurl.E_ABORTED_BY_CALLBACK, "aborted")
        return True

    def duplicate_socket(self, local_port: int) -> socket.socket | None:
        """Return another descriptor of the connection from a local port, if it is open."""
        fd = self._fd_by_port.get(local_port)
        if fd is None:
            return None
        try:
            duplicate = socket.socket(fileno=os.dup(fd))
        except OSError:
            return None
        if _local_port(duplicate.fileno()) != local_port:
            duplicate.close()
            return None
        duplicate.setblocking(False)
        return duplicate

    def _set_shared_options(self, curl: pycurl.Curl) -> None:
        """Set the options that all requests share; Tornado resets a handle after each request."""
        curl.setopt(pycurl.PROTOCOLS, pycurl.PROTO_HTTP)
        curl.setopt(pycurl.PROXY, "")
        curl.setopt(pycurl.FOLLOWLOCATION, 0)
        curl.setopt(pycurl.MAXFILESIZE, MAX_RESPONSE_BYTES)
        if self._source_address:
            curl.setopt(pycurl.INTERFACE, f"host!{self._source_address}")
        forbid_body_rewind(curl)
        check_status_lines(curl)

    def _curl_setup_request(
        self, curl: pycurl.Curl, request: HTTPRequest, buffer: BytesIO, headers: HTTPHeaders
    ) -> None:
        """Set the options of a request, a third of those that Tornado sets."""
        self._set_shared_options(curl)
        header_lines = [f"{name}: {value}" for name, value in request.headers.items()]
        curl.setopt(pycurl.URL, request.url)
        curl.setopt(pycurl.HTTPHEADER, [*header_lines, "Expect:"])
        curl.setopt(pycurl.WRITEFUNCTION, buffer.write)
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, round(1000 * request.connect_timeout))
        curl.setopt(pycurl.TIMEOUT_MS, round(1000 * request.request_timeout))
        if request.method == "POST":
            curl.setopt(pycurl.POST, 1)
            curl.setopt(pycurl.READFUNCTION, BytesIO(request.body).read)
            curl.setopt(pycurl.POSTFIELDSIZE, len(request.body))
        else:
            curl.setopt(pycurl.HTTPGET, 1)
        if request.prepare_curl_callback is not None:
            request.prepare_curl_callback(curl)

    def _handle_socket(self, event: int, fd: int, multi: pycurl.CurlMulti, data: object) -> None:
        if event != pycurl.POLL_REMOVE and fd not in self._fds:
            self._record_socket(fd)
        super()._handle_socket(event, fd, multi, data)

    def _record_socket(self, fd: int) -> None:
        """Record the local port of a connection; libcurl also polls files that are not sockets."""
        self._fd_by_port.pop(self._port_by_fd.pop(fd, 0), None)
        try:
            port = _local_port(fd)
        except OSError:
            return
        self._port_by_fd[fd] = port
        self._fd_by_port[port] = fd

    def _handle_timeout(self) -> None:
        if self._multi is not None:
            super()._handle_timeout()


def create_client(max_concurrent_calls: int, source_address: str = "") -> CurlClient:
    """Return a client with its own connection cache.

    :param max_concurrent_calls: number of requests in flight, beyond which requests are queued
    :param source_address: local address of all connections, chosen by the kernel if empty
    """
    return CurlClient(
        force_instance=True, max_clients=max_concurrent_calls, source_address=source_address
    )


async def fetch_once(
    client: CurlClient,
    request: HTTPRequest,
    *,
    prepare: Callable[[pycurl.Curl], None] | None = None,
    on_start: Callable[[], None] | None = None,
    on_cancelled: Callable[[socket.socket], None] | None = None,
    dedicated_connection: bool = False,
) -> HTTPResponse | TransferFailure:
    """Send a request at most once and return the response, without its headers.

    A request whose reused connection turns out to be closed before any byte was sent is sent on a
    new connection. All requests of a client must use this function, as curl handles keep their
    options from one request to the next. If the task is cancelled, the request is aborted and
    its connection closed.

    :param prepare: sets further options, the same ones for each request of a client
    :param on_start: called before the first byte is sent
    :param on_cancelled: called with the connection of a request that is aborted after
        ``on_start``, instead of closing it
    :param dedicated_connection: use a new connection that is not reused
    """
    transfer = _Transfer(client, prepare, on_start, dedicated_connection=dedicated_connection)
    result = await _fetch(client, request, transfer, on_cancelled)
    if transfer.found_closed:
        transfer = _Transfer(
            client,
            prepare,
            on_start,
            dedicated_connection=dedicated_connection,
            fresh_connection=True,
        )
        result = await _fetch(client, request, transfer, on_cancelled)
    return result


async def _fetch(
    client: CurlClient,
    request: HTTPRequest,
    transfer: _Transfer,
    on_cancelled: Callable[[socket.socket], None] | None,
) -> HTTPResponse | TransferFailure:
    request.prepare_curl_callback = transfer.prepare
    try:
        return await client.fetch(request, raise_error=False)
    except CurlError as error:
        if transfer.resend_prevented:
            reason = "the connection closed before a response"
            return TransferFailure(reason, sent=True, timed_out=False, error_number=error.errno)
        timed_out = error.errno == pycurl.E_OPERATION_TIMEDOUT
        return TransferFailure(str(error), transfer.started, timed_out, error.errno)
    except asyncio.CancelledError:
        connection = None
        if on_cancelled is not None and transfer.started:
            connection = client.duplicate_socket(transfer.local_port)
        was_in_flight = client.abort(request, transfer.curl)
        if connection is not None and was_in_flight:
            on_cancelled(connection)
        elif connection is not None:
            connection.close()  # another request may use it by now
        raise


def enable_keepalive_probes(curl: pycurl.Curl) -> None:
    """Let the kernel close connections to an unresponsive peer, also idle ones."""
    curl.setopt(pycurl.SOCKOPTFUNCTION, _set_keepalive_options)


def accept_compression(curl: pycurl.Curl) -> None:
    """Accept the compressions that libcurl can undo."""
    curl.setopt(pycurl.ENCODING, "")


def _set_keepalive_options(fd: int, _purpose: int) -> int:
    borrowed = socket.socket(fileno=fd)
    try:
        borrowed.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        borrowed.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S)
        borrowed.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        borrowed.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
        borrowed.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    finally:
        borrowed.detach()
    return pycurl.SOCKOPT_OK


def forbid_body_rewind(curl: pycurl.Curl) -> None:
    """Make libcurl fail instead of sending a request body a second time.

    libcurl repeats a request by itself if a reused connection is closed before the first byte of
    the response. With a body that cannot be rewound, this is an error.
    """
    curl.setopt(pycurl.SEEKFUNCTION, _refuse_seek)


def check_status_lines(curl: pycurl.Curl) -> None:
    """End a transfer and its connection if the status is not one of HTTP.

    libcurl accepts up to 999. The decoding of response headers, which are never read, is skipped.
    """
    curl.setopt(pycurl.HEADERFUNCTION, _check_status_line)


def _check_status_line(line: bytes) -> int:
    """Return the number of bytes that are accepted; none end the transfer."""
    if line.startswith(b"HTTP/") and line.partition(b" ")[2][:1] not in FIRST_DIGITS:
        return 0
    return len(line)


def _ignore(_line: object) -> None:
    return None


class _Transfer:
    """One transfer of a request, which records when libcurl starts to send it.

    Prevents libcurl from sending it a second time, and from sending it on a closed connection.
    """

    __slots__ = (
        "_client",
        "_dedicated_connection",
        "_fresh_connection",
        "_on_start",
        "_prepare",
        "curl",
        "found_closed",
        "local_port",
        "resend_prevented",
        "started",
    )

    def __init__(
        self,
        client: CurlClient,
        prepare: Callable[[pycurl.Curl], None] | None = None,
        on_start: Callable[[], None] | None = None,
        *,
        dedicated_connection: bool = False,
        fresh_connection: bool = False,
    ) -> None:
        self._client = client
        self._prepare = prepare
        self._on_start = on_start
        self._dedicated_connection = dedicated_connection
        self._fresh_connection = fresh_connection or dedicated_connection
        self.curl: pycurl.Curl | None = None
        self.started = False
        self.local_port = 0
        self.found_closed = False
        self.resend_prevented = False

    def prepare(self, curl: pycurl.Curl) -> None:
        """Set the options of the curl handle that sends the request."""
        self.curl = curl
        curl.setopt(pycurl.FRESH_CONNECT, int(self._fresh_connection))
        curl.setopt(pycurl.FORBID_REUSE, int(self._dedicated_connection))
        curl.setopt(pycurl.PREREQFUNCTION, self._on_prerequest)
        if self._prepare is not None:
            self._prepare(curl)

    def _on_prerequest(self, _peer: str, _local: str, _peer_port: int, local_port: int) -> int:
        if self.started:
            self.resend_prevented = True
            return pycurl.PREREQFUNC_ABORT
        if not self._client.is_open(local_port):
            self.found_closed = True
            return pycurl.PREREQFUNC_ABORT
        self.started = True
        self.local_port = local_port
        if self._on_start is not None:
            self._on_start()
        return pycurl.PREREQFUNC_OK


def _local_port(fd: int) -> int:
    borrowed = socket.socket(fileno=fd)
    try:
        return borrowed.getsockname()[1]
    finally:
        borrowed.detach()


def _has_nothing_to_read(fd: int, local_port: int) -> bool:
    """Return whether an idle socket has received neither data nor an end of stream.

    Also true if the descriptor now belongs to a connection from another local port.
    """
    borrowed = socket.socket(fileno=fd)
    try:
        if borrowed.getsockname()[1] != local_port:
            return True
        borrowed.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    finally:
        borrowed.detach()
    return False


def _refuse_seek(_offset: int, _origin: int) -> int:
    return pycurl.SEEKFUNC_FAIL
