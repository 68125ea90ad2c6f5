"""Serves the view to routers that do not read the store themselves."""

from __future__ import annotations

import asyncio
import gzip
import secrets
from collections import deque
from typing import TYPE_CHECKING

import msgspec
from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler

from fighinge.router.changes import BackendListed, Change, TablePublished, ZoneEvacuated
from fighinge.router.model import BackendRecord, RoutingTable
from fighinge.router.revisions import era_of, number_of, ordered_revision
from fighinge.router.view import Topic

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fighinge.router.view import View

VIEW_PATH = "/view"
CHANGES_PATH = "/changes"
REFUSAL_STATUS = 503  # of a router that does not reach the store, or lacks the changes
MAX_RETAINED_CHANGES = 2000  # several times the backend servers of a data centre
MAX_LONG_POLL_S = 30.0  # about as long as a watch of the store
SOURCE_CHECK_INTERVAL_S = 0.25  # followers learn well within a second of a lost source
MIN_COMPRESSED_BYTES = 1400  # one packet; a view of hundreds of servers has hundreds of them
COMPRESSION_LEVEL = 1  # a view of 300 KB in milliseconds, to about a tenth


class Watermarks(msgspec.Struct, frozen=True):
    """Revisions per topic up to which a router's view is complete, and of the last changes."""

    numbers: dict[str, int] = msgspec.field(name="known")
    last_change_numbers: dict[str, int] = msgspec.field(name="last_change")
    eras: dict[str, int] = {}
    last_change_eras: dict[str, int] = {}

    @classmethod
    def from_view(cls, view: View) -> Watermarks:
        """Return the watermarks of a view."""
        known = {topic.value: view.watermark(topic) for topic in Topic}
        changed = {topic.value: view.last_change_revision(topic) for topic in Topic}
        return cls(
            {name: number_of(revision) for name, revision in known.items()},
            {name: number_of(revision) for name, revision in changed.items()},
            {name: era_of(revision) for name, revision in known.items()},
            {name: era_of(revision) for name, revision in changed.items()},
        )

    def watermark(self, topic: Topic) -> int:
        """Return the revision up to which a topic is complete."""
        return ordered_revision(self.eras.get(topic.value, 0), self.numbers[topic.value])

    def last_change_revision(self, topic: Topic) -> int:
        """Return the revision of the last change of a topic."""
        era = self.last_change_eras.get(topic.value, 0)
        return ordered_revision(era, self.last_change_numbers[topic.value])

    def apply_to(self, view: View, topics: Iterable[Topic]) -> None:
        """Advance a view that follows this router to the same watermarks."""
        for topic in topics:
            view.advance(topic, self.watermark(topic), self.last_change_revision(topic))

    def is_older_than(self, view: View, topics: Iterable[Topic]) -> bool:
        """Return whether a view has a change of these topics that this router lacks.

        Routers of before the eras were known send none, and cannot be compared.
        """
        return bool(self.eras) and any(
            self.watermark(topic) < view.last_change_revision(topic) for topic in topics
        )

    @property
    def newest_revision(self) -> int:
        """Return the highest revision of a change."""
        return max(self.last_change_revision(topic) for topic in Topic)


class PeerView(msgspec.Struct, frozen=True):
    """The view of a router that can reach its sources.

    ``epoch`` identifies the process that sent it, ``sequence`` is the number of its last change.
    """

    epoch: str
    sequence: int
    table: RoutingTable | None
    backends: tuple[BackendRecord, ...]
    evacuated_zones: tuple[str, ...] = msgspec.field(name="zones_out")
    watermarks: Watermarks = msgspec.field(name="marks")

    def changes(self, topic: Topic) -> list[Change]:
        """Return the content of a topic as changes."""
        if topic is Topic.BACKENDS:
            return [BackendListed(record) for record in self.backends]
        zones: list[Change] = [ZoneEvacuated(zone) for zone in self.evacuated_zones]
        return zones + ([TablePublished(self.table)] if self.table else [])


class PeerChanges(msgspec.Struct, frozen=True):
    """Changes of a router's view up to a sequence number."""

    sequence: int
    changes: tuple[Change, ...]
    watermarks: Watermarks = msgspec.field(name="marks")


