"""Forwards callers' requests to routers that reach the backend servers, one hop at most."""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING

import msgspec
from tornado.httpclient import HTTPRequest
from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler

from fighinge.curl import TransferFailure, create_client, enable_keepalive_probes, fetch_once
from fighinge.decoding import UNREADABLE_ERRORS
from fighinge.errors import ErrorKind, Failure
from fighinge.router.exchange import Answer, CallerRequest

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from fighinge.curl import CurlClient
    from fighinge.router.http_server import CallerServer
    from fighinge.router.peers import Peers
    from fighinge.router.settings import RouterSettings

FORWARD_PATH = "/forward"
CONNECT_TIMEOUT_S = 0.3  # 100 times the latency between data centres
MAX_PEERS = 3  # tried for one request
MAX_REPEATS = 1  # of a request whose first peer may have had it run
FORWARD_MARGIN_S = 0.01  # to pass the peer's answer on before the caller gives up
MAX_CONCURRENT_CALLS = 200  # further requests are refused; a queue would outlast their deadlines


class Unserved(enum.Enum):
    """Why a peer has certainly not run a request."""

    UNREACHABLE = "unreachable"
    REFUSED = "refused"


class Forwarder:
    """Hands requests to peers that are not cut off from the backend servers themselves."""

    __slots__ = ("_client", "_clock", "_in_flight", "_peers", "_port", "_random")

    def __init__(
        self,
        peers: Peers,
        port: int,
        client: CurlClient,
        clock: Callable[[], float],
        random_source: random.Random,
    ) -> None:
        self._peers = peers
        self._port = port
        self._client = client
        self._clock = clock
        self._random = random_source
        self._in_flight = 0

    @classmethod
    def from_settings(
        cls,
        settings: RouterSettings,
        peers: Peers,
        clock: Callable[[], float],
        random_source: random.Random,
    ) -> Forwarder:
        """Return a forwarder with a separate HTTP client."""
        client = create_client(MAX_CONCURRENT_CALLS, settings.address)
        return cls(peers, settings.control_port, client, clock, random_source)

    def close(self) -> None:
        """Close every connection."""
        self._client.close()

    def probers(self, fingerprint: str, *, is_returning: bool) -> list[str]:
        """Return the peers that probe a suspect request before this router does, in order."""
        return self._peers.probers(fingerprint, is_returning=is_returning)

    def has_peer(self) -> bool:
        """Return whether a peer may take requests."""
        return bool(self._peers.forwarding_targets())

    async def forward(
        self,
        request: CallerRequest,
        *,
        is_idempotent: bool,
        reached_servers: dict[str, tuple[str, ...]] | None = None,
    ) -> Answer | Failure:
        """Return the answer of a peer, or why there is none.

        :param is_idempotent: whether the request may be sent to a second peer after a first one
            may have had it run
        :param reached_servers: as in :class:`CallerRequest`
        """
        if self._in_flight >= MAX_CONCURRENT_CALLS:
            return Failure(ErrorKind.OVERLOADED, "too many requests are forwarded")
        self._in_flight += 1
        request = msgspec.structs.replace(request, reached_servers=reached_servers or {})
        try:
            hosts = self._peers.forwarding_targets()
            self._random.shuffle(hosts)
            return await self._forward(request, hosts, is_idempotent=is_idempotent)
        finally:
            self._in_flight -= 1

    async def forward_to_first(
        self, request: CallerRequest, hosts: list[str]
    ) -> Answer | Failure | None:
        """Return the answer of the first peer that can be reached, or ``None`` if none can.

        A peer that can be reached but takes no requests now is not passed over: it knows that it is
        the prober, and a further one would end another server.
        """
        if self._in_flight >= MAX_CONCURRENT_CALLS:
            return Failure(ErrorKind.OVERLOADED, "too many requests are forwarded")
        self._in_flight += 1
        try:
            for host in hosts[:MAX_PEERS]:
                forwarded = self._for_peer(request)
                if forwarded is None:
                    return _out_of_time()
                answer = await self._send(host, forwarded)
                if answer is Unserved.REFUSED:
                    return Failure(ErrorKind.NO_REPLICA, "the peer takes no requests")
                if answer is not Unserved.UNREACHABLE:
                    return answer
            return None
        finally:
            self._in_flight -= 1

    async def _forward(
        self,
        request: CallerRequest,
        hosts: list[str],
        *,
        is_idempotent: bool,
    ) -> Answer | Failure:
        lost = 0
        for host in hosts[:MAX_PEERS]:
            forwarded = self._for_peer(request, lost)
            if forwarded is None:
                return _out_of_time()
            answer = await self._send(host, forwarded)
            if isinstance(answer, Answer):
                if answer.is_not_run and (request.reached_servers or lost):
                    return Failure(ErrorKind.BACKEND_LOST, "an earlier call may have run")
                return answer
            if isinstance(answer, Unserved):
                continue
            lost += 1
            if lost > MAX_REPEATS or not is_idempotent:
                return answer
        if lost:
            return Failure(ErrorKind.BACKEND_LOST, "the peers' answers were lost")
        return Failure(ErrorKind.NO_REPLICA, "no peer takes requests")

    def _for_peer(self, request: CallerRequest, lost_peers: int = 0) -> CallerRequest | None:
        """Return a request as a peer gets it, or ``None`` if there is no time for that."""
        remaining_s = request.received_s + request.caller_timeout_s - self._clock()
        if remaining_s <= FORWARD_MARGIN_S:
            return None
        return msgspec.structs.replace(
            request,
            caller_timeout_s=remaining_s - FORWARD_MARGIN_S,
            is_forwarded=True,
            lost_peers=lost_peers,
            credential="",
        )

    async def _send(self, host: str, request: CallerRequest) -> Answer | Failure | Unserved:
        """Send a request to a peer.

        :returns: the peer's answer, a failure after which the request may have run, or why it has
            certainly not run
        """
        message = HTTPRequest(
            f"http://{host}:{self._port}{FORWARD_PATH}",
            method="POST",
            body=msgspec.msgpack.encode(request),
            connect_timeout=min(CONNECT_TIMEOUT_S, request.caller_timeout_s),
            request_timeout=request.caller_timeout_s,
        )
        response = await fetch_once(self._client, message, prepare=enable_keepalive_probes)
        if isinstance(response, TransferFailure):
            if not response.sent:
                return Unserved.UNREACHABLE
            if response.timed_out:
                return _out_of_time()
            return Failure(ErrorKind.BACKEND_LOST, "the peer's answer was lost")
        if response.code != 200:
            return Unserved.REFUSED
        try:
            return msgspec.msgpack.decode(response.body, type=Answer)
        except UNREADABLE_ERRORS as error:
            return Failure(ErrorKind.BACKEND_FAULT, f"the peer's answer is invalid: {error}")


