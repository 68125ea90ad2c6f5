"""The entry's part of a query: admits it, plans it on one snapshot and answers."""

from __future__ import annotations

import base64
import itertools
import uuid
from typing import TYPE_CHECKING, Protocol

import logbook
import msgspec
import xxhash

from fighinge.entry.query_run import Assignment, QueryRun, QueryTerms
from fighinge.entry.snapshots import SnapshotChooser
from fighinge.errors import ErrorKind, Failure
from fighinge.groups import GroupMap
from fighinge.logs import bind_request_id
from fighinge.messages import After, Search
from fighinge.metrics import QueryLabels, observe_traces
from fighinge.ownership import Candidate, owner_order
from fighinge.queries import QueryAnswer, QueryError, QueryRequest, SnapshotName, Trace

if TYPE_CHECKING:
    from collections.abc import Callable

    from fighinge.entry.base import AggregatorLinks
    from fighinge.model import Document, Service, Snapshot

logger = logbook.Logger(__name__)

ANSWER_SLACK_S = 0.002


class Cursor(msgspec.Struct, frozen=True, array_like=True):
    """Where the next page starts, pinned to the snapshot of the first one."""

    index_version: int
    after: After


class FleetView(Protocol):
    """What a process believes of the fleet."""

    def aggregators(self) -> list[Candidate]:
        """Return the aggregators that take new work."""


