"""The backend servers of each service, and load balancing among them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fighinge.router.backend import Backend
from fighinge.router.cold_limit import cold_quota
from fighinge.router.load_policy import LoadPolicy
from fighinge.router.rate_share import RouterShare
from fighinge.router.retry_budget import RetryBudget, RetryBudgetLimits
from fighinge.router.scarce_shards import ScarceShards
from fighinge.router.urgency import Urgency

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection, Iterable

    from fighinge.aggregator.base import Address
    from fighinge.router.addresses import RouterAddress
    from fighinge.router.cold_limit import ColdLimits
    from fighinge.router.model import BackendRecord
    from fighinge.router.view import View

CONNECTION_FRACTION = 0.85  # the rest is for routers that have just left or are not yet known
DEFAULT_MAX_CONNECTIONS = 8  # for services that the configuration does not describe
INTER_ZONE_RTT_S = 0.003  # to another data centre of the region
COST_JITTER_RATIO = 0.06  # spreads calls over equal servers; too small to prefer a worse one
MAX_UNLISTED = 1000  # about a megabyte
MAX_ADDRESSES = 10_000  # about a megabyte
INTER_ZONE_COST_FACTOR = 0.5  # inter-zone traffic is billed; worth half a typical latency
RELIABLE_FAILURE_RATE = 0.1  # reached about two seconds after a single failure
INTER_ZONE_PATIENCE_RATIO = 0.3  # answers are worth the same until the soft deadline


class Service:
    """One service's backend servers, its retry budget and the urgency of its requests."""

    __slots__ = ("backends", "name", "retry_budget", "urgency")

    def __init__(self, name: str, budget_limits: RetryBudgetLimits) -> None:
        self.name = name
        self.backends: list[Backend] = []
        self.retry_budget = RetryBudget(budget_limits)
        self.urgency = Urgency()


