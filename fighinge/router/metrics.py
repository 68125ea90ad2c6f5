"""Prometheus metrics of a router."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from prometheus_client import Counter, Gauge, Histogram

from fighinge.metrics import LATENCY_BUCKETS_S

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fighinge.router.model import ClientAccount

LATENCY = Histogram(
    "fighinge_request_latency_seconds",
    "Time from the arrival of a request to its answer",
    ("route",),
    buckets=LATENCY_BUCKETS_S,
)
OUTCOMES = Counter("fighinge_requests", "Requests by outcome", ("route", "outcome"))
ROUTERS = Gauge("fighinge_routers", "Routers that take work")
STATEMENTS = Counter(
    "fighinge_backend_statements",
    "Statements of backend servers that change what is sent",
    ("kind",),
)
CRASH_EVIDENCE = Counter(
    "fighinge_crash_evidence", "Evidence of requests that crash backend servers", ("evidence",)
)
LIMITED_CALLS = Counter(
    "fighinge_limited_calls", "Calls to backend servers that name a limit of their rate", ("kind",)
)
UNSENT_HEDGES = Counter(
    "fighinge_hedges_not_sent",
    "Hedges that were due and not sent, each reason once for a request and service",
    ("reason",),
)
SERVER_REPORTS = Counter(
    "fighinge_server_reports",
    "Reports of backend servers between routers, and probes of servers in doubt",
    ("kind",),
)
SLOW_CONNECTIONS = Counter(
    "fighinge_slow_connections",
    "Calls that were slow to connect and for which another server was tried",
)
UNREADABLE_LOADS = Counter(
    "fighinge_unreadable_loads", "Statements of backend servers' load that cannot be read"
)
SHARD_DECISIONS = Counter(
    "fighinge_shard_decisions",
    "Shards that queries left out or probed, and queries refused, since shards lack capacity",
    ("kind",),
)
CUT_OFF = Gauge("fighinge_cut_off", "Whether this router reaches no backend server")
VERSION = Gauge("fighinge_configuration_version", "Configuration version in force")
STORE_ERA = Gauge("fighinge_store_era", "How often the store has come back from an older copy")
VIEW_AGE = Gauge(
    "fighinge_view_age_seconds",
    "Time since the source of a topic, or the peer followed instead, last answered",
    ("topic",),
)
QUOTA_REQUESTS = Counter(
    "fighinge_quota_requests", "Requests of accounts with a quota", ("account", "outcome")
)
QUOTA_TIMEOUTS = Counter(
    "fighinge_quota_owner_timeouts", "Requests for quota grants that the owner has not answered"
)
MAX_ACCOUNT_LABELS = 50  # bounds the label cardinality; there may be thousands of accounts
MAX_ROUTE_LABELS = 64  # bounds the label cardinality; there may be hundreds of routes

_routes: set[str] = set()


def observe_request(route: str, outcome: str, took_s: float) -> None:
    """Record a completed request; routes beyond MAX_ROUTE_LABELS use the label ``other``."""
    if route not in _routes:
        if len(_routes) >= MAX_ROUTE_LABELS:
            route = "other"
        _routes.add(route)
    LATENCY.labels(route).observe(took_s)
    OUTCOMES.labels(route, outcome).inc()


def observe_statement(kind: str) -> None:
    """Count a statement of a backend server about itself, by its kind."""
    STATEMENTS.labels(kind).inc()


class QuotaMetrics:
    """Counts requests by account; only the accounts with the largest quotas have own labels.

    An account that once had a label keeps it, so that a label never counts less than before.
    """

    __slots__ = ("_labels",)

    def __init__(self) -> None:
        self._labels: set[str] = set()

    def set_accounts(self, accounts: Iterable[ClientAccount]) -> None:
        """Give labels that are left to the accounts with the largest quotas."""
        largest = heapq.nlargest(
            MAX_ACCOUNT_LABELS, accounts, key=lambda account: account.rate_per_s
        )
        for account in largest:
            if len(self._labels) < MAX_ACCOUNT_LABELS:
                self._labels.add(account.name)

    def observe(self, account: str, *, is_admitted: bool) -> None:
        """Count a request."""
        label = account if account in self._labels else "other"
        QUOTA_REQUESTS.labels(label, "admitted" if is_admitted else "refused").inc()


def observe_shard_decisions(left_out: int, probed: int, *, is_refused: bool) -> None:
    """Count the shards that a query leaves out or probes, or that it is refused."""
    for kind, count in (("left out", left_out), ("probed", probed), ("refused", is_refused)):
        if count:
            SHARD_DECISIONS.labels(kind).inc(count)
