"""Follows the view of a peer if this router does not read the store or cannot reach it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
from tornado.httpclient import HTTPRequest

from fighinge.configuration.readers import is_reader
from fighinge.curl import (
    CurlClient,
    TransferFailure,
    accept_compression,
    create_client,
    enable_keepalive_probes,
    fetch_once,
)
from fighinge.decoding import UNREADABLE_ERRORS
from fighinge.router.cancellable_call import CancellableCall
from fighinge.router.peer_choice import PeerChoice
from fighinge.router.relay import CHANGES_PATH, REFUSAL_STATUS, VIEW_PATH, PeerChanges, PeerView
from fighinge.router.revisions import era_of, number_of
from fighinge.router.source_state import Topic, topic_of

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    import pycurl

    from fighinge.membership.member import Member
    from fighinge.router.peers import Peers
    from fighinge.router.view import View

POLL_INTERVAL_S = 0.25  # ten tries within the 3 s in which a configuration has to be active
SOURCE_UNREACHABLE_AFTER_S = 0.4  # one failed read and one retry
LONG_POLL_TIMEOUT_S = 6.0  # keep-alive probes do not find a peer whose process stands still
CONNECT_TIMEOUT_S = 0.3  # 100 times the latency between data centres
RESPONSE_TIMEOUT_S = 1.5  # transfers a view of 1 MB over a link of 10 Mbit/s
MAX_CONCURRENT_CALLS = 2
READ_WITHOUT_PEER_AFTER_S = 3.0  # after an outage of the store, its readers reconnect first
PEER_SEARCH_S = 1.0  # between own reads; a removal waits 2.5 s after the second, and is due in 5 s
LONE_READER_HOLD_S = 6.0  # watches of this time cost about as much as one more read
READ_AFTER_LOST_PEER_S = 1.5  # the peer may have noticed only after 3 s; a version is due in 5 s
RELIABLE_PEER_AFTER_S = 1.0  # a peer that has lost the store as well mostly refuses sooner
POLL_JITTER_RATIO = 0.2  # avoids simultaneous requests by many routers
READER_ROLE_HOLD_S = 10.0  # keeps the role stable while membership changes


class ReaderRole:
    """Decides whether this router reads the store itself.

    A few routers per data centre read it and the others follow them. A router without a peer to
    follow reads the store ``READ_WITHOUT_PEER_AFTER_S`` after its start, and
    ``READ_AFTER_LOST_PEER_S`` after it lost a peer. This time goes on while it follows peers that
    soon lose the store too. After its own read it looks for a peer for ``PEER_SEARCH_S``, then
    reads again and watches the store for ``LONE_READER_HOLD_S``. A router that starts first waits
    until it can have learned of other routers.

    :param start_wait_s: time in seconds from the start during which the store is not read
    """

    __slots__ = (
        "_clock",
        "_earliest_read_s",
        "_followed_since_s",
        "_has_read_alone",
        "_is_read_due",
        "_next_read_s",
        "_peers",
        "_reader_until_s",
        "_stale_since_s",
        "_view",
    )

    def __init__(
        self, view: View, peers: Peers, start_wait_s: float, clock: Callable[[], float]
    ) -> None:
        self._view = view
        self._peers = peers
        self._clock = clock
        self._earliest_read_s = clock() + start_wait_s
        self._reader_until_s = float("-inf")
        self._next_read_s = self._earliest_read_s + READ_WITHOUT_PEER_AFTER_S
        self._is_read_due = False
        self._has_read_alone = False
        self._followed_since_s: float | None = None
        self._stale_since_s: float | None = None

    def should_read(self) -> bool:
        """Return whether this router should read the store now."""
        now_s = self._clock()
        if now_s < self._earliest_read_s:
            return False
        if is_reader(self._peers.membership.table):
            self._reader_until_s = now_s + READER_ROLE_HOLD_S
        if now_s < self._reader_until_s:
            return True
        return self._should_read_alone(now_s)

    def _should_read_alone(self, now_s: float) -> bool:
        """Return whether an own read is due as no peer is followed, or goes on."""
        if all(self._view.is_source_reachable(topic) for topic in Topic):
            return self._goes_on_reading(now_s)
        if all(self._view.is_fresh(topic) for topic in Topic):
            if self._followed_since_s is None:
                self._followed_since_s = now_s
            if now_s - self._followed_since_s >= RELIABLE_PEER_AFTER_S:
                self._stale_since_s = None
                self._has_read_alone = False
            self._is_read_due = False
            return False
        self._followed_since_s = None
        if self._stale_since_s is None:
            self._stale_since_s = now_s
        due_s = self._next_read_s
        if not self._has_read_alone:
            due_s = max(due_s, self._stale_since_s + READ_AFTER_LOST_PEER_S)
        self._is_read_due = now_s >= due_s
        return self._is_read_due

    def _goes_on_reading(self, now_s: float) -> bool:
        """Return whether a router whose own read has ended watches the store."""
        was_due, self._is_read_due = self._is_read_due, False
        was_alone, self._has_read_alone = self._has_read_alone, was_due or self._has_read_alone
        self._stale_since_s = None
        self._next_read_s = now_s + PEER_SEARCH_S
        if was_due and was_alone:
            self._reader_until_s = now_s + LONE_READER_HOLD_S
            return True
        return False


class PeerFollower:
    """Copies the view of a peer that reads the store and applies its changes."""

    __slots__ = (
        "_call",
        "_choice",
        "_client",
        "_clock",
        "_is_following",
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
        self._port = port
        self._client = client
        self._clock = clock
        self._random = random_source
        self._started_s = clock()
        self._is_following = False
        self._choice = PeerChoice(peers, random_source)
        self._call = CancellableCall()

    def restart(self) -> None:
        """Stop following a peer whose view has missed changes.

        The transfer of another peer's view goes on, as this one may have the changes.
        """
        if self._is_following:
            self._call.cancel()

    @classmethod
    def create(
        cls,
        view: View,
        peers: Peers,
        port: int,
        clock: Callable[[], float],
        random_source: random.Random,
        source_address: str = "",
    ) -> PeerFollower:
        """Return a follower with a separate HTTP client.

        :param source_address: local address of all connections, chosen by the kernel if empty
        """
        client = create_client(MAX_CONCURRENT_CALLS, source_address)
        return cls(view, peers, port, client, clock, random_source)

    def close(self) -> None:
        """Close every connection."""
        self._client.close()

    async def run(self) -> None:
        """Follow peers until the task is cancelled."""
        while True:
            now_s = self._clock()
            peer = self._choice.choose(now_s) if self.is_needed(now_s) else None
            if peer is not None:
                await self._follow_peer(peer)
            await asyncio.sleep(
                POLL_INTERVAL_S * self._random.uniform(1 - POLL_JITTER_RATIO, 1 + POLL_JITTER_RATIO)
            )

    def is_needed(self, now_s: float) -> bool:
        """Return whether this router does not read the store or cannot reach it."""
        since_s = max(self._view.source_unreachable_s(topic, now_s) for topic in Topic)
        return min(since_s, now_s - self._started_s) >= SOURCE_UNREACHABLE_AFTER_S

    async def _follow_peer(self, peer: Member) -> None:
        """Apply a peer's view and its changes until a request fails or the peer is not needed."""
        content = await self._fetch(peer, VIEW_PATH, RESPONSE_TIMEOUT_S, PeerView)
        if content is None:
            return
        topics = self._unreachable_topics()
        now_s = self._clock()
        if content.watermarks.is_older_than(self._view, topics):
            self._view.log.write("peer not followed", peer=peer.host, reason="its view is older")
            self._choice.record_failure(peer, now_s)
            return
        for topic in topics:
            self._view.record_relay_answer(topic, peer.host, now_s)
            self._view.replace(
                topic,
                content.changes(topic),
                now_s,
                from_peer=True,
                revision=content.watermarks.watermark(topic),
            )
        content.watermarks.apply_to(self._view, topics)
        sequence, newest = content.sequence, content.watermarks.newest_revision
        while self.is_needed(self._clock()) and self._unreachable_topics() == topics:
            query = (
                f"?epoch={content.epoch}&after={sequence}&newest={number_of(newest)}"
                f"&era={era_of(newest)}&wait_s={LONG_POLL_TIMEOUT_S}"
            )
            timeout_s = LONG_POLL_TIMEOUT_S + RESPONSE_TIMEOUT_S
            self._is_following = True
            changes = await self._fetch(peer, CHANGES_PATH + query, timeout_s, PeerChanges)
            self._is_following = False
            if changes is None or self._unreachable_topics() != topics:
                break  # the peer may be behind a source that answers this router again
            sequence, newest = changes.sequence, changes.watermarks.newest_revision
            now_s = self._clock()
            followed = [change for change in changes.changes if topic_of(change) in topics]
            self._view.apply(followed, now_s, from_peer=True)
            changes.watermarks.apply_to(self._view, topics)
            for topic in topics:
                self._view.record_relay_answer(topic, peer.host, now_s)
        for topic in topics:
            self._view.record_relay_failure(topic, self._clock())

    def _unreachable_topics(self) -> list[Topic]:
        """Return the topics whose source this router does not reach or read."""
        return [topic for topic in Topic if not self._view.is_source_reachable(topic)]

    async def _fetch(self, peer: Member, path: str, timeout_s: float, message_type: type):
        """Return a peer's decoded response, or ``None`` if the request failed."""
        request = HTTPRequest(
            f"http://{peer.host}:{self._port}{path}",
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=timeout_s,
        )
        response = await self._call.wait(
            fetch_once(self._client, request, prepare=_set_transfer_options)
        )
        if response is None:
            self._choice.record_stale(peer, self._clock())
            return None
        if isinstance(response, TransferFailure) or response.code != 200:
            reason = getattr(response, "reason", "") or f"status {response.code}"
            self._view.log.write("peer not followed", peer=peer.host, reason=reason)
            if getattr(response, "code", None) == REFUSAL_STATUS:
                self._choice.record_refusal(peer, self._clock())
            else:
                self._choice.record_failure(peer, self._clock())
            return None
        try:
            return msgspec.msgpack.decode(response.body, type=message_type)
        except UNREADABLE_ERRORS as error:
            self._view.log.write("peer's view unreadable", peer=peer.host, reason=str(error))
            self._choice.record_failure(peer, self._clock())
            return None


def _set_transfer_options(curl: pycurl.Curl) -> None:
    enable_keepalive_probes(curl)
    accept_compression(curl)
