"""One history: what callers saw, backend servers got, operators published and processes knew.

A recorder appends events in any order; times are seconds of one clock. It needs neither pytest
nor hypothesis, so that a run of real processes is recorded and checked alike.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable


PROPAGATION_LIMIT_S = 5.0


class Event(msgspec.Struct, frozen=True, kw_only=True, tag_field="event", tag=True):
    """Something that happened at a time."""

    at_s: float


class RequestSent(Event, frozen=True, kw_only=True):
    """A caller sent a request to an entry; each sending has an identifier of its own."""

    request_id: str
    entry: str
    repeatable: bool = True
    limit: int = 10
    deadline_s: float = 1.0
    idempotency_key: str = ""


class AnswerReceived(Event, frozen=True, kw_only=True):
    """A caller received an answer: its snapshot, coverage and records by key.

    ``record_index_versions`` are the index versions that the records themselves name.
    """

    request_id: str
    answer_request_id: str
    index_version: int
    included: list[str]
    missing: list[str]
    included_fraction: float
    keys: list[str]
    record_index_versions: list[int]
    has_more: bool = False


class ErrorReceived(Event, frozen=True, kw_only=True):
    """A caller received an error."""

    request_id: str
    kind: str
    not_run: bool


class ConnectionLost(Event, frozen=True, kw_only=True):
    """A caller's connection ended without an answer."""

    request_id: str


class SearchArrived(Event, frozen=True, kw_only=True):
    """A search arrived at a backend server.

    ``in_flight`` includes this search; ``concurrency_limit`` is what the server can process at
    that moment; ``cold_since_s`` is None for a warm server. ``aggregator`` is the sender, or empty
    if the recorder does not know it.
    """

    request_id: str
    server: str
    in_flight: int = 1
    concurrency_limit: int = 1_000_000
    cold_since_s: float | None = None
    aggregator: str = ""


class SearchStarted(Event, frozen=True, kw_only=True):
    """A backend server began to run a request on some shards of an index version."""

    request_id: str
    server: str
    index_version: int
    shards: list[str]


class VersionPublished(Event, frozen=True, kw_only=True):
    """A configuration version that operators published and that the platform shows."""

    version: int
    evacuated_zones: list[str] = []
    leaving_servers: list[str] = []


class IndexContents(Event, frozen=True, kw_only=True):
    """The true keys of each shard of an index version, in order."""

    index_version: int
    shards: dict[str, list[str]]


class VersionActivated(Event, frozen=True, kw_only=True):
    """A process put a configuration version in force."""

    process: str
    version: int


class ProcessStarted(Event, frozen=True, kw_only=True):
    """A process began to take work."""

    process: str


class ProcessEnded(Event, frozen=True, kw_only=True):
    """A process ended; ``graceful`` if it was asked to stop."""

    process: str
    graceful: bool
    exit_code: int = 0


class ProcessDisrupted(Event, frozen=True, kw_only=True):
    """A process was paused or cut off, up to ``until_s``; no process is named for all."""

    until_s: float
    process: str = ""


class ServerDraining(Event, frozen=True, kw_only=True):
    """A backend server began to drain."""

    server: str


class ServerReturned(Event, frozen=True, kw_only=True):
    """A backend server takes work again."""

    server: str


AnyEvent = (
    RequestSent
    | AnswerReceived
    | ErrorReceived
    | ConnectionLost
    | SearchArrived
    | SearchStarted
    | VersionPublished
    | IndexContents
    | VersionActivated
    | ProcessStarted
    | ProcessEnded
    | ProcessDisrupted
    | ServerDraining
    | ServerReturned
)

_decoder = msgspec.json.Decoder(AnyEvent)


class History:
    """The events of one run, and the zone of each backend server."""

    __slots__ = ("events", "server_zones")

    def __init__(self, server_zones: dict[str, str]) -> None:
        self.server_zones = server_zones
        self.events: list[Event] = []

    def add(self, event: Event) -> None:
        """Append an event."""
        self.events.append(event)

    def add_encoded_lines(self, lines: Iterable[bytes]) -> None:
        """Append events that another process wrote, one JSON object a line."""
        self.events.extend(_decoder.decode(line) for line in lines)

    def events_of(self, *kinds: type[Event]) -> list:
        """Return the events of some kinds in the order of time."""
        return sorted(
            (event for event in self.events if isinstance(event, kinds)),
            key=lambda event: event.at_s,
        )

    def earliest_notice_s(
        self, at_s: float, process: str = "", window_s: float = PROPAGATION_LIMIT_S
    ) -> float:
        """Return from when a process, or each one, could learn what was told at a time.

        A disturbance counts that begins within ``window_s`` of that.
        """
        until_s = at_s
        for event in self.events_of(ProcessDisrupted):
            concerns = not process or event.process in ("", process)
            if concerns and event.at_s <= until_s + window_s and until_s < event.until_s:
                until_s = event.until_s
        return until_s


def encode_event_line(event: Event) -> bytes:
    """Return an event as one line of JSON."""
    return msgspec.json.encode(event) + b"\n"