class BackendPool:
    """Backend servers of the view; their statistics survive changes of their records.

    Servers that the view no longer lists are remembered for a while: one that is listed again is
    the same process, and what it has said of itself still holds.
    """

    __slots__ = (
        "_backends",
        "_budget_limits",
        "_cold_limits",
        "_own_address",
        "_random",
        "_replaced_listeners",
        "_run_at",
        "_services",
        "_share",
        "_troubled",
        "_unlisted",
        "_view",
        "_zone",
        "doubtful",
        "is_excluded",
        "load_policy",
        "scarce_shards",
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
        self.load_policy = LoadPolicy(view.log)
        self.scarce_shards = ScarceShards()
        self._own_address = own_address.host
        self._zone = own_address.zone
        self._budget_limits = budget_limits
        self._cold_limits = cold_limits
        self._share = RouterShare(own_address.host)
        self._random = random_source
        self._services: dict[str, Service] = {}
        self._backends: dict[tuple[str, int], Backend] = {}
        self._unlisted: dict[tuple[str, int], Backend] = {}
        self._troubled: set[Backend] = set()
        self.doubtful: set[Backend] = set()  # set by the exchange of reports, like the next one
        self.is_excluded: Callable[[Backend, float], bool] = _is_never_excluded
        self._run_at: dict[Address, BackendRecord] = {}
        self._replaced_listeners: list[Callable[[str, float], object]] = []
        view.add_listener(self.refresh)

    def listen_replaced(self, listener: Callable[[str, float], object]) -> None:
        """Call a listener with each run of a server that another one has replaced, and the time."""
        self._replaced_listeners.append(listener)

    @property
    def limit_share(self) -> float:
        """Return this router's share of the limits of all routers together."""
        return self._share.fraction

    def set_limit_share(
        self,
        limit_share: float,
        routers: frozenset[str],
        now_s: float,
        rate_fraction: float | None = None,
    ) -> None:
        """Set this router's share of the limits of all routers together.

        :param limit_share: a number between 0 and 1
        :param routers: addresses of all routers, including those lost recently
        :param now_s: time on the monotonic clock, in seconds
        :param rate_fraction: share of the rates that servers name, if it differs
        """
        self._share.rate_fraction = limit_share if rate_fraction is None else rate_fraction
        if (limit_share, routers) != (self._share.fraction, self._share.routers):
            self._share.fraction, self._share.routers = limit_share, routers
            self.refresh(now_s)

    def set_budget_limits(self, budget_limits: RetryBudgetLimits) -> None:
        """Set the limits of the retries and hedges of all routers together."""
        self._budget_limits = budget_limits
        for service in self._services.values():
            service.retry_budget.set_limits(budget_limits)

    def service(self, name: str) -> Service:
        """Return a service, which has no backend servers if none is listed."""
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = Service(name, self._budget_limits)
        return service

    def services(self) -> Collection[Service]:
        """Return the services that are known or were asked for."""
        return self._services.values()

    def pop_troubled(self) -> set[Backend]:
        """Return the servers of which calls were slow or failed since the last time."""
        troubled = self._troubled.copy()
        self._troubled.clear()
        return troubled

    def find_run(self, instance_id: str, started_ms: int) -> Backend | None:
        """Return a listed run of a server."""
        return self._backends.get((instance_id, started_ms))

    def is_listed(self, backend: Backend) -> bool:
        """Return whether a run of a server is listed."""
        record = backend.record
        return self.find_run(record.instance_id, record.started_ms) is backend

    def record_leaving(self, run_names: Collection[str]) -> None:
        """Record that runs of servers have said, in answers to a peer, that they leave."""
        if run_names:
            for backend in self._backends.values():
                if backend.record.run_name in run_names:
                    backend.record_leaving()

    def forget_unreachable(self) -> None:
        """Forget which servers this router could not reach, as that was due to its own links."""
        for backend in self._backends.values():
            backend.forget_unreachable()

    def refresh(self, now_s: float) -> None:
        """Rebuild the lists of backend servers from the view."""
        self.load_policy.update(self._view.table)
        current: dict[tuple[str, int], Backend] = {}
        known = {backend.record.instance_id: backend for backend in self._backends.values()}
        for service in self._services.values():
            service.backends = []
        for record in self._view.backends.values():
            identity = (record.instance_id, record.started_ms)
            backend = self._backends.get(identity)
            if backend is None:
                backend = self._find_or_add(record, known.get(record.instance_id), now_s)
            if backend.record is not record:
                backend.update(record, now_s)
            backend.connection_quota = self._connection_quota(record.service)
            backend.cold_quota = self._cold_quota(record)
            current[identity] = backend
            if record.zone not in self._view.evacuated_zones:
                self.service(record.service).backends.append(backend)
        for identity, backend in self._backends.items():
            if identity not in current:
                self._unlisted[identity] = backend
        while len(self._unlisted) > MAX_UNLISTED:
            del self._unlisted[next(iter(self._unlisted))]
        self._backends = current

    def _find_or_add(
        self, record: BackendRecord, previous: Backend | None, now_s: float
    ) -> Backend:
        """Return the run of a server that a record newly lists, with what the server has said.

        :param previous: the run of the same server that was listed until now, if any
        """
        backend = self._unlisted.pop((record.instance_id, record.started_ms), None)
        is_known = backend is not None
        if backend is None:
            backend = Backend(record, self._view.log, self._share, now_s)
            backend.troubled = self._troubled
            self._record_run(record, now_s)
        if previous is not None:
            if is_known or record.started_ms < previous.record.started_ms:
                backend.adopt_restored(previous, now_s)
            else:
                backend.adopt_statements(previous)
        return backend

    def _record_run(self, record: BackendRecord, now_s: float) -> None:
        """Record which run has an address; the one that had it before has ended."""
        previous = self._run_at.pop(record.address, None)
        self._run_at[record.address] = record
        if len(self._run_at) > MAX_ADDRESSES:
            del self._run_at[next(iter(self._run_at))]
        if previous is not None and previous.run_name != record.run_name:
            for listener in self._replaced_listeners:
                listener(previous.run_name, now_s)

    def choose(
        self,
        candidates: Iterable[Backend],
        typical_s: float,
        now_s: float,
        failure_cost_factor: float = 0.0,
        *,
        patience_s: float = 0.0,
        is_urgent: bool = True,
    ) -> Backend | None:
        """Return the usable backend server with the lowest expected cost, or ``None``.

        :param candidates: backend servers of a service
        :param typical_s: typical latency of the call, in seconds
        :param failure_cost_factor: cost of a failed call, in multiples of the typical latency
        :param patience_s: time until the soft deadline, in seconds
        :param is_urgent: whether no more urgent requests want what a limit has left
        """
        usable = [
            backend for backend in candidates if backend.is_usable(now_s, is_urgent=is_urgent)
        ]
        if self.doubtful:
            usable = [
                backend
                for backend in usable
                if backend not in self.doubtful or not self.is_excluded(backend, now_s)
            ] or usable
        if not any(self._is_near_and_reliable(backend, now_s) for backend in usable):
            patience_s = 0.0
        best, best_cost_s = None, float("inf")
        for backend in usable:
            cost_s = self.cost_s(backend, typical_s, now_s, failure_cost_factor, patience_s) * (
                1.0 + COST_JITTER_RATIO * self._random.random()
            )
            if cost_s < best_cost_s:
                best, best_cost_s = backend, cost_s
        return best

    def _is_near_and_reliable(self, backend: Backend, now_s: float) -> bool:
        if backend.record.zone != self._zone:
            return False
        return backend.failure_rate(now_s) <= RELIABLE_FAILURE_RATE

    def expected_s(self, service: Service, typical_s: float, now_s: float) -> float | None:
        """Return the lowest expected latency of one more call, ``None`` if no server is usable."""
        return min(
            (
                backend.expected_s(typical_s, now_s)
                for backend in service.backends
                if backend.is_usable(now_s)
            ),
            default=None,
        )

    def answers_within(
        self, service: Service, patience_s: float, typical_s: float, now_s: float
    ) -> bool:
        """Return whether a usable server is expected to answer one more call in time."""
        return any(
            backend.is_usable(now_s) and backend.expected_s(typical_s, now_s) <= patience_s
            for backend in service.backends
        )

    def count_usable(self, service: Service, now_s: float) -> int:
        """Return the number of servers that take one more call."""
        return sum(backend.is_usable(now_s) for backend in service.backends)

    def wait_s(self, service: Service, now_s: float, *, is_urgent: bool = True) -> float | None:
        """Return the time until a server takes a further call, as far as the servers have told.

        :returns: seconds, 0 if a server takes calls now, ``None`` if the time is unknown
        """
        if any(backend.takes_calls(now_s, is_urgent=is_urgent) for backend in service.backends):
            return 0.0
        waits_s = (backend.wait_s(now_s) for backend in service.backends)
        return min((wait_s for wait_s in waits_s if wait_s is not None), default=None)

    def promise_return(self, service: Service, now_s: float) -> None:
        """Record that a caller was told to return after :meth:`wait_s`, if it has to wait."""
        if not self.wait_s(service, now_s):
            return
        known = [
            (wait_s, index)
            for index, backend in enumerate(service.backends)
            if (wait_s := backend.wait_s(now_s)) is not None
        ]
        if known:
            service.backends[min(known)[1]].limit.promise(now_s)

    def cost_s(
        self,
        backend: Backend,
        typical_s: float,
        now_s: float,
        failure_cost_factor: float = 0.0,
        patience_s: float = 0.0,
    ) -> float:
        """Return the expected latency plus the cost of a failure and of inter-zone traffic.

        A server of another data centre is worth its traffic only if it saves a large part of the
        time that is left, since an answer is worth the same until the soft deadline.
        """
        cost_s = backend.expected_s(typical_s, now_s)
        cost_s += failure_cost_factor * typical_s * backend.failure_rate(now_s)
        if backend.record.zone != self._zone:
            cost_s += INTER_ZONE_RTT_S
            cost_s += max(
                INTER_ZONE_COST_FACTOR * typical_s, INTER_ZONE_PATIENCE_RATIO * patience_s
            )
        return cost_s

    def _cold_quota(self, record: BackendRecord) -> int | None:
        """Return this router's quota of requests per second to a cold server, if limited."""
        table = self._view.table
        service = table.services.get(record.service) if table else None
        if service is None or service.cold_requests_per_s <= 0:
            return None
        return cold_quota(
            service.cold_requests_per_s,
            self._cold_limits,
            self._share.routers,
            self._own_address,
            record.instance_id,
        )

    def _connection_quota(self, service_name: str) -> int:
        """Return the maximum number of this router's connections to one backend server."""
        table = self._view.table
        service = table.services.get(service_name) if table else None
        max_connections = service.max_connections if service else DEFAULT_MAX_CONNECTIONS
        return max(1, int(CONNECTION_FRACTION * max_connections * self.limit_share))


def _is_never_excluded(_backend: Backend, _now_s: float) -> bool:
    return False
