"""Prometheus histograms of the aggregator, by query class and client account."""

from __future__ import annotations

from prometheus_client import Histogram

LATENCY_BUCKETS_S = (
    0.0005, 0.001, 0.002, 0.003, 0.005, 0.0075, 0.01, 0.015, 0.02, 0.03, 0.05, 0.075,
    0.1, 0.15, 0.2, 0.3, 0.5, 0.75, 1.0, 2.0, 5.0,
)  # fmt: skip
LABELS = ("query_class", "tenant")

QUEUE_TIME_S = Histogram(
    "fighinge_queue_time_seconds",
    "Time that a call waited for a slot of a backend server.",
    LABELS,
    buckets=LATENCY_BUCKETS_S,
)
CALL_LATENCY_S = Histogram(
    "fighinge_call_latency_seconds",
    "Time that a call to a backend server took.",
    LABELS,
    buckets=LATENCY_BUCKETS_S,
)
ATTEMPTS = Histogram(
    "fighinge_attempts",
    "Calls to backend servers that a replica group's share of a query took.",
    LABELS,
    buckets=(0, 1, 2, 3, 4, 8),
)


class CallMetrics:
    """The histograms of one query class and client account, with cached label lookups."""

    __slots__ = ("attempts", "call_latency_s", "queue_time_s")

    _known: dict[tuple[str, str], CallMetrics] = {}

    def __init__(self, query_class: str, tenant: str) -> None:
        self.queue_time_s = QUEUE_TIME_S.labels(query_class, tenant)
        self.call_latency_s = CALL_LATENCY_S.labels(query_class, tenant)
        self.attempts = ATTEMPTS.labels(query_class, tenant)

    @classmethod
    def of(cls, query_class: str, tenant: str) -> CallMetrics:
        """Return the histograms of a query class and client account."""
        known = cls._known.get((query_class, tenant))
        if known is None:
            known = cls._known[query_class, tenant] = cls(query_class, tenant)
        return known
