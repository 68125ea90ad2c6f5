"""What callers send and receive."""

from __future__ import annotations

from typing import Annotated

import msgspec

from fighinge.errors import ErrorKind
from fighinge.messages import Attempt, Record, ShardMissing

MAX_LIMIT = 10_000
MAX_FACETS = 16
MAX_DEADLINE_MS = 60_000


class QueryRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A caller's query; ``filter`` is handed to the backend servers as it is."""

    request_id: Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9_.:-]{0,64}$")] = ""
    filter: msgspec.Raw = msgspec.Raw(b"{}")
    sort: Annotated[str, msgspec.Meta(min_length=1, max_length=64)] = "key"
    descending: bool = False
    limit: Annotated[int, msgspec.Meta(ge=0, le=MAX_LIMIT)] = 10
    cursor: Annotated[str, msgspec.Meta(max_length=4096)] = ""
    facets: Annotated[tuple[str, ...], msgspec.Meta(max_length=MAX_FACETS)] = ()
    deadline_ms: Annotated[float, msgspec.Meta(gt=0, le=MAX_DEADLINE_MS)] | None = None
    repeatable: bool = True
    ticket: Annotated[str, msgspec.Meta(max_length=512)] = ""
    trace: bool = False


class Coverage(msgspec.Struct):
    """Which shards an answer includes and which it does not, with the reason."""

    share: float
    included: list[str]
    missing: list[ShardMissing]
    summary: str


class SnapshotName(msgspec.Struct, frozen=True):
    """The one snapshot that an answer was read from."""

    collection: str
    index_version: int


class GroupTrace(msgspec.Struct):
    """One replica group's part in a query."""

    group: str
    owner: str
    takeover: bool
    attempts: list[Attempt]


class Trace(msgspec.Struct):
    """How a query was run."""

    entry: str
    configuration_version: int
    took_ms: float
    groups: list[GroupTrace]


class QueryAnswer(msgspec.Struct, kw_only=True):
    """The whole answer to one request.

    ``counts_exact`` is false where an included shard returned records that are not its own, so
    that its share of ``total`` and ``facets`` may count records of another shard too. An answer
    with a ``cursor`` may have fewer records than the limit; the next page starts behind them.
    """

    request_id: str
    snapshot: SnapshotName
    records: list[Record]
    total: int
    facets: dict[str, dict[str, int]]
    coverage: Coverage
    counts_exact: bool = True
    cursor: str = ""
    trace: Trace | None = None


class EntryAddress(msgspec.Struct, frozen=True):
    """An entry that a caller may connect to."""

    name: str
    zone: str
    url: str


class QueryError(msgspec.Struct, kw_only=True):
    """An error in place of an answer.

    ``not_run`` is true only where it is certain that the request ran nowhere.
    ``entries`` tells which entries to use where this one is in a zone out of service.
    """

    request_id: str
    kind: ErrorKind
    reason: str
    field: str = ""
    may_resend: bool
    not_run: bool
    retry_after_s: float | None = None
    coverage: Coverage | None = None
    entries: list[EntryAddress] = []


class EntriesAnswer(msgspec.Struct, kw_only=True):
    """Which entries a caller should use, the first one first, and for how long."""

    entries: list[EntryAddress]
    keep_s: float
    tickets: list[str] = []
