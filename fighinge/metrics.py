"""Query metrics by client account and query class."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from prometheus_client import Counter, Histogram

from fighinge.queries import QueryAnswer, QueryError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fighinge.model import Document
    from fighinge.queries import GroupTrace

LABELS = ("tenant", "query_class")
# 92 ms is the target of the 99th percentile.
LATENCY_BUCKETS_S = (
    *(0.002, 0.005, 0.01, 0.02, 0.03, 0.05, 0.07, 0.092, 0.12, 0.2),
    *(0.3, 0.5, 0.7, 1.0, 2.0, 5.0, 10.0, 60.0),
)
COVERAGE_BUCKETS = (0.0, 0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999, 1.0)
# A query at the target size calls 640 backend servers.
ATTEMPT_BUCKETS = (0, 1, 2, 4, 8, 16, 32, 64, 128, 256, 640, 1024)

CALLERS_REFUSED = Counter(
    "fighinge_callers_refused", "Connections of callers that exceeded a limit", ("reason",)
)
LATENCY = Histogram(
    "fighinge_query_latency_seconds",
    "Time from the arrival of a query to its answer or error",
    LABELS,
    buckets=LATENCY_BUCKETS_S,
)
COVERAGE = Histogram(
    "fighinge_query_coverage_share",
    "Share of the shards that an answer includes",
    LABELS,
    buckets=COVERAGE_BUCKETS,
)
ERRORS = Counter("fighinge_query_errors", "Queries that ended in an error", (*LABELS, "kind"))
ATTEMPTS = Histogram(
    "fighinge_query_attempts",
    "Calls to backend servers that a query made",
    LABELS,
    buckets=ATTEMPT_BUCKETS,
)
QUEUE_TIME = Histogram(
    "fighinge_group_queue_seconds",
    "Time that a replica group's share of a query waited for its first call",
    LABELS,
    buckets=LATENCY_BUCKETS_S,
)


class QueryLabels(msgspec.Struct, frozen=True):
    """The metric labels of a query."""

    tenant: str = "unknown"
    query_class: str = "unknown"

    @classmethod
    def from_document(cls, document: Document | None, service_name: str) -> QueryLabels:
        """Return the labels of a service; all unknown services have the same labels."""
        service = document.services.get(service_name) if document is not None else None
        if service is None:
            return cls()
        return cls(service.tenant, service.query_class)


def observe_query(labels: QueryLabels, result: QueryAnswer | QueryError, took_s: float) -> None:
    """Record the latency, coverage and error of a finished query."""
    LATENCY.labels(labels.tenant, labels.query_class).observe(took_s)
    if result.coverage is not None:
        COVERAGE.labels(labels.tenant, labels.query_class).observe(result.coverage.share)
    if isinstance(result, QueryError):
        ERRORS.labels(labels.tenant, labels.query_class, result.kind.value).inc()


def observe_traces(labels: QueryLabels, traces: Iterable[GroupTrace]) -> None:
    """Record the calls of a query and the queueing time of each group until its first call."""
    calls = 0
    queue_time = QUEUE_TIME.labels(labels.tenant, labels.query_class)
    for trace in traces:
        calls += len(trace.attempts)
        if trace.attempts:
            queue_time.observe(trace.attempts[0].started_ms / 1000)
    ATTEMPTS.labels(labels.tenant, labels.query_class).observe(calls)
