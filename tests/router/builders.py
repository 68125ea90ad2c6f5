"""Builders of routing tables, requests and responses, and scripted backend servers."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable

from fighinge.aggregator.base import Address, CallFailure, CallFault
from fighinge.errors import Failure
from fighinge.facts import FactBoard
from fighinge.platform.headers import PlatformCodec
from fighinge.router.accounts import key_digest
from fighinge.router.addresses import RouterAddress
from fighinge.router.backend_calls import CONNECT_TIMEOUT_S
from fighinge.router.call_runner import CallRunner
from fighinge.router.changes import BackendListed, TablePublished
from fighinge.router.cold_limit import ColdLimits
from fighinge.router.crash_check import CrashCheck
from fighinge.router.crash_suspects import CrashSuspects
from fighinge.router.exchange import (
    Answer,
    BackendRequest,
    CallerRequest,
    InterruptedResponse,
    RawResponse,
)
from fighinge.router.handover import Handover
from fighinge.router.model import (
    BackendRecord,
    CallerLimits,
    ClientAccount,
    Gather,
    Route,
    RoutingTable,
    ServiceConfig,
    Target,
)
from fighinge.router.pool import BackendPool
from fighinge.router.quota_gate import QuotaGate
from fighinge.router.reachability import Reachability
from fighinge.router.retry_budget import RetryBudgetLimits
from fighinge.router.service import RouterService
from fighinge.router.settings import RouterSettings
from fighinge.router.typical_latency import TypicalLatencies
from fighinge.router.view import Topic, View

TYPICAL_S = 0.02
COLD_LIMITS = ColdLimits(factor=1.5, slack=5.0)
HOST = "search.example"


def router_settings(
    address: str, *, zone: str = "z1", capacity_cores: float = 1.0
) -> RouterSettings:
    """Return the settings of a router without callers, seeds and a platform."""
    return RouterSettings(
        name=f"front-{address}",
        address=address,
        zone=zone,
        region="r",
        region_by_zone={},
        caller_port=1,
        readiness_port=2,
        address_port=3,
        control_port=4,
        gossip_port=5,
        seeds=(),
        platform_address="",
        stop_timeout_s=6.0,
        retry_budget_ratio=0.2,
        retry_budget_window_s=10.0,
        retry_budget_slack=56.0,
        cold_rate_factor=1.0,
        cold_rate_slack=0.0,
        max_address_ttl_s=5.0,
        capacity_cores=capacity_cores,
        is_first_start=True,
    )


class MemoryLog:
    """A decision log that stores its lines in memory."""

    def __init__(self) -> None:
        self.lines: list[dict] = []

    def write(self, event: str, **fields: object) -> None:
        """Store a line."""
        self.lines.append({"event": event, **fields})

    def events(self) -> list[str]:
        """Return the events in the order of their lines."""
        return [line["event"] for line in self.lines]


def route(name: str = "single", **changes) -> Route:
    """Return a route to one service, with fields overridden by ``changes``."""
    fields = {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "is_idempotent": True,
        "timeout_s": 2.0,
        "latency_target_s": 0.3,
        "priority": 1,
        "max_attempts": 2,
        "targets": (Target("s0"),),
    } | changes
    return Route(**fields)


def gather_route(shards: int = 4, min_coverage: float = 0.75, **changes) -> Route:
    """Return a scatter-gather route, with fields overridden by ``changes``."""
    names = tuple(f"s{number}" for number in range(shards))
    gather = Gather(names, 3, min_coverage)
    return route("all", targets=(), gather=gather, **changes)


def service(name: str, **changes) -> ServiceConfig:
    """Return a service, with fields overridden by ``changes``."""
    fields = {
        "name": name,
        "health_path": "/health",
        "max_connections": 36,
        "cold_start_s": 3.0,
        "cold_requests_per_s": 0.0,
    } | changes
    return ServiceConfig(**fields)


def table(
    *routes: Route,
    version: int = 1,
    services: int = 4,
    accounts: tuple[ClientAccount, ...] | None = (),
    **changes,
) -> RoutingTable:
    """Return a routing table with the services ``s0``, ``s1`` and so on."""
    names = [f"s{number}" for number in range(services)]
    described = {name: service(name, **changes) for name in names}
    return RoutingTable(version, routes, described, CallerLimits(), accounts)


def client_account(name: str = "desk", *keys: str, **changes) -> ClientAccount:
    """Return a client account that holds keys, by default one."""
    digests = tuple(key_digest(key) for key in keys or (f"{name}-key",))
    return ClientAccount(name, digests, **changes)


def backend_record(instance_id: str, service_name: str = "s0", **changes) -> BackendRecord:
    """Return a backend server's record, with fields overridden by ``changes``."""
    fields = {
        "instance_id": instance_id,
        "service": service_name,
        "address": Address("127.0.0.1", 9000),
        "zone": "z1",
        "slots": 4,
        "started_ms": 1,
    } | changes
    return BackendRecord(**fields)