class QueryService:
    """Answers queries under the configuration in force."""

    __slots__ = (
        "_calls",
        "_clock",
        "_document",
        "_fleet",
        "_group_map",
        "_links",
        "_name",
        "_version",
        "snapshots",
    )

    def __init__(
        self,
        name: str,
        fleet: FleetView,
        links: AggregatorLinks,
        snapshots: SnapshotChooser,
        clock: Callable[[], float],
    ) -> None:
        self._name = name
        self._fleet = fleet
        self._links = links
        self._clock = clock
        self._calls = itertools.count(1)
        self._document: Document | None = None
        self._group_map: GroupMap | None = None
        self._version = 0
        self.snapshots = snapshots

    def configure(self, version: int, document: Document) -> None:
        """Put a configuration version in force."""
        self._version = version
        self._document = document
        self._group_map = GroupMap.from_document(document)

    @property
    def ready(self) -> bool:
        """Return whether queries can be answered."""
        return self._document is not None

    async def query(self, service_name: str, request: QueryRequest) -> QueryAnswer | QueryError:
        """Answer one request, whole or with an error of the closed list."""
        request_id = request.request_id or uuid.uuid4().hex
        bind_request_id(request_id)
        result = await self._answer(service_name, request, request_id)
        if isinstance(result, Failure):
            return query_error(request_id, result)
        return result

    async def _answer(
        self, service_name: str, request: QueryRequest, request_id: str
    ) -> QueryAnswer | QueryError | Failure:
        started_s = self._clock()
        document, group_map = self._document, self._group_map
        if document is None or group_map is None:
            return Failure(ErrorKind.NOT_READY, "no configuration is confirmed yet")
        service = document.services.get(service_name)
        if service is None:
            return Failure(
                ErrorKind.UNKNOWN_SERVICE, f"no service {service_name[:64]!r}", "service"
            )
        cursor = decode_cursor(request.cursor) if request.cursor else None
        if isinstance(cursor, Failure):
            return cursor
        snapshot = self._snapshot(document, group_map, service, cursor)
        if isinstance(snapshot, Failure):
            return snapshot
        run = self._start_run(
            request, request_id, service_name, service, snapshot, cursor, started_s
        )
        await run.run()
        observe_traces(QueryLabels(service.tenant, service.query_class), run.traces)
        return self._finish(request, request_id, service, run, started_s)

    def _snapshot(
        self, document: Document, group_map: GroupMap, service: Service, cursor: Cursor | None
    ) -> Snapshot | Failure:
        if cursor is None:
            return self.snapshots.choose(document, group_map, service.collection)
        snapshot = document.collections[service.collection].snapshot(cursor.index_version)
        if snapshot is None:
            reason = f"the cursor's index version {cursor.index_version} is gone"
            return Failure(ErrorKind.SNAPSHOT_GONE, reason, "cursor")
        return snapshot

    def _start_run(
        self,
        request: QueryRequest,
        request_id: str,
        service_name: str,
        service: Service,
        snapshot: Snapshot,
        cursor: Cursor | None,
        started_s: float,
    ) -> QueryRun:
        search = Search(
            filter=request.filter,
            sort=request.sort,
            descending=request.descending,
            limit=request.limit,
            after=cursor.after if cursor else None,
            facets=request.facets,
        )
        deadline_s = request.deadline_ms / 1000 if request.deadline_ms else service.deadline_s
        terms = QueryTerms(
            request_id=request_id,
            service=service_name,
            collection=service.collection,
            query_class=service.query_class,
            tenant=service.tenant,
            search=search,
            repeatable=request.repeatable,
            fingerprint=fingerprint(service_name, search),
            configuration_version=self._version,
        )
        return QueryRun(
            terms,
            snapshot,
            self._assignments(service.collection, snapshot),
            self._links,
            lambda: next(self._calls),
            self._clock,
            started_s + deadline_s - ANSWER_SLACK_S,
        )

    def _assignments(self, collection: str, snapshot: Snapshot) -> list[Assignment]:
        candidates = self._fleet.aggregators()
        shards_by_group = self._group_map.shards_by_group(
            self._document, collection, snapshot.index_version
        )
        return [
            Assignment(
                group,
                shards,
                owner_order(self._group_map.groups[group], self._document, candidates),
            )
            for group, shards in shards_by_group.items()
        ]

    def _finish(
        self,
        request: QueryRequest,
        request_id: str,
        service: Service,
        run: QueryRun,
        started_s: float,
    ) -> QueryAnswer | QueryError:
        coverage = run.collector.coverage()
        if not coverage.included or coverage.share < service.minimum_coverage:
            reason = f"answered by {coverage.summary}"
            error = query_error(request_id, Failure(ErrorKind.COVERAGE_TOO_LOW, reason))
            error.coverage = coverage
            return error
        merged = run.collector.merge(request.limit, descending=request.descending)
        answer = QueryAnswer(
            request_id=request_id,
            snapshot=SnapshotName(service.collection, run.snapshot.index_version),
            records=merged.records,
            total=merged.total,
            facets=merged.facets,
            coverage=coverage,
        )
        if len(merged.records) == request.limit and request.limit > 0:
            last = merged.records[-1]
            answer.cursor = encode_cursor(
                Cursor(run.snapshot.index_version, After(last.sort, last.key))
            )
        if request.trace:
            took_ms = (self._clock() - started_s) * 1000
            answer.trace = Trace(self._name, self._version, took_ms, run.traces)
        return answer


def query_error(request_id: str, failure: Failure) -> QueryError:
    """Return a failure as a caller sees it."""
    answer = failure.answer
    return QueryError(
        request_id=request_id,
        kind=failure.kind,
        reason=failure.reason,
        field=failure.field,
        may_resend=answer.may_resend,
        not_run=answer.not_run,
    )


def fingerprint(service: str, search: Search) -> str:
    """Return what identifies a query that is sent again, whoever sends it."""
    return xxhash.xxh3_128_hexdigest(service.encode() + b"\n" + msgspec.json.encode(search))


def encode_cursor(cursor: Cursor) -> str:
    """Return a cursor as an opaque string."""
    return base64.urlsafe_b64encode(msgspec.json.encode(cursor)).decode()


def decode_cursor(text: str) -> Cursor | Failure:
    """Return a cursor from its string, or a failure where it is none."""
    try:
        return msgspec.json.decode(base64.urlsafe_b64decode(text), type=Cursor)
    except (ValueError, msgspec.DecodeError):
        return Failure(ErrorKind.BAD_REQUEST, "is not a cursor of this system", "cursor")
