"""Messages between entries, aggregators and backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from fighinge.errors import ErrorKind

if TYPE_CHECKING:
    from collections.abc import Iterable

SortValue = float | str


class Record(msgspec.Struct):
    """One record from a backend server; ``fields`` is passed on without decoding."""

    key: str
    sort: SortValue
    fields: msgspec.Raw = msgspec.Raw(b"{}")


class PagePosition(msgspec.Struct, frozen=True):
    """The sort position of the last record of a page, after which the next page starts."""

    sort: SortValue
    key: str


class Search(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The search that every shard runs; the filter is passed on unchanged."""

    filter: msgspec.Raw = msgspec.Raw(b"{}")
    sort: str = "key"
    descending: bool = False
    limit: int = 10
    after: PagePosition | None = None
    facets: tuple[str, ...] = ()


class ShardResult(msgspec.Struct):
    """The result of one shard, with the index version that it was read from."""

    shard: str
    index_version: int
    records: list[Record]
    total: int
    facets: dict[str, dict[str, int]] = {}


class ShardMissing(msgspec.Struct):
    """A shard that an answer does not include, with the reason."""

    shard: str
    kind: ErrorKind
    reason: str


class ServerState(msgspec.Struct):
    """The state and load that a backend server reports; they may be out of date or wrong.

    ``index_versions`` maps a collection to the index versions that the server holds.
    """

    process_id: str
    state: str = "ready"
    slots: int = 0
    in_flight: int = 0
    queued: int = 0
    index_versions: dict[str, list[int]] = {}


class BackendRequest(msgspec.Struct, kw_only=True):
    """One call to a backend server for one or more shards."""

    call_id: str
    request_id: str
    collection: str
    index_version: int
    shards: tuple[str, ...]
    search: Search
    remaining_ms: float
    repeatable: bool = True


class BackendAnswer(msgspec.Struct):
    """The answer of a backend server to one call."""

    process_id: str
    parts: list[ShardResult] = []
    missing: list[ShardMissing] = []
    state: ServerState | None = None


class BackendRefusal(msgspec.Struct):
    """The refusal of a call that the backend server has not run or, if cancelled, not finished.

    ``reason`` is ``shed``, ``draining``, ``cold``, ``deadline``, ``index_version`` or
    ``cancelled``.
    """

    process_id: str
    reason: str
    state: ServerState | None = None


class BackendCancel(msgspec.Struct):
    """A request to cancel a call whose answer is no longer needed."""

    call_id: str


class GroupShards(msgspec.Struct, frozen=True):
    """The shards of one replica group that a sub-query covers."""

    group: str
    shards: tuple[str, ...]


class SubQuery(msgspec.Struct, frozen=True, kw_only=True):
    """The sub-query that one aggregator runs for a query.

    ``call`` is unique per entry process and aggregator; ``remaining_s`` is the time from sending
    the message to the deadline; ``takeover`` is true if another aggregator was asked before.
    ``is_suspect`` is true if a backend server of another group was lost with this query in
    flight.
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
    """One call to a backend server, as recorded in a trace.

    ``shards`` is their number. ``started_ms`` is counted from when the aggregator began to process
    these shards; for the first call, it is the queueing time.
    """

    backend_server: str
    shards: int
    reason: str
    started_ms: float
    took_ms: float
    result: str


class GroupOutcome(msgspec.Struct, kw_only=True):
    """The results of one replica group for a query.

    ``sent`` is false only if it is certain that no backend server was sent the request.
    ``retry_after_s`` is the time after which a refused request may succeed.
    """

    group: str
    parts: list[ShardResult] = []
    missing: list[ShardMissing] = []
    attempts: list[Attempt] = []
    sent: bool = False
    retry_after_s: float = 0.0

    def with_results_failed(self, kind: ErrorKind, reason: str) -> GroupOutcome:
        """Return the outcome with an error in place of each shard result."""
        failed = [ShardMissing(result.shard, kind, reason) for result in self.parts]
        return msgspec.structs.replace(self, parts=[], missing=self.missing + failed)


class GroupStatus(msgspec.Struct):
    """The status of a replica group as reported by its owner.

    ``index_versions`` maps a collection to the index versions that at least one replica serves;
    ``unserved_shards`` lists, per collection and version, the shards that no replica serves.
    """

    group: str
    index_versions: dict[str, list[int]]
    unserved_shards: dict[str, dict[int, list[str]]] = {}


def failed_group(
    group: str, shards: Iterable[str], kind: ErrorKind, reason: str, *, sent: bool
) -> GroupOutcome:
    """Return the outcome of a group without any shard result.

    :param sent: whether any backend server may have been sent the request
    """
    missing = [ShardMissing(shard, kind, reason) for shard in shards]
    return GroupOutcome(group=group, missing=missing, sent=sent)
