"""Takes the view from a peer while this router has no contact with the sources itself."""

from __future__ import annotations

import asyncio
import hashlib
from typing import TYPE_CHECKING

import msgspec
from tornado.httpclient import HTTPRequest
from tornado.web import RequestHandler

from fighinge.curl import CurlClient, TransferFailure, create_client, fetch_once
from fighinge.router.changes import BackendListed, Change, TablePublished, ZoneEvacuated
from fighinge.router.model import BackendEntry, RoutingTable
from fighinge.router.view import Topic

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from fighinge.membership.member import Member
    from fighinge.router.peers import Peers
    from fighinge.router.view import View

PATH = "/view"
ASK_INTERVAL_S = 0.3  # ten times within the 3 s in which a configuration has to be in force
CONTACT_LOST_S = 0.4  # one failed read and its repeat
CONNECT_TIMEOUT_S = 0.3  # a hundred times the way between data centres
ANSWER_TIMEOUT_S = 0.8  # a view of a megabyte over a link of 10 Mbit/s
MAX_CONCURRENT_CALLS = 2


class PeerView(msgspec.Struct, frozen=True):
    """Everything that a router in contact with its sources believes."""

    table: RoutingTable | None
    backends: tuple[BackendEntry, ...]
    zones_out: tuple[str, ...]

    @classmethod
    def from_view(cls, view: View) -> PeerView:
        """Return what a view holds."""
        return cls(view.table, tuple(view.backends.values()), tuple(sorted(view.zones_out)))

    def changes(self, topic: Topic) -> list[Change]:
        """Return what is published of a topic."""
        if topic is Topic.BACKENDS:
            return [BackendListed(entry) for entry in self.backends]
        zones: list[Change] = [ZoneEvacuated(zone) for zone in self.zones_out]
        return zones + ([TablePublished(self.table)] if self.table else [])


_decoder = msgspec.msgpack.Decoder(PeerView)


class ViewServer:
    """Tells peers the view while it is fresh, encoded once for each change."""

    __slots__ = ("_clock", "_content", "_digest", "_view")

    def __init__(self, view: View, clock: Callable[[], float]) -> None:
        self._view = view
        self._clock = clock
        self._content: bytes | None = None
        self._digest = ""
        view.listen(self._changed)

    def content(self) -> tuple[bytes, str] | None:
        """Return the encoded view with its digest, or none while it may be outdated."""
        now_s = self._clock()
        if not all(self._view.is_in_contact(topic) for topic in Topic):
            return None
        if not all(self._view.is_fresh(topic, now_s) for topic in Topic):
            return None
        if self._content is None:
            self._content = msgspec.msgpack.encode(PeerView.from_view(self._view))
            self._digest = hashlib.blake2b(self._content, digest_size=12).hexdigest()
        return self._content, self._digest

    def _changed(self, _now_s: float) -> None:
        self._content = None


class ViewHandler(RequestHandler):
    """Serves the view to peers; one that has it already gets no body."""

    def initialize(self, views: ViewServer) -> None:
        """Take what to serve; called by tornado."""
        self.views = views

    def get(self) -> None:
        """Answer a peer."""
        content = self.views.content()
        if content is None:
            self.set_status(503)
        elif self.get_query_argument("have", "") == content[1]:
            self.set_status(204)
        else:
            self.write(content[0])
        self.finish()


class PeerFollower:
    """Asks peers in turn while a source is out of contact."""

    __slots__ = (
        "_client",
        "_clock",
        "_digest",
        "_peers",
        "_port",
        "_random",
        "_started_s",
        "_view",
    )

    def __init__(
        self,
        view: View,
        peers: Peers,
        port: int,
        client: CurlClient,
        clock: Callable[[], float],
        random_source: random.Random,
    ) -> None:
        self._view = view
        self._peers = peers
        self._port = port
        self._client = client
        self._clock = clock
        self._random = random_source
        self._digest = ""
        self._started_s = clock()

    @classmethod
    def create(
        cls,
        view: View,
        peers: Peers,
        port: int,
        clock: Callable[[], float],
        random_source: random.Random,
    ) -> PeerFollower:
        """Return a follower with connections of its own."""
        return cls(view, peers, port, create_client(MAX_CONCURRENT_CALLS), clock, random_source)

    def close(self) -> None:
        """Close every connection."""
        self._client.close()

    async def run(self) -> None:
        """Ask for as long as the task runs."""
        while True:
            await asyncio.sleep(ASK_INTERVAL_S * (0.8 + 0.4 * self._random.random()))
            if not self.is_needed(self._clock()):
                self._digest = ""
                continue
            peer = self._choose()
            if peer is not None:
                await self._ask(peer)

    def is_needed(self, now_s: float) -> bool:
        """Return whether a source has been out of contact for longer than a repeated read."""
        since_s = max(self._view.out_of_contact_s(topic, now_s) for topic in Topic)
        return min(since_s, now_s - self._started_s) >= CONTACT_LOST_S

    def _choose(self) -> Member | None:
        """Return a peer that may be in contact, one of this data centre twice as often."""
        table = self._peers.membership.table
        members = table.reachable()
        near = [member for member in members if member.zone == table.me.zone]
        members = members + near
        return self._random.choice(members) if members else None

    async def _ask(self, peer: Member) -> None:
        request = HTTPRequest(
            f"http://{peer.host}:{self._port}{PATH}?have={self._digest}",
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=ANSWER_TIMEOUT_S,
        )
        response = await fetch_once(self._client, request)
        now_s = self._clock()
        if isinstance(response, TransferFailure) or response.code not in (200, 204):
            return
        if response.code == 200:
            try:
                content = _decoder.decode(response.body)
            except msgspec.DecodeError as error:
                self._view.log.write("peer's view unreadable", peer=peer.host, reason=str(error))
                return
            self._digest = hashlib.blake2b(response.body, digest_size=12).hexdigest()
            for topic in Topic:
                if not self._view.is_in_contact(topic):
                    self._view.replace(topic, content.changes(topic), now_s, from_peer=True)
        for topic in Topic:
            self._view.relayed(topic, peer.host, now_s)
