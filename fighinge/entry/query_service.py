"""The entry's part of a query: plans it on one snapshot, runs it and answers."""

from __future__ import annotations

import itertools
import random
import uuid
from typing import TYPE_CHECKING, Protocol

import logbook
import msgspec
import xxhash

from fighinge.entry.canary import CanaryPolicy
from fighinge.entry.coverage import EarlyAnswerRule
from fighinge.entry.cursors import Cursor, decode_cursor, encode_cursor, search_name
from fighinge.entry.query_errors import query_error, run_error
from fighinge.entry.query_parameters import QueryParameters, QueryRunContext
from fighinge.entry.query_plan import QueryPlanner
from fighinge.entry.query_run import QueryRun
from fighinge.entry.response_times import ResponseTimes
from fighinge.entry.sub_query_budget import SubQueryRetryBudget
from fighinge.errors import ErrorKind, Failure
from fighinge.logs import bind_request_id
from fighinge.messages import Search
from fighinge.metrics import QueryLabels, observe_traces
from fighinge.queries import QueryAnswer, QueryError, QueryRequest, SnapshotName, Trace

if TYPE_CHECKING:
    from collections.abc import Callable

    from fighinge.entry.base import AggregatorLinks
    from fighinge.entry.snapshots import SnapshotChooser
    from fighinge.model import Document, Service, Snapshot
    from fighinge.ownership import Candidate

logger = logbook.Logger(__name__)

RESPONSE_MARGIN_S = 0.002
AGGREGATOR_REFRESH_S = 0.05
REPLAN_MIN_TIME_FRACTION = 0.25
INCARNATION_BITS = 31
CALL_NUMBER_BITS = 32


class AggregatorDirectory(Protocol):
    """What a process believes of the fleet."""

    def aggregators(self) -> list[Candidate]:
        """Return the aggregators that take new work."""


class ValidatedQuery:
    """One request under the configuration that it arrived under."""

    __slots__ = (
        "cursor",
        "deadline_s",
        "request",
        "request_id",
        "service",
        "service_name",
        "started_s",
    )

    def __init__(
        self,
        request_id: str,
        service_name: str,
        service: Service,
        request: QueryRequest,
        started_s: float,
    ) -> None:
        self.request_id = request_id
        self.service_name = service_name
        self.service = service
        self.request = request
        self.started_s = started_s
        duration_s = request.deadline_ms / 1000 if request.deadline_ms else service.deadline_s
        self.deadline_s = started_s + duration_s - RESPONSE_MARGIN_S
        self.cursor: Cursor | None = None

    def has_time_again(self, now_s: float) -> bool:
        """Return whether enough time is left to plan the query again."""
        left_s = self.deadline_s - now_s
        return left_s >= REPLAN_MIN_TIME_FRACTION * (self.deadline_s - self.started_s)

    def search(self) -> Search:
        """Return what every shard is asked."""
        request = self.request
        return Search(
            filter=request.filter,
            sort=request.sort,
            descending=request.descending,
            limit=request.limit,
            after=self.cursor.after if self.cursor else None,
            facets=request.facets,
        )


