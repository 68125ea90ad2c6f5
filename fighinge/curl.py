"""What every user of tornado's curl client needs: one sending per request, a quiet end."""

from __future__ import annotations

import asyncio
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
KEEPALIVE_INTERVAL_S = 1  # the shortest that the kernel takes
KEEPALIVE_PROBES = 2  # one lost packet is no sign of silence
TCP_USER_TIMEOUT_MS = 2000  # as long as the probes take


class TransferFailure(msgspec.Struct, frozen=True):
    """A sentinel for a request without a response.

    ``sent`` is false only where it is certain that nothing of the request was sent.
    """

    reason: str
    sent: bool
    timed_out: bool
    error_number: int = 0


class CurlClient(CurlAsyncHTTPClient):
    """A client that keeps its connections and may be closed while requests are outstanding.

    By itself libcurl keeps four connections for each request that is outstanding at the moment
    and closes the rest, so that a quiet moment costs most of them. It also checks whether a
    connection is still open only if that was idle for a second; the client looks at the socket.

    Requests are GET, or POST with a body; of their options only headers, timeouts and the
    callback before sending are used. Redirects are not followed and proxies not used.
    """

    def initialize(self, *args: object, **kwargs: object) -> None:
        """Set the client up; tornado calls this in place of a constructor."""
        self._fd_by_port: dict[int, int] = {}
        self._port_by_fd: dict[int, int] = {}
        super().initialize(*args, **kwargs)
        self._multi.setopt(pycurl.M_MAXCONNECTS, MAX_CACHED_CONNECTIONS)

    def is_open(self, local_port: int) -> bool:
        """Return whether the connection from a local port is open, as far as is known."""
        fd = self._fd_by_port.get(local_port)
        if fd is None:
            return True
        try:
            return _has_nothing_to_read(fd, local_port)
        except OSError:
            return False

    def abort(self, request: HTTPRequest, curl: pycurl.Curl | None) -> None:
        """End a request that nobody waits for any longer, and close its connection.

        Tornado keeps a request in a proxy that adds the client's defaults.

        :param curl: the handle that sends the request, none while it waits for one
        """
        if self._multi is None:
            return
        if curl is None:
            self._requests = deque(
                queued for queued in self._requests if queued[0].request is not request
            )
            return
        info = getattr(curl, "info", None)
        if info is not None and info["request"].request is request:
            info["callback"] = _ignore
            self._finish(curl, pycurl.E_ABORTED_BY_CALLBACK, "broken off")

    def _curl_create(self) -> pycurl.Curl:
        """Return a handle with the options that all requests share."""
        curl = super()._curl_create()
        curl.setopt(pycurl.PROTOCOLS, pycurl.PROTO_HTTP)
        curl.setopt(pycurl.PROXY, "")
        curl.setopt(pycurl.FOLLOWLOCATION, 0)
        curl.setopt(pycurl.MAXFILESIZE, MAX_RESPONSE_BYTES)
        forbid_body_rewind(curl)
        skip_response_headers(curl)
        return curl

    def _curl_setup_request(
        self, curl: pycurl.Curl, request: HTTPRequest, buffer: BytesIO, headers: HTTPHeaders
    ) -> None:
        """Set what differs between requests, a third of what tornado sets."""
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
        """Remember a connection's port; libcurl also watches files that are no sockets."""
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


def create_client(max_concurrent_calls: int) -> CurlClient:
    """Return a client with connections of its own."""
    return CurlClient(force_instance=True, max_clients=max_concurrent_calls)


async def fetch_once(
    client: CurlClient,
    request: HTTPRequest,
    *,
    prepare: Callable[[pycurl.Curl], None] | None = None,
    dedicated_connection: bool = False,
) -> HTTPResponse | TransferFailure:
    """Send a request at most once and return the response, without its headers.

    A request that meets a closed connection before anything of it was sent goes over a new one.
    All requests of a client must go this way, since it keeps options from one to the next. A
    request whose task is cancelled is broken off with its connection.

    :param prepare: sets further options, the same ones for each request of a client
    :param dedicated_connection: use a new connection, which no other request uses
    """
    transfer = _Transfer(client, prepare, dedicated_connection=dedicated_connection)
    result = await _fetch(client, request, transfer)
    if transfer.found_closed:
        transfer = _Transfer(
            client, prepare, dedicated_connection=dedicated_connection, fresh_connection=True
        )
        result = await _fetch(client, request, transfer)
    return result


async def _fetch(
    client: CurlClient, request: HTTPRequest, transfer: _Transfer
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
        client.abort(request, transfer.curl)
        raise


def enable_keepalive_probes(curl: pycurl.Curl) -> None:
    """Have the kernel close connections that went silent, idle or with data on the way."""
    curl.setopt(pycurl.SOCKOPTFUNCTION, _set_keepalive_options)


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
    """Make libcurl fail where it would silently send a request body a second time.

    libcurl sends a request again by itself when a reused connection closes before the first
    byte of a response. A body that cannot be rewound turns that into an error.
    """
    curl.setopt(pycurl.SEEKFUNCTION, _refuse_seek)


def skip_response_headers(curl: pycurl.Curl) -> None:
    """Spare the decoding of response headers that nobody reads."""
    curl.setopt(pycurl.HEADERFUNCTION, _ignore)


def _ignore(_line: object) -> None:
    return None


class _Transfer:
    """Notes when libcurl is about to send a request.

    Stops it the second time, and where the connection has been closed already.
    """

    __slots__ = (
        "_client",
        "_dedicated_connection",
        "_fresh_connection",
        "_prepare",
        "curl",
        "found_closed",
        "resend_prevented",
        "started",
    )

    def __init__(
        self,
        client: CurlClient,
        prepare: Callable[[pycurl.Curl], None] | None = None,
        *,
        dedicated_connection: bool = False,
        fresh_connection: bool = False,
    ) -> None:
        self._client = client
        self._prepare = prepare
        self._dedicated_connection = dedicated_connection
        self._fresh_connection = fresh_connection or dedicated_connection
        self.curl: pycurl.Curl | None = None
        self.started = False
        self.found_closed = False
        self.resend_prevented = False

    def prepare(self, curl: pycurl.Curl) -> None:
        """Take part in a transfer."""
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
        return pycurl.PREREQFUNC_OK


def _local_port(fd: int) -> int:
    borrowed = socket.socket(fileno=fd)
    try:
        return borrowed.getsockname()[1]
    finally:
        borrowed.detach()


def _has_nothing_to_read(fd: int, local_port: int) -> bool:
    """Return whether nothing, not even an end, has arrived on a socket before a request."""
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
