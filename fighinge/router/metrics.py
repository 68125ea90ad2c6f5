"""Prometheus metrics of a router."""

from __future__ import annotations

from prometheus_client import Counter, Gauge, Histogram

from fighinge.metrics import LATENCY_BUCKETS_S

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
CUT_OFF = Gauge("fighinge_cut_off", "Whether this router reaches no backend server")
VERSION = Gauge("fighinge_configuration_version", "Configuration version in force")
STORE_ERA = Gauge("fighinge_store_era", "How often the store has come back from an older copy")
VIEW_AGE = Gauge(
    "fighinge_view_age_seconds",
    "Time since the source of a topic, or the peer followed instead, last answered",
    ("topic",),
)
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
