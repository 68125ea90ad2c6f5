"""Query processing of an entry: validation, snapshot choice, planning, execution and response."""

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
from fighinge.entry.cursors import Cursor, compute_search_digest, decode_cursor, encode_cursor
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

RESPONSE_MARGIN_S = 0.002  # reserved before the deadline to merge and write the response
AGGREGATOR_REFRESH_S = 0.05
REPLAN_MIN_TIME_FRACTION = 0.25
INCARNATION_BITS = 31  # random, so that a restarted entry does not reuse its call numbers
CALL_NUMBER_BITS = 32


class AggregatorDirectory(Protocol):
    """List the aggregators of the cluster."""

    def aggregators(self) -> list[Candidate]:
        """Return the aggregators that accept new work."""


class ValidatedQuery:
    """A valid request, with its service as configured on arrival."""

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

    def has_time_to_replan(self, now_s: float) -> bool:
        """Return whether enough time is left to replan the query."""
        remaining_s = self.deadline_s - now_s
        return remaining_s >= REPLAN_MIN_TIME_FRACTION * (self.deadline_s - self.started_s)

    def search(self) -> Search:
        """Return the search that is sent to every shard."""
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
    """Answer queries under the active configuration.

    Cancelling the task of a query, as when its caller disconnects, cancels the calls in flight.
    """

    __slots__ = (
        "_aggregators",
        "_call_numbers",
        "_canary_policy",
        "_clock",
        "_document",
        "_links",
        "_name",
        "_next_refresh_s",
        "_planner",
        "_response_times",
        "_retry_budgets",
        "_version",
        "snapshots",
    )

    def __init__(
        self,
        name: str,
        aggregators: AggregatorDirectory,
        links: AggregatorLinks,
        snapshots: SnapshotChooser,
        clock: Callable[[], float],
    ) -> None:
        self._name = name
        self._aggregators = aggregators
        self._links = links
        self._clock = clock
        self._call_numbers = itertools.count(
            random.getrandbits(INCARNATION_BITS) << CALL_NUMBER_BITS
        )
        self._document: Document | None = None
        self._planner: QueryPlanner | None = None
        self._version = 0
        self._canary_policy = CanaryPolicy(clock)
        self._next_refresh_s = 0.0
        self._response_times = ResponseTimes()
        self._retry_budgets: dict[str, SubQueryRetryBudget] = {}
        self.snapshots = snapshots

    def configure(self, version: int, document: Document) -> None:
        """Activate a configuration version."""
        self._version = version
        self._document = document
        self._planner = QueryPlanner(document)
        self._next_refresh_s = 0.0

    @property
    def ready(self) -> bool:
        """Return whether queries can be answered."""
        return self._document is not None

    async def query(self, service_name: str, request: QueryRequest) -> QueryAnswer | QueryError:
        """Answer one request.

        :returns: the answer, or an error of a kind in :class:`~fighinge.errors.ErrorKind`
        """
        request_id = request.request_id or uuid.uuid4().hex
        bind_request_id(request_id)
        query = self._validate(service_name, request, request_id)
        if isinstance(query, Failure):
            return query_error(request_id, query)
        snapshot = self._choose_snapshot(query)
        if isinstance(snapshot, Failure):
            return query_error(request_id, snapshot)
        run = self._plan_run(query, snapshot)
        if request.repeatable and query.cursor is None:
            run.find_replacement_snapshot = lambda run: self._find_replacement_snapshot(query, run)
        await run.run()
        # A non-idempotent request is replanned only if it was sent to no backend server.
        if not (request.repeatable or query.cursor or run.sent) and run.is_unserved:
            run.replacement_snapshot = self._find_replacement_snapshot(query, run)
        if run.replacement_snapshot is not None:
            earlier, run = run, self._plan_run(query, run.replacement_snapshot)
            await run.run()
            run.sent = run.sent or earlier.sent
            run.traces[:0] = earlier.traces
        labels = QueryLabels(query.service.tenant, query.service.query_class)
        observe_traces(labels, run.traces)
        is_answered = run.collector.included_fraction > 0
        self._canary_policy.record_result(
            run.fingerprint, run.traces, self._clock(), is_answered=is_answered
        )
        return self._build_response(query, run)

    def _validate(
        self, service_name: str, request: QueryRequest, request_id: str
    ) -> ValidatedQuery | Failure:
        if self._document is None:
            return Failure(ErrorKind.NOT_READY, "no configuration is known yet")
        service = self._document.services.get(service_name)
        if service is None:
            return Failure(
                ErrorKind.UNKNOWN_SERVICE, f"unknown service {service_name[:64]!r}", "service"
            )
        query = ValidatedQuery(request_id, service_name, service, request, self._clock())
        if request.cursor:
            cursor = decode_cursor(request.cursor, compute_search_digest(service_name, request))
            if isinstance(cursor, Failure):
                return cursor
            query.cursor = cursor
        return query

    def _choose_snapshot(self, query: ValidatedQuery) -> Snapshot | Failure:
        name = query.service.collection
        collection = self._document.collections[name]
        if query.cursor is None:
            self._refresh_aggregators(query.started_s)
            return self.snapshots.choose(name, collection, self._planner, query.started_s)
        snapshot = collection.snapshot(query.cursor.index_version)
        if snapshot is None:
            reason = (
                f"index version {query.cursor.index_version} was deleted; "
                "repeat the search without a cursor"
            )
            return Failure(ErrorKind.SNAPSHOT_GONE, reason, "cursor")
        return snapshot

    def _refresh_aggregators(self, now_s: float) -> None:
        """Refresh the planner's candidates, at most once per ``AGGREGATOR_REFRESH_S``."""
        if now_s >= self._next_refresh_s:
            self._planner.set_candidates(self._aggregators.aggregators())
            self._next_refresh_s = now_s + AGGREGATOR_REFRESH_S

    def _plan_run(self, query: ValidatedQuery, snapshot: Snapshot) -> QueryRun:
        """Create the run of a query on a snapshot, without starting it."""
        service, request = query.service, query.request
        search = query.search()
        parameters = QueryParameters(
            request_id=query.request_id,
            service=query.service_name,
            collection=service.collection,
            query_class=service.query_class,
            tenant=service.tenant,
            search=search,
            is_idempotent=request.repeatable,
            fingerprint=compute_fingerprint(query.service_name, search),
            configuration_version=self._version,
        )
        self._refresh_aggregators(self._clock())
        plan = self._planner.plan(service.collection, snapshot)
        context = QueryRunContext(
            self._links,
            self._call_numbers.__next__,
            self._clock,
            self._response_times,
            self._retry_budget_for(service.query_class, len(plan.groups)),
        )
        rule = EarlyAnswerRule.from_service(service, query.started_s, query.deadline_s)
        now_s = self._clock()
        canary = self._canary_policy.create_run(
            service, parameters.fingerprint, plan, query.deadline_s, now_s
        )
        return QueryRun(parameters, plan, context, query.deadline_s, rule, canary)

    def _find_replacement_snapshot(self, query: ValidatedQuery, run: QueryRun) -> Snapshot | None:
        """Return a snapshot to replan a query on.

        :returns: ``None`` if no other snapshot has more shards served or succeeds a deleted one, or
            if the time or the retry budget is too low
        """
        now_s = self._clock()
        name = query.service.collection
        collection = self._document.collections.get(name)
        if collection is None or not query.has_time_to_replan(now_s):
            return None
        tried = (run.snapshot.index_version,)
        other = self.snapshots.choose_other(name, collection, self._planner, tried, now_s)
        if other is None:
            return None
        is_successor = run.is_snapshot_deleted and other.index_version > run.snapshot.index_version
        served = self.snapshots.served_fraction(name, other, self._planner, now_s)
        if served <= run.servable_fraction and not is_successor:
            return None
        plan = self._planner.plan(name, other)
        if not self._retry_budget_for(query.service.query_class, 0).spend(len(plan.groups)):
            return None
        logger.info(
            "request {}: index version {} is no longer served; replanned on version {}",
            query.request_id,
            run.snapshot.index_version,
            other.index_version,
        )
        return other

    def _retry_budget_for(self, query_class: str, group_count: int) -> SubQueryRetryBudget:
        """Return the retry budget of a query class after adding to it for new groups.

        :param group_count: number of groups of a new query, 0 to add nothing
        """
        budget = self._retry_budgets.get(query_class)
        if budget is None:
            budget = self._retry_budgets[query_class] = SubQueryRetryBudget()
        configured = self._document.classes.get(query_class)
        if group_count and configured is not None:
            budget.earn(group_count, configured.extra_load_share)
        return budget

    def _build_response(self, query: ValidatedQuery, run: QueryRun) -> QueryAnswer | QueryError:
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
            search_digest = compute_search_digest(query.service_name, query.request)
            answer.cursor = encode_cursor(
                Cursor(run.snapshot.index_version, merged.next_after, search_digest)
            )
        if query.request.trace:
            took_ms = (self._clock() - query.started_s) * 1000
            answer.trace = Trace(self._name, self._version, took_ms, run.traces)
        return answer


def compute_fingerprint(service: str, search: Search) -> str:
    """Return a fingerprint that is equal for all resends of a query by any caller."""
    return xxhash.xxh3_128_hexdigest(service.encode() + b"\n" + msgspec.json.encode(search))