def request(path: str = "/single/a", **changes) -> CallerRequest:
    """Return a caller's request, with fields overridden by ``changes``."""
    fields = {
        "request_id": "r1",
        "method": "GET",
        "host": HOST,
        "path": path,
        "target": path,
        "headers": (),
        "body": b"",
        "caller_timeout_s": 2.0,
        "received_s": 0.0,
    } | changes
    return CallerRequest(**fields)


def answer(body: bytes = b"record-000000001", *, signature: str = "sig", **headers) -> RawResponse:
    """Return a successful response of a backend server."""
    pairs = tuple((name.replace("_", "-"), str(value)) for name, value in headers.items())
    return RawResponse(200, (("X-Server-Stamp", signature), *pairs), body)


def refusal(**headers) -> RawResponse:
    """Return a refusal, by which the backend server guarantees that nothing ran."""
    pairs = tuple((name.replace("_", "-"), str(value)) for name, value in headers.items())
    return RawResponse(503, (("X-Not-Executed", "1"), *pairs), b"")


def error(signature: str = "sig") -> RawResponse:
    """Return an error response that a backend server has produced itself."""
    return RawResponse(500, (("X-Server-Stamp", signature),), b"broken")


LOST = CallFailure(CallFault.CONNECTION_LOST, "reset")
REFUSED = CallFailure(CallFault.NOT_CONNECTED, "refused")


class ScriptedCalls:
    """Backend calls that follow a script per instance: a delay and a result for each call.

    ``next_results`` replace the results of the next calls to any instance. ``connect_delays_s``
    holds the time that connections to an instance take, if any.
    """

    def __init__(self) -> None:
        self.scripts: dict[str, list[tuple[float, object]]] = {}
        self.default_delay_s = TYPICAL_S
        self.sent: list[tuple[str, float]] = []
        self.sent_headers: list[tuple[tuple[str, str], ...]] = []
        self.next_results: list[object] = []
        self.refusing: set[Address] = set()
        self.ended: set[Address] = set()
        self.is_cut_off = False
        self.checked: list[Address] = []
        self.connect_delays_s: dict[str, float] = {}
        self.cancelled_calls: Counter[str] = Counter()

    def script(self, instance_id: str, *steps: tuple[float, object]) -> None:
        """Set the delays and results of an instance's next calls; the last one repeats."""
        self.scripts[instance_id] = list(steps)

    async def call(
        self,
        address: Address,
        content: BackendRequest,
        timeout_s: float,
        *,
        is_idempotent: bool,
        on_start: Callable[[], None] = lambda: None,
        on_late_response: Callable[[InterruptedResponse], None] | None = None,
        may_send: Callable[[], bool] = lambda: True,
    ):
        """Run the next step of the instance that the request expects."""
        instance_id = dict(content.headers)["X-Expect-Instance"]
        connect_delay_s = self.connect_delays_s.get(instance_id, 0.0)
        if connect_delay_s:
            await asyncio.sleep(min(connect_delay_s, CONNECT_TIMEOUT_S))
            if connect_delay_s >= CONNECT_TIMEOUT_S:
                return CallFailure(CallFault.NOT_CONNECTED, "timed out")
        if not may_send():
            return CallFailure(CallFault.CONNECTION_LIMIT, "another call sends the request")
        on_start()
        self.sent_headers.append(content.headers)
        self.sent.append((instance_id, asyncio.get_running_loop().time()))
        steps = self.scripts.get(instance_id, [(self.default_delay_s, None)])
        delay_s, result = steps.pop(0) if len(steps) > 1 else steps[0]
        if self.next_results:
            result = self.next_results.pop(0)
        try:
            await asyncio.sleep(min(delay_s, timeout_s))
        except asyncio.CancelledError:
            self.cancelled_calls[instance_id] += 1
            raise
        if delay_s >= timeout_s:
            return CallFailure(CallFault.TIMEOUT, "no answer in time")
        return result if result is not None else answer(signature=f"sig-{instance_id}")

    async def refuses_connections(self, address: Address) -> bool:
        """Return whether the address is in ``refusing``, and record it."""
        self.checked.append(address)
        return address in self.refusing

    async def accepts_connections(self, address: Address) -> bool:
        """Return whether a server accepts connections: unless cut off or ``ended``.

        Records share an address by default, so ``refusing`` does not count here.
        """
        return not self.is_cut_off and address not in self.ended


