"""The events of a history, as callers, backend servers, operators and processes observed them.

Events may be appended in any order; all times are seconds of one clock. The module imports neither
pytest nor hypothesis, so that runs of real processes can be recorded and checked too.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable


PROPAGATION_LIMIT_S = 5.0  # time until every process must follow a change


class Event(msgspec.Struct, frozen=True, kw_only=True, tag_field="event", tag=True):
    """An event of a history."""

    at_s: float


class RequestSent(Event, frozen=True, kw_only=True):
    """A caller sent a request to an entry; a repeated request gets an identifier of its own."""

    request_id: str
    entry: str
    repeatable: bool = True
    limit: int = 10
    deadline_s: float = 1.0
    idempotency_key: str = ""


class AnswerReceived(Event, frozen=True, kw_only=True):
    """A caller received an answer with its snapshot, coverage and record keys.

    ``record_index_versions`` are the index versions named in the records.
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
    """A backend server started a search on some shards of an index version."""

    request_id: str
    server: str
    index_version: int
    shards: list[str]


class VersionPublished(Event, frozen=True, kw_only=True):
    """Operators published a configuration version, which the platform serves."""

    version: int
    evacuated_zones: list[str] = []
    leaving_servers: list[str] = []


class IndexContents(Event, frozen=True, kw_only=True):
    """The sorted keys that each shard of an index version contains."""

    index_version: int
    shards: dict[str, list[str]]


class VersionActivated(Event, frozen=True, kw_only=True):
    """A process activated a configuration version."""

    process: str
    version: int


class ProcessStarted(Event, frozen=True, kw_only=True):
    """A process started to accept requests."""

    process: str


class ProcessEnded(Event, frozen=True, kw_only=True):
    """A process ended, after a graceful shutdown or a crash."""

    process: str
    graceful: bool
    exit_code: int = 0


class ProcessDisrupted(Event, frozen=True, kw_only=True):
    """A process was paused or cut off, or the platform was down or stale, until ``until_s``.

    An empty name stands for all processes.
    """

    until_s: float
    process: str = ""


class ServerDraining(Event, frozen=True, kw_only=True):
    """A backend server started to drain."""

    server: str


class ServerReturned(Event, frozen=True, kw_only=True):
    """A backend server accepts work again after draining."""

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
    """The events of one run and the data centre of each backend server."""

    __slots__ = ("events", "server_zones")

    def __init__(self, server_zones: dict[str, str]) -> None:
        self.server_zones = server_zones
        self.events: list[Event] = []

    def add(self, event: Event) -> None:
        """Append an event."""
        self.events.append(event)

    def add_encoded_lines(self, lines: Iterable[bytes]) -> None:
        """Append events that another process wrote as JSON lines."""
        self.events.extend(_decoder.decode(line) for line in lines)

    def events_of(self, *event_types: type[Event]) -> list:
        """Return the events of the given types, sorted by time."""
        return sorted(
            (event for event in self.events if isinstance(event, event_types)),
            key=lambda event: event.at_s,
        )

    def earliest_notice_s(
        self, at_s: float, process: str = "", window_s: float = PROPAGATION_LIMIT_S
    ) -> float:
        """Return the earliest time at which a process can notice a change or process a request.

        A disruption that starts at most ``window_s`` after ``at_s``, or after the end of a
        counted disruption, postpones that to its own end.

        :param at_s: time of the change or request, in seconds
        :param process: process concerned; if empty, disruptions of every process count
        :param window_s: how soon a disruption must start to count, in seconds
        """
        notice_s = at_s
        for event in self.events_of(ProcessDisrupted):
            applies = not process or event.process in ("", process)
            if applies and event.at_s <= notice_s + window_s and notice_s < event.until_s:
                notice_s = event.until_s
        return notice_s


def encode_event_line(event: Event) -> bytes:
    """Encode an event as a JSON line."""
    return msgspec.json.encode(event) + b"\n"
