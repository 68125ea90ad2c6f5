"""What a router is told: routes, services, limits and the entries of backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from fighinge.aggregator.base import Address

if TYPE_CHECKING:
    from collections.abc import Iterable


class Target(msgspec.Struct, frozen=True):
    """A service that a route sends requests to, with its weight among the route's targets."""

    service: str
    weight: float = 1.0


class Gather(msgspec.Struct, frozen=True):
    """How a route asks all shards; each shard is a service of its own."""

    shards: tuple[str, ...]
    top_records: int
    min_coverage: float


class Route(msgspec.Struct, frozen=True):
    """Where requests of a caller's host and path prefix go.

    ``targets`` is empty where ``gather`` is set. ``max_attempts`` bounds the backend servers
    that one request is sent to, for each shard separately.
    """

    name: str
    host: str
    prefix: str
    repeatable: bool
    timeout_s: float
    latency_target_s: float
    priority: int
    max_attempts: int
    targets: tuple[Target, ...] = ()
    gather: Gather | None = None


class Service(msgspec.Struct, frozen=True):
    """What all backend servers of a service have in common.

    ``max_connections`` holds for all callers of one backend server together.
    """

    name: str
    health_path: str
    max_connections: int
    cold_start_s: float
    cold_requests_per_s: float


class CallerLimits(msgspec.Struct, frozen=True):
    """What a caller may send, and how long it may take or stay idle."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


class RoutingTable(msgspec.Struct, frozen=True):
    """One version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits


class RouteIndex:
    """Finds the route of a request: the longest prefix among those of its host."""

    __slots__ = ("_by_host",)

    def __init__(self, routes: Iterable[Route]) -> None:
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a host and path, both as the caller sent them."""
        prefixes = self._by_host.get(host)
        if prefixes is None:
            return None
        end = len(path)
        while (slash := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: slash + 1])
            if route is not None:
                return route
            end = slash
        return None


class BackendEntry(msgspec.Struct, frozen=True):
    """What a backend server says of itself in the directory.

    ``started_ms`` is the time of its start as it tells it; with ``instance_id`` it names one
    run of the process. It is compared for equality only.
    """

    instance_id: str
    service: str
    address: Address
    zone: str
    slots: int
    is_draining: bool = False
    cold_left_s: float = 0.0
    started_ms: int = 0

    @property
    def run_name(self) -> str:
        """Return a name of this run of the process."""
        return f"{self.instance_id}@{self.started_ms}"