class ScriptedForwarder:
    """A forwarder whose peer gives ``answer``; there is no peer without it."""

    def __init__(self) -> None:
        self.answer: Answer | Failure | None = None
        self.forwarded: list[tuple[CallerRequest, dict[str, tuple[str, ...]]]] = []
        self.prober_hosts: list[str] = []

    def probers(self, fingerprint: str, *, is_returning: bool) -> list[str]:
        """Return the peers that probe suspect requests before this router does."""
        return self.prober_hosts

    def has_peer(self) -> bool:
        """Return whether there is an answer."""
        return self.answer is not None

    async def forward(
        self,
        request: CallerRequest,
        *,
        is_idempotent: bool,
        reached_servers: dict[str, tuple[str, ...]] | None = None,
    ) -> Answer | Failure:
        """Record the request and return the answer."""
        self.forwarded.append((request, reached_servers or {}))
        return self.answer

    async def forward_to_first(
        self, request: CallerRequest, hosts: list[str]
    ) -> Answer | Failure | None:
        """Record the request and return the answer, if there is one."""
        self.forwarded.append((request, {}))
        return self.answer


class ReachingLinks:
    """Links of a router that reaches its backend servers."""

    async def causes_refusal(self) -> bool:
        """Return that a refusal is the server's."""
        return False


class RouterFixture:
    """A router without sockets, with scripted backend servers and the event loop's clock."""

    def __init__(
        self,
        *,
        zone: str = "z1",
        budget_slack: float = 100.0,
        budget_ratio: float = 0.2,
        links_seed: int = 2,
        uses_accounts: bool = False,
        quota_gate: QuotaGate | None = None,
        clock: Callable[[], float] | None = None,
    ) -> None:
        self.clock = clock or asyncio.get_running_loop().time
        self.log = MemoryLog()
        self.view = View(self.log)
        self.calls = ScriptedCalls()
        budget_limits = RetryBudgetLimits(budget_ratio, 10.0, budget_slack)
        own_address = RouterAddress("10.0.0.1", zone)
        self.pool = BackendPool(
            self.view, own_address, budget_limits, COLD_LIMITS, random.Random(1)
        )
        self.typical_latencies = TypicalLatencies()
        codec = PlatformCodec()
        self.board = FactBoard()
        suspects = CrashSuspects(self.board, self.log)
        self.pool.listen_replaced(suspects.record_replaced)
        self.reachability = Reachability(
            self.pool, self.calls, self.log, self.clock, random.Random(links_seed)
        )
        crash_check = CrashCheck(self.calls, suspects, self.reachability, self.clock)
        self.call_runner = CallRunner(
            self.calls,
            codec,
            self.typical_latencies,
            suspects,
            crash_check,
            self.reachability,
            self.clock,
        )
        self.forwarder = ScriptedForwarder()
        handover = Handover(self.reachability, self.forwarder, self.pool, self.log, self.clock)
        self.service = RouterService(
            self.view,
            self.pool,
            self.call_runner,
            handover,
            codec,
            self.log,
            self.clock,
            quota_gate,
            uses_accounts=uses_accounts,
        )
        for topic in Topic:
            self.view.record_source_answer(topic, self.clock())

    def publish(self, table: RoutingTable, *records: BackendRecord) -> None:
        """Publish a routing table and list backend servers."""
        changes = [TablePublished(table), *(BackendListed(item) for item in records)]
        self.view.apply(changes, self.clock())

    def set_typical_latency(self, route_name: str, typical_s: float = TYPICAL_S) -> None:
        """Record enough latencies to give a route this typical latency."""
        for _ in range(20):
            self.typical_latencies.observe(route_name, typical_s)

    async def send(self, path: str = "/single/a", **changes):
        """Send a request now and return the answer."""
        return await self.service.answer(request(path, received_s=self.clock(), **changes))


def shard_backend_records(shards: int = 4, replicas: int = 3) -> list[BackendRecord]:
    """Return backend servers ``s0-0`` and so on, with each replica in its own data centre."""
    return [
        backend_record(f"s{shard}-{replica}", f"s{shard}", zone=f"z{replica + 1}")
        for shard in range(shards)
        for replica in range(replicas)
    ]