class QueryService:
    """Answers queries under the configuration in force.

    A caller that hangs up cancels the task of its query, which gives up what is outstanding.
    """

    __slots__ = (
        "_budgets",
        "_calls",
        "_canaries",
        "_clock",
        "_document",
        "_fleet",
        "_follow_again_s",
        "_links",
        "_name",
        "_planner",
        "_times",
        "_version",
        "snapshots",
    )

    def __init__(
        self,
        name: str,
        fleet: AggregatorDirectory,
        links: AggregatorLinks,
        snapshots: SnapshotChooser,
        clock: Callable[[], float],
    ) -> None:
        self._name = name
        self._fleet = fleet
        self._links = links
        self._clock = clock
        self._calls = itertools.count(random.getrandbits(INCARNATION_BITS) << CALL_NUMBER_BITS)
        self._document: Document | None = None
        self._planner: QueryPlanner | None = None
        self._version = 0
        self._canaries = CanaryPolicy(clock)
        self._follow_again_s = 0.0
        self._times = ResponseTimes()
        self._budgets: dict[str, SubQueryRetryBudget] = {}
        self.snapshots = snapshots

    def configure(self, version: int, document: Document) -> None:
        """Put a configuration version in force."""
        self._version = version
        self._document = document
        self._planner = QueryPlanner(document)
        self._follow_again_s = 0.0

    @property
    def ready(self) -> bool:
        """Return whether queries can be answered."""
        return self._document is not None

    async def query(self, service_name: str, request: QueryRequest) -> QueryAnswer | QueryError:
        """Answer one request, whole or with an error of the closed list."""
        request_id = request.request_id or uuid.uuid4().hex
        bind_request_id(request_id)
        query = self._admit(service_name, request, request_id)
        if isinstance(query, Failure):
            return query_error(request_id, query)
        snapshot = self._snapshot(query)
        if isinstance(snapshot, Failure):
            return query_error(request_id, snapshot)
        run = self._plan_run(query, snapshot)
        if request.repeatable and query.cursor is None:
            run.find_replacement = lambda run: self._other_snapshot(query, run)
        await run.run()
        if not (request.repeatable or query.cursor or run.sent) and run.vanished:
            run.replacement = self._other_snapshot(query, run)
        if run.replacement is not None:
            earlier, run = run, self._plan_run(query, run.replacement)
            await run.run()
            run.sent = run.sent or earlier.sent
            run.traces[:0] = earlier.traces
        labels = QueryLabels(query.service.tenant, query.service.query_class)
        observe_traces(labels, run.traces)
        is_answered = run.collector.share > 0
        self._canaries.learn(run.fingerprint, run.traces, self._clock(), is_answered=is_answered)
        return self._finish(query, run)

    def _admit(
        self, service_name: str, request: QueryRequest, request_id: str
    ) -> ValidatedQuery | Failure:
        if self._document is None:
            return Failure(ErrorKind.NOT_READY, "no configuration is confirmed yet")
        service = self._document.services.get(service_name)
        if service is None:
            return Failure(
                ErrorKind.UNKNOWN_SERVICE, f"no service {service_name[:64]!r}", "service"
            )
        query = ValidatedQuery(request_id, service_name, service, request, self._clock())
        if request.cursor:
            cursor = decode_cursor(request.cursor, search_name(service_name, request))
            if isinstance(cursor, Failure):
                return cursor
            query.cursor = cursor
        return query

    def _snapshot(self, query: ValidatedQuery) -> Snapshot | Failure:
        name = query.service.collection
        collection = self._document.collections[name]
        if query.cursor is None:
            self._follow_fleet(query.started_s)
            return self.snapshots.choose(name, collection, self._planner, query.started_s)
        snapshot = collection.snapshot(query.cursor.index_version)
        if snapshot is None:
            reason = f"index version {query.cursor.index_version} is gone; search again without it"
            return Failure(ErrorKind.SNAPSHOT_GONE, reason, "cursor")
        return snapshot

    def _follow_fleet(self, now_s: float) -> None:
        """Take over which aggregators take work, not at each query but soon after a change."""
        if now_s >= self._follow_again_s:
            self._planner.follow(self._fleet.aggregators())
            self._follow_again_s = now_s + AGGREGATOR_REFRESH_S

    def _plan_run(self, query: ValidatedQuery, snapshot: Snapshot) -> QueryRun:
        """Return the run of a query on a snapshot, not yet started."""
        service, request = query.service, query.request
        search = query.search()
        terms = QueryParameters(
            request_id=query.request_id,
            service=query.service_name,
            collection=service.collection,
            query_class=service.query_class,
            tenant=service.tenant,
            search=search,
            repeatable=request.repeatable,
            fingerprint=fingerprint(query.service_name, search),
            configuration_version=self._version,
        )
        self._follow_fleet(self._clock())
        plan = self._planner.plan(service.collection, snapshot)
        context = QueryRunContext(
            self._links,
            self._calls.__next__,
            self._clock,
            self._times,
            self._budget(service.query_class, len(plan.groups)),
        )
        rule = EarlyAnswerRule.from_service(service, query.started_s, query.deadline_s)
        now_s = self._clock()
        canary = self._canaries.canary(service, terms.fingerprint, plan, query.deadline_s, now_s)
        return QueryRun(terms, plan, context, query.deadline_s, rule, canary)

    def _other_snapshot(self, query: ValidatedQuery, run: QueryRun) -> Snapshot | None:
        """Return the snapshot to plan a query on again, if it may be and that promises more."""
        now_s = self._clock()
        name = query.service.collection
        collection = self._document.collections.get(name)
        if collection is None or not query.has_time_again(now_s):
            return None
        tried = (run.snapshot.index_version,)
        other = self.snapshots.choose_other(name, collection, self._planner, tried, now_s)
        if other is None:
            return None
        is_successor = run.dropped and other.index_version > run.snapshot.index_version
        served = self.snapshots.served_share(name, other, self._planner, now_s)
        if served <= run.reachable_share and not is_successor:
            return None
        plan = self._planner.plan(name, other)
        if not self._budget(query.service.query_class, 0).spend(len(plan.groups)):
            return None
        logger.info(
            "request {}: index version {} vanished, planned again on {}",
            query.request_id,
            run.snapshot.index_version,
            other.index_version,
        )
        return other

    def _budget(self, query_class: str, calls: int) -> SubQueryRetryBudget:
        """Return the budget of a class after it earned its share of some calls."""
        budget = self._budgets.get(query_class)
        if budget is None:
            budget = self._budgets[query_class] = SubQueryRetryBudget()
        configured = self._document.classes.get(query_class)
        if calls and configured is not None:
            budget.earn(calls, configured.extra_load_share)
        return budget

    def _finish(self, query: ValidatedQuery, run: QueryRun) -> QueryAnswer | QueryError:
        coverage = run.collector.coverage()
        if not coverage.included or coverage.share < query.service.minimum_coverage:
            return run_error(
                query.request_id, coverage, sent=run.sent, retry_after_s=run.retry_after_s
            )
        merged = run.collector.merge()
        answer = QueryAnswer(
            request_id=query.request_id,
            snapshot=SnapshotName(query.service.collection, run.snapshot.index_version),
            records=merged.records,
            total=merged.total,
            facets=merged.facets,
            coverage=coverage,
            counts_exact=merged.counts_exact,
        )
        if merged.next_after is not None:
            search = search_name(query.service_name, query.request)
            answer.cursor = encode_cursor(
                Cursor(run.snapshot.index_version, merged.next_after, search)
            )
        if query.request.trace:
            took_ms = (self._clock() - query.started_s) * 1000
            answer.trace = Trace(self._name, self._version, took_ms, run.traces)
        return answer


def fingerprint(service: str, search: Search) -> str:
    """Return what identifies a query that is sent again, whoever sends it."""
    return xxhash.xxh3_128_hexdigest(service.encode() + b"\n" + msgspec.json.encode(search))
