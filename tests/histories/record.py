"""One history: what callers saw, backend servers got, operators published and processes knew.

A recorder appends events in any order; times are seconds of one clock. It needs neither pytest
nor hypothesis, so that a run of real processes is recorded and checked alike.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable


LEARN_S = 5.0


class Event(msgspec.Struct, frozen=True, kw_only=True, tag_field="event", tag=True):
    """Something that happened at a time."""

    at_s: float


class Asked(Event, frozen=True, kw_only=True):
    """A caller sent a request to an entry; each sending has an identifier of its own."""

    request_id: str
    entry: str
    repeatable: bool = True
    limit: int = 10
    deadline_s: float = 1.0
    key: str = ""


class Answered(Event, frozen=True, kw_only=True):
    """A caller received an answer: its snapshot, coverage and records by key.

    ``record_versions`` are the index versions that the records themselves name.
    """

    request_id: str
    answer_request_id: str
    index_version: int
    included: list[str]
    missing: list[str]
    share: float
    keys: list[str]
    record_versions: list[int]
    has_more: bool = False


class Refused(Event, frozen=True, kw_only=True):
    """A caller received an error."""

    request_id: str
    kind: str
    not_run: bool


class CutOff(Event, frozen=True, kw_only=True):
    """A caller's connection ended without an answer."""

    request_id: str


class Arrived(Event, frozen=True, kw_only=True):
    """A search arrived at a backend server.

    ``in_flight`` counts it too, ``bearable`` is what the server could bear then; ``cold_s`` tells
    since when the server is cold. ``aggregator`` is the sender, if the recorder knows it.
    """

    request_id: str
    server: str
    in_flight: int = 1
    bearable: int = 1_000_000
    cold_s: float | None = None
    aggregator: str = ""


class Ran(Event, frozen=True, kw_only=True):
    """A backend server began to run a request on some shards of an index version."""

    request_id: str
    server: str
    index_version: int
    shards: list[str]


class Published(Event, frozen=True, kw_only=True):
    """A configuration version that operators published and that the platform shows."""

    version: int
    zones_out: list[str] = []
    servers_leaving: list[str] = []


class Indexed(Event, frozen=True, kw_only=True):
    """The true keys of each shard of an index version, in order."""

    index_version: int
    shards: dict[str, list[str]]


class InForce(Event, frozen=True, kw_only=True):
    """A process put a configuration version in force."""

    process: str
    version: int


class Started(Event, frozen=True, kw_only=True):
    """A process began to take work."""

    process: str


class Ended(Event, frozen=True, kw_only=True):
    """A process ended; ``planned`` if it was asked to stop."""

    process: str
    planned: bool
    exit_code: int = 0


class Disturbed(Event, frozen=True, kw_only=True):
    """A process was paused or cut off, up to ``until_s``; no process is named for all."""

    until_s: float
    process: str = ""


class ServerLeaves(Event, frozen=True, kw_only=True):
    """A backend server began to drain."""

    server: str


class ServerReturns(Event, frozen=True, kw_only=True):
    """A backend server takes work again."""

    server: str


AnyEvent = (
    Asked
    | Answered
    | Refused
    | CutOff
    | Arrived
    | Ran
    | Published
    | Indexed
    | InForce
    | Started
    | Ended
    | Disturbed
    | ServerLeaves
    | ServerReturns
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

    def add_lines(self, lines: Iterable[bytes]) -> None:
        """Append events that another process wrote, one JSON object a line."""
        self.events.extend(_decoder.decode(line) for line in lines)

    def of(self, *kinds: type[Event]) -> list:
        """Return the events of some kinds in the order of time."""
        return sorted(
            (event for event in self.events if isinstance(event, kinds)),
            key=lambda event: event.at_s,
        )

    def excused_until_s(self, at_s: float, process: str = "", slack_s: float = LEARN_S) -> float:
        """Return from when a process, or each one, could learn what was told at a time.

        A disturbance counts that begins within ``slack_s`` of that.
        """
        until_s = at_s
        for event in self.of(Disturbed):
            concerns = not process or event.process in ("", process)
            if concerns and event.at_s <= until_s + slack_s and until_s < event.until_s:
                until_s = event.until_s
        return until_s


def encode_line(event: Event) -> bytes:
    """Return an event as one line of JSON."""
    return msgspec.json.encode(event) + b"\n"
