"""Messages between callers and entries."""

from __future__ import annotations

from typing import Annotated

import msgspec

from fighinge.errors import ErrorKind
from fighinge.messages import Attempt, Record, ShardMissing

MAX_LIMIT = 10_000
MAX_FACETS = 16
MAX_DEADLINE_MS = 60_000


class QueryRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A query of a caller; ``filter`` is passed to the backend servers unchanged.

    A non-idempotent query (``repeatable`` is false) needs a ``ticket`` that an entry minted; a
    ticket allows one query to run at most once.
    """

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
    """The shards that an answer includes, and those that are missing, with the reasons."""

    share: float
    included: list[str]
    missing: list[ShardMissing]
    summary: str


class SnapshotName(msgspec.Struct, frozen=True):
    """The snapshot that an answer was read from."""

    collection: str
    index_version: int


class GroupTrace(msgspec.Struct):
    """The calls of a query to one replica group."""

    group: str
    owner: str
    takeover: bool
    attempts: list[Attempt]


class Trace(msgspec.Struct):
    """The execution of a query."""

    entry: str
    configuration_version: int
    took_ms: float
    groups: list[GroupTrace]


class QueryAnswer(msgspec.Struct, kw_only=True):
    """The answer to a query.

    ``counts_exact`` is false if an included shard returned records outside its key range, so that
    ``total`` and ``facets`` may also count records of another shard. An answer with a ``cursor``
    may have fewer records than the limit; the next page starts after them.
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
    """The address of an entry."""

    name: str
    zone: str
    url: str


class QueryError(msgspec.Struct, kw_only=True):
    """An error in place of an answer.

    ``not_run`` is true only if it is certain that no process has run the request.
    ``entries`` lists the entries to use instead if the data centre of this one is out of
    service.
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
    """The entries that a caller should use, in order of preference.

    Callers may cache the answer for ``keep_s`` seconds.
    """

    entries: list[EntryAddress]
    keep_s: float
    tickets: list[str] = []
