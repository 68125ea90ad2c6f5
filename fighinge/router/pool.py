"""The backend servers that a router may use, by service, and the choice among them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fighinge.router.backend import Backend
from fighinge.router.cold_limit import cold_quota
from fighinge.router.retry_budget import RetryBudget, RetryBudgetLimits

if TYPE_CHECKING:
    import random
    from collections.abc import Collection

    from fighinge.router.addresses import RouterAddress
    from fighinge.router.cold_limit import ColdLimits
    from fighinge.router.model import BackendEntry
    from fighinge.router.view import View

CONNECTION_FRACTION = 0.85  # connections of hosts that are just gone or not yet known
DEFAULT_MAX_CONNECTIONS = 8  # a service that the configuration does not describe
INTER_ZONE_RTT_S = 0.003  # the way to another data centre of the region and back
COST_JITTER = 0.06  # equal backend servers share the calls; a worse one does not become better
INTER_ZONE_COST_FACTOR = (
    0.5  # bytes between data centres are paid for: leave one's own for half a call's time
)


class Service:
    """One service's backend servers and its budget of extra calls."""

    __slots__ = ("backends", "name", "retry_budget")

    def __init__(self, name: str, budget_limits: RetryBudgetLimits) -> None:
        self.name = name
        self.backends: list[Backend] = []
        self.retry_budget = RetryBudget(budget_limits)


class BackendPool:
    """Follows the view; condition outlives changes of a backend server's entry."""

    __slots__ = (
        "_backends",
        "_budget_limits",
        "_cold_limits",
        "_limit_share",
        "_own_address",
        "_random",
        "_routers",
        "_services",
        "_view",
        "_zone",
    )

    def __init__(
        self,
        view: View,
        own_address: RouterAddress,
        budget_limits: RetryBudgetLimits,
        cold_limits: ColdLimits,
        random_source: random.Random,
    ) -> None:
        self._view = view
        self._own_address = own_address.host
        self._zone = own_address.zone
        self._budget_limits = budget_limits
        self._cold_limits = cold_limits
        self._routers = frozenset({own_address.host})
        self._random = random_source
        self._services: dict[str, Service] = {}
        self._backends: dict[tuple[str, int], Backend] = {}
        self._limit_share = 1.0
        view.listen(self.refresh)

    @property
    def limit_share(self) -> float:
        """Return this router's limit_share of what all routers together may do."""
        return self._limit_share

    def set_limit_share(self, limit_share: float, routers: frozenset[str], now_s: float) -> None:
        """Take this router's limit_share of what all routers together may do.

        :param routers: the addresses of all routers, those lately lost among them
        """
        if (limit_share, routers) != (self._limit_share, self._routers):
            self._limit_share, self._routers = limit_share, routers
            self.refresh(now_s)

    def set_budget_limits(self, budget_limits: RetryBudgetLimits) -> None:
        """Take what all routers together may send beyond the first calls."""
        self._budget_limits = budget_limits
        for service in self._services.values():
            service.retry_budget.set_limits(budget_limits)

    def service(self, name: str) -> Service:
        """Return a service, without backend servers where none is listed."""
        known = self._services.get(name)
        if known is None:
            known = self._services[name] = Service(name, self._budget_limits)
        return known

    def refresh(self, now_s: float) -> None:
        """Take what the view holds now."""
        current: dict[tuple[str, int], Backend] = {}
        for service in self._services.values():
            service.backends = []
        for entry in self._view.backends.values():
            identity = (entry.instance_id, entry.started_ms)
            backend = self._backends.get(identity)
            if backend is None:
                backend = Backend(entry, self._view.log, now_s)
            elif backend.entry is not entry:
                backend.update(entry, now_s)
            backend.connection_quota = self._quota(entry.service)
            backend.cold_quota = self._cold_quota(entry)
            current[identity] = backend
            if entry.zone not in self._view.zones_out:
                self.service(entry.service).backends.append(backend)
        self._backends = current

    def choose(
        self,
        service: Service,
        typical_s: float,
        tried: Collection[Backend],
        now_s: float,
        failure_cost: float = 0.0,
    ) -> Backend | None:
        """Return the backend server with the least expected cost, or none that may be used.

        :param failure_cost: what a call that fails costs beyond its time, in usual calls' times
        """
        best, best_cost_s = None, float("inf")
        for backend in service.backends:
            if backend in tried or not backend.is_usable(now_s):
                continue
            cost_s = self.cost_s(backend, typical_s, now_s, failure_cost) * (
                1.0 + COST_JITTER * self._random.random()
            )
            if cost_s < best_cost_s:
                best, best_cost_s = backend, cost_s
        return best

    def expected_s(self, service: Service, typical_s: float, now_s: float) -> float | None:
        """Return how soon a service may answer one more call, none where nobody may be called."""
        return min(
            (
                backend.expected_s(typical_s, now_s)
                for backend in service.backends
                if backend.is_usable(now_s)
            ),
            default=None,
        )

    def cost_s(
        self, backend: Backend, typical_s: float, now_s: float, failure_cost: float = 0.0
    ) -> float:
        """Return a call's expected time, with what a failure and leaving the data centre cost."""
        cost_s = backend.expected_s(typical_s, now_s)
        cost_s += failure_cost * typical_s * backend.failure_rate(now_s)
        if backend.entry.zone != self._zone:
            cost_s += INTER_ZONE_RTT_S + INTER_ZONE_COST_FACTOR * typical_s
        return cost_s

    def _cold_quota(self, entry: BackendEntry) -> int | None:
        """Return this router's requests a second while a server is cold, none for any number."""
        table = self._view.table
        service = table.services.get(entry.service) if table else None
        if service is None or service.cold_requests_per_s <= 0:
            return None
        return cold_quota(
            service.cold_requests_per_s,
            self._cold_limits,
            self._routers,
            self._own_address,
            entry.instance_id,
        )

    def _quota(self, service_name: str) -> int:
        """Return the connections of one router to a backend server of a service."""
        table = self._view.table
        service = table.services.get(service_name) if table else None
        max_connections = service.max_connections if service else DEFAULT_MAX_CONNECTIONS
        return max(1, int(CONNECTION_FRACTION * max_connections * self._limit_share))