class Relay:
    """Retains the last changes of the view for peers that follow it."""

    __slots__ = ("_changed", "_retained", "_sequence", "_view", "epoch")

    def __init__(self, view: View) -> None:
        self.epoch = secrets.token_hex(6)
        self._view = view
        self._retained: deque[tuple[int, Change]] = deque(maxlen=MAX_RETAINED_CHANGES)
        self._sequence = 0
        self._changed = asyncio.Event()
        view.add_change_listener(self._record_changes)
        view.add_revision_listener(self._notify_waiters)

    @property
    def is_source_reachable(self) -> bool:
        """Return whether this router reads the store itself and can reach it."""
        return all(self._view.is_source_reachable(topic) for topic in Topic)

    def known_revision(self, number: int, era: int | None) -> int:
        """Return the revision that a peer names, by this router's era if it names none."""
        if era is None:
            era = era_of(Watermarks.from_view(self._view).newest_revision)
        return ordered_revision(era, number)

    def view(self) -> PeerView:
        """Return the current view."""
        view = self._view
        return PeerView(
            self.epoch,
            self._sequence,
            view.table,
            tuple(view.backends.values()),
            tuple(sorted(view.evacuated_zones)),
            Watermarks.from_view(view),
        )

    async def changes(
        self, epoch: str, after: int, newest_revision: int, wait_s: float
    ) -> PeerChanges | None:
        """Return the changes after a sequence number as soon as there are any.

        :param newest_revision: revision of the last change that the peer has; a change without any
            effect on the view is passed on as its revision only
        :param wait_s: time in seconds after which an empty result may be returned
        :returns: ``None`` if these changes are not retained, or if a source is unreachable
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + min(wait_s, MAX_LONG_POLL_S)
        while self.is_source_reachable:
            if epoch != self.epoch or not self._has_changes_after(after):
                return None
            watermarks = Watermarks.from_view(self._view)
            if self._sequence > after or watermarks.newest_revision > newest_revision:
                changes = tuple(change for number, change in self._retained if number > after)
                return PeerChanges(self._sequence, changes, watermarks)
            if loop.time() >= deadline_s:
                return PeerChanges(self._sequence, (), watermarks)
            changed = self._changed
            try:
                async with asyncio.timeout(SOURCE_CHECK_INTERVAL_S):
                    await changed.wait()
            except TimeoutError:
                continue
        return None

    def _has_changes_after(self, after: int) -> bool:
        oldest = self._retained[0][0] if self._retained else self._sequence + 1
        return oldest - 1 <= after <= self._sequence

    def _record_changes(self, changes: list[Change]) -> None:
        for change in changes:
            self._sequence += 1
            self._retained.append((self._sequence, change))
        self._notify_waiters()

    def _notify_waiters(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class RelayEncoder:
    """Encodes what a router sends its followers, and keeps the last result.

    Many followers ask for the same at the same time, after a change or once others lost the store.
    """

    __slots__ = ("_compressed", "_content", "_plain")

    def __init__(self) -> None:
        self._content: object | None = None
        self._plain = b""
        self._compressed = b""

    def encode(self, content: object, *, is_compressed: bool) -> bytes:
        """Return an encoded message.

        :param is_compressed: by gzip
        """
        if content != self._content:
            self._content = content
            self._plain = msgspec.msgpack.encode(content)
            self._compressed = b""
        if not is_compressed:
            return self._plain
        if not self._compressed:
            self._compressed = gzip.compress(self._plain, COMPRESSION_LEVEL, mtime=0)
        return self._compressed


class _RelayHandler(RequestHandler):
    def initialize(self, relay: Relay, encoder: RelayEncoder) -> None:
        self.relay = relay
        self.encoder = encoder

    def respond(self, content: object | None) -> None:
        """Send the content, or a refusal if this router cannot be followed now."""
        if content is None:
            self.set_status(REFUSAL_STATUS)
        else:
            self._write(content)
        try:
            self.finish()
        except StreamClosedError:
            return

    def _write(self, content: object) -> None:
        body = self.encoder.encode(content, is_compressed=False)
        accepted = self.request.headers.get("Accept-Encoding", "")
        if "gzip" in accepted and len(body) >= MIN_COMPRESSED_BYTES:
            body = self.encoder.encode(content, is_compressed=True)
            self.set_header("Content-Encoding", "gzip")
        self.write(body)


class ViewHandler(_RelayHandler):
    """Serves the complete view."""

    def get(self) -> None:
        """Send the view."""
        self.respond(self.relay.view() if self.relay.is_source_reachable else None)


class ChangesHandler(_RelayHandler):
    """Serves changes by long polling."""

    async def get(self) -> None:
        """Send the changes after a sequence number."""
        epoch = self.get_query_argument("epoch")
        after = int(self.get_query_argument("after"))
        newest = int(self.get_query_argument("newest"))
        era = self.get_query_argument("era", None)
        newest = self.relay.known_revision(newest, None if era is None else int(era))
        wait_s = float(self.get_query_argument("wait_s"))
        self.respond(await self.relay.changes(epoch, after, newest, wait_s))


def relay_routes(relay: Relay) -> list[tuple]:
    """Return the URL routes of the server for peers."""
    return [
        (VIEW_PATH, ViewHandler, {"relay": relay, "encoder": RelayEncoder()}),
        (CHANGES_PATH, ChangesHandler, {"relay": relay, "encoder": RelayEncoder()}),
    ]