def _out_of_time() -> Failure:
    return Failure(ErrorKind.DEADLINE_EXCEEDED, "no answer of a peer in time")


class ForwardHandler(RequestHandler):
    """Answers requests that peers forward; it refuses others, and all while it cannot serve."""

    def initialize(self, peers: Peers, server: CallerServer, may_serve: Callable[[], bool]) -> None:
        """Set the components; Tornado calls this instead of a constructor."""
        self._peers = peers
        self._server = server
        self._may_serve = may_serve
        self._task: asyncio.Task | None = None

    async def post(self) -> None:
        """Answer a request within its remaining time."""
        if not self._peers.is_known(self.request.remote_ip):
            self.set_status(403)
            return
        if not self._may_serve():
            self.set_status(503)
            return
        try:
            request = msgspec.msgpack.decode(self.request.body, type=CallerRequest)
        except UNREADABLE_ERRORS:
            self.set_status(400)
            return
        self._task = self._server.start_forwarded(request)
        try:
            answer = await self._task
            self.finish(msgspec.msgpack.encode(answer))
        except (asyncio.CancelledError, StreamClosedError):
            return

    def on_connection_close(self) -> None:
        """Cancel the work for a peer whose caller has gone."""
        if self._task is not None:
            self._task.cancel()


def forwarding_routes(
    peers: Peers, server: CallerServer, may_serve: Callable[[], bool]
) -> list[tuple]:
    """Return the URL routes of the server for peers."""
    context = {"peers": peers, "server": server, "may_serve": may_serve}
    return [(FORWARD_PATH, ForwardHandler, context)]
