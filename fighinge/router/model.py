"""Routing configuration: routes, services, limits and records of backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from fighinge.aggregator.base import Address

if TYPE_CHECKING:
    from collections.abc import Iterable


class Target(msgspec.Struct, frozen=True):
    """A service that a route sends requests to, with its weight for the traffic split."""

    service: str
    weight: float = 1.0


class Gather(msgspec.Struct, frozen=True):
    """Scatter-gather over all shards of a route; each shard is a separate service."""

    shards: tuple[str, ...]
    top_records: int
    min_coverage: float


class Route(msgspec.Struct, frozen=True):
    """Where requests with a host and a path prefix are sent.

    ``targets`` is empty if ``gather`` is set. ``max_attempts`` limits the number of backend servers
    that one request is sent to, separately for each shard. Requests on a public route need no key.
    """

    name: str
    host: str
    prefix: str
    is_idempotent: bool = msgspec.field(name="repeatable")
    timeout_s: float
    latency_target_s: float
    priority: int
    max_attempts: int
    targets: tuple[Target, ...] = ()
    gather: Gather | None = None
    is_public: bool = False

    def service_names(self) -> frozenset[str]:
        """Return the services that requests may be sent to."""
        if self.gather is not None:
            return frozenset(self.gather.shards)
        return frozenset(target.service for target in self.targets)


class ServiceConfig(msgspec.Struct, frozen=True):
    """Settings shared by all backend servers of a service.

    ``max_connections`` limits the connections to one backend server, summed over all its clients.
    """

    name: str
    health_path: str
    max_connections: int
    cold_start_s: float
    cold_requests_per_s: float


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits on the size and the duration of a caller's requests and on idle connections."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


class ClientAccount(msgspec.Struct, frozen=True):
    """A client account, whose keys callers present.

    ``key_digests`` identify its keys without disclosing them. ``priority`` is the rank of its
    requests, 0 the highest, in place of the route's if it is set. ``rate_per_s`` and ``burst`` are
    its quota over all routers; a rate of 0 is no limit.
    """

    name: str
    key_digests: tuple[bytes, ...] = ()
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


class RoutingTable(msgspec.Struct, frozen=True):
    """A version of the configuration.

    ``accounts`` is ``None`` in a table from a peer of a build without client accounts, which does
    not tell whether there are any.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceConfig]
    limits: CallerLimits
    accounts: tuple[ClientAccount, ...] | None = None


class RouteIndex:
    """Finds the route of a request by its host and the longest matching path prefix."""

    __slots__ = ("_by_host",)

    def __init__(self, routes: Iterable[Route]) -> None:
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a host and path, both exactly as received from the caller."""
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


class BackendRecord(msgspec.Struct, frozen=True):
    """The record that a backend server publishes of itself.

    ``started_ms`` is the start time in milliseconds by the server's own clock, so it is only
    compared for equality. Together with ``instance_id`` it identifies one run of the process.
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
        """Return an identifier of this run of the process."""
        return f"{self.instance_id}@{self.started_ms}"
