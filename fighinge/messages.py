"""Typed messages between callers, entries, aggregators and backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from fighinge.errors import ErrorKind

if TYPE_CHECKING:
    from collections.abc import Iterable

SortValue = float | str


class Record(msgspec.Struct):
    """One record as a backend server returns it; ``fields`` stays encoded."""

    key: str
    sort: SortValue
    fields: msgspec.Raw = msgspec.Raw(b"{}")


class PagePosition(msgspec.Struct, frozen=True):
    """The position behind which the next page of records starts."""

    sort: SortValue
    key: str


class Search(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What every shard is asked; the filter is handed on as it came."""

    filter: msgspec.Raw = msgspec.Raw(b"{}")
    sort: str = "key"
    descending: bool = False
    limit: int = 10
    after: PagePosition | None = None
    facets: tuple[str, ...] = ()


class ShardResult(msgspec.Struct):
    """One shard's answer, which names the index version that it was read from."""

    shard: str
    index_version: int
    records: list[Record]
    total: int
    facets: dict[str, dict[str, int]] = {}


class ShardMissing(msgspec.Struct):
    """One shard that an answer does not include, and why."""

    shard: str
    kind: ErrorKind
    reason: str


class ServerState(msgspec.Struct):
    """The load that a backend server reports; the report may lag or mislead.

    ``index_versions`` maps a collection to the versions that the server holds.
    """

    process_id: str
    state: str = "ready"
    slots: int = 0
    in_flight: int = 0
    queued: int = 0
    index_versions: dict[str, list[int]] = {}


class BackendRequest(msgspec.Struct, kw_only=True):
    """One call to one backend server, with all shards that it is asked for."""

    call_id: str
    request_id: str
    collection: str
    index_version: int
    shards: tuple[str, ...]
    search: Search
    remaining_ms: float
    repeatable: bool = True


class BackendAnswer(msgspec.Struct):
    """A backend server's answer to one call."""

    process_id: str
    parts: list[ShardResult] = []
    missing: list[ShardMissing] = []
    state: ServerState | None = None


class BackendRefusal(msgspec.Struct):
    """A backend server's refusal of a call that it did not run.

    ``reason`` is ``shed``, ``draining``, ``cold``, ``deadline`` or ``index_version``.
    """

    process_id: str
    reason: str
    state: ServerState | None = None


class BackendCancel(msgspec.Struct):
    """A request to stop running a call whose answer is no longer wanted."""

    call_id: str


class GroupShards(msgspec.Struct, frozen=True):
    """The shards that are asked of one replica group."""

    group: str
    shards: tuple[str, ...]


class SubQuery(msgspec.Struct, frozen=True, kw_only=True):
    """One aggregator's share of a query.

    ``call`` is unique per entry process and aggregator; ``remaining_s`` is the time left
    until the deadline when the message was sent. ``is_suspect`` tells that a backend server of
    another group was lost with this query in flight.
    """

    call: int
    request_id: str
    service: str
    collection: str
    index_version: int
    query_class: str
    tenant: str
    groups: tuple[GroupShards, ...]
    search: Search
    remaining_s: float
    repeatable: bool
    fingerprint: str
    configuration_version: int
    takeover: bool = False
    is_suspect: bool = False


class Attempt(msgspec.Struct):
    """One call to a backend server, as a trace shows it."""

    backend_server: str
    shards: int
    reason: str
    started_ms: float
    took_ms: float
    result: str


class GroupOutcome(msgspec.Struct, kw_only=True):
    """What one replica group contributed to a query.

    ``sent`` is false only where it is certain that no backend server was sent the request.
    ``retry_after_s`` tells when a refused request may be worth sending again.
    """

    group: str
    parts: list[ShardResult] = []
    missing: list[ShardMissing] = []
    attempts: list[Attempt] = []
    sent: bool = False
    retry_after_s: float = 0.0

    def with_parts_failed(self, kind: ErrorKind, reason: str) -> GroupOutcome:
        """Return the outcome with each part replaced by an error."""
        lost = [ShardMissing(part.shard, kind, reason) for part in self.parts]
        return msgspec.structs.replace(self, parts=[], missing=self.missing + lost)


class GroupStatus(msgspec.Struct):
    """What a replica group's owner believes of it.

    ``index_versions`` maps a collection to the versions that some replica serves;
    ``unserved_shards`` names, per collection and such a version, the shards without a
    replica that serves it.
    """

    group: str
    index_versions: dict[str, list[int]]
    unserved_shards: dict[str, dict[int, list[str]]] = {}


def failed_group(
    group: str, shards: Iterable[str], kind: ErrorKind, reason: str, *, sent: bool
) -> GroupOutcome:
    """Return the outcome of a group of which no shard answered.

    :param sent: whether any backend server may have been sent the request
    """
    missing = [ShardMissing(shard, kind, reason) for shard in shards]
    return GroupOutcome(group=group, missing=missing, sent=sent)
