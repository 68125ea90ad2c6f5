"""Scatter-gather requests: one call to each shard, and the merge of their records."""

from __future__ import annotations

import asyncio
import heapq
from functools import partial
from typing import TYPE_CHECKING

from fighinge.errors import ErrorKind, Failure
from fighinge.router.call_trace import format_traces
from fighinge.router.coverage_rule import CoverageRule, Verdict
from fighinge.router.ended_tasks import EndedTasks
from fighinge.router.exchange import BackendResponse, CallerRequest, MergedAnswer
from fighinge.router.hedge_delay import hedge_delay_s
from fighinge.router.metrics import observe_shard_decisions
from fighinge.router.scarce_shards import QueryNeeds
from fighinge.router.service_call import CallLimits, ServiceCall
from fighinge.router.shard_loads import shard_load

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from fighinge.router.call_runner import CallRunner
    from fighinge.router.model import Gather
    from fighinge.router.pool import BackendPool, Service

RECORD_BYTES = 16
MAX_HEDGE_FRACTION = 0.5  # more late shards mean a delay of this process or its network


class GatherCall:
    """Calls all shards of a route and merges the records of those that answer in time."""

    __slots__ = (
        "_call_runner",
        "_clock",
        "_ended",
        "_excluded",
        "_gather",
        "_limits",
        "_needs_canary",
        "_pending",
        "_pool",
        "_probed_shards",
        "_refused_wait_s",
        "_request",
        "_responses",
        "_rule",
        "_suspect_services",
        "calls",
        "skipped_shards",
    )

    def __init__(
        self,
        request: CallerRequest,
        gather: Gather,
        limits: CallLimits,
        pool: BackendPool,
        call_runner: CallRunner,
        clock: Callable[[], float],
        suspect_services: Collection[str] = (),
        *,
        needs_canary: bool = False,
    ) -> None:
        """Initialise a query without any call.

        :param suspect_services: services whose servers the request may crash, if it is suspect
        :param needs_canary: whether one shard has to answer before the others are called
        """
        self._needs_canary = needs_canary
        self._request = request
        self._gather = gather
        self._limits = limits
        self._pool = pool
        self._call_runner = call_runner
        self._clock = clock
        self._suspect_services = suspect_services
        self._rule = CoverageRule(
            len(gather.shards), gather.min_coverage, limits.soft_deadline_s, limits.hard_deadline_s
        )
        self._responses: list[BackendResponse] = []
        self._excluded: frozenset[str] = frozenset()
        self._probed_shards: frozenset[str] = frozenset()
        self._refused_wait_s: float | None = None
        self._pending: set[asyncio.Task] = set()
        self._ended = EndedTasks()
        self.calls: list[ServiceCall] = []
        self.skipped_shards: list[str] = []

    @property
    def may_have_run(self) -> bool:
        """Return whether a backend server may have run the request."""
        return any(call.may_have_run for call in self.calls)

    def reached_servers(self) -> dict[str, tuple[str, ...]]:
        """Return the servers that may have run the request, by the names of their services."""
        return {name: runs for call in self.calls for name, runs in call.reached_servers().items()}

    def acquire_repeat(self) -> bool:
        """Spend a retry of each shard that may have run the request, if their budgets allow it."""
        return all(call.acquire_repeat() for call in self.calls)

    def leaving_servers(self) -> tuple[str, ...]:
        """Return the runs of servers that were called and leave."""
        return tuple(name for call in self.calls for name in call.leaving_servers())

    def promise_return(self, now_s: float) -> None:
        """Record that the caller was told to return after :meth:`wait_s`."""
        for name in self._gather.shards:
            self._pool.promise_return(self._pool.service(name), now_s)

    def trace_text(self) -> str:
        """Return the unusual calls for the log."""
        return format_traces(self.calls, self.skipped_shards)

    @property
    def included(self) -> int:
        """Return the number of shards that have answered."""
        return len(self._responses)

    async def run(self) -> MergedAnswer | Failure:
        """Return the merged answer, or why too few shards have answered."""
        shards = [self._pool.service(name) for name in self._gather.shards]
        if not self._can_reach(shards):
            if self.wait_s(self._clock()):
                return Failure(
                    ErrorKind.OVERLOADED,
                    "backend servers of too many shards want a pause or are at their limit",
                )
            return Failure(ErrorKind.NO_REPLICA, "too few shards have a backend server in service")
        if not self._plan_shards(shards):
            return Failure(
                ErrorKind.OVERLOADED, "too many shards lack the capacity to answer in time"
            )
        skipped = frozenset(self.skipped_shards)
        shards = [shard for shard in shards if shard.name not in skipped]
        if self._suspect_services:
            failure = await self._probe(shards)
            if failure is not None:
                return failure
        try:
            if self._needs_canary and not self._suspect_services:
                failure = await self._send_canary(shards)
                if failure is not None:
                    return failure
            for shard in shards:
                self._start(self._service_call(shard))
            return await self._collect()
        finally:
            for task in self._pending:
                task.cancel()

    def _start(self, call: ServiceCall) -> None:
        self.calls.append(call)
        task = asyncio.create_task(call.run(), name=call.service.name)
        task.add_done_callback(self._ended.add)
        self._pending.add(task)

    def _service_call(
        self,
        shard: Service,
        *,
        is_probe: bool = False,
        may_hedge: Callable[[], bool] | None = None,
    ) -> ServiceCall:
        return ServiceCall(
            self._request,
            self._limits,
            shard,
            self._pool,
            self._call_runner,
            self._clock,
            may_hedge or partial(self._may_hedge, shard.name),
            partial(self._try_exclude, shard.name),
            is_probe=is_probe,
        )

    async def _probe(self, shards: list[Service]) -> Failure | None:
        """Call shards of a suspect request one by one until one has run it.

        If the request crashes servers, it then crashes one more instead of one for each shard. The
        shards with crashes come first, as their answer outweighs these.

        :param shards: the shards to call; those that were called are removed
        :returns: a failure if the request was lost or too few shards are left, otherwise ``None``
        """
        shards.sort(key=lambda shard: shard.name not in self._suspect_services)
        while shards:
            shard = shards.pop(0)
            call = self._service_call(shard, is_probe=True)
            self.calls.append(call)
            result = await call.run()
            if isinstance(result, BackendResponse) and result.is_success:
                self._responses.append(result)
                return None
            self._excluded = self._excluded | {shard.name}
            if isinstance(result, Failure) and call.may_have_run:
                return result
            if self._rule.verdict(len(self._responses), len(shards), self._clock()) is Verdict.FAIL:
                return self._coverage_failure(self._clock())
        return None

    async def _send_canary(self, shards: list[Service]) -> Failure | None:
        """Call the shard with the most servers, and wait for its answer before the others.

        A request that crashes servers then ends those of one shard. It does so soon, so that a
        server which is only slow holds the others up no longer than until a hedge would be sent.

        :param shards: the shards to call; the one that was called is removed
        :returns: a failure if the request was lost, otherwise ``None``
        """
        now_s = self._clock()
        shard = max(shards, key=lambda shard: self._pool.count_usable(shard, now_s))
        shards.remove(shard)
        call = self._service_call(shard, may_hedge=lambda: False)
        self._start(call)
        typical_s = self._call_runner.typical_latencies.typical_s(self._limits.latency_key)
        delay_s = hedge_delay_s(typical_s, self._limits.soft_deadline_s - now_s)
        for task in await self._ended.wait(delay_s):
            self._handle_end(task)
            if isinstance(task.result(), Failure) and call.may_have_run:
                return task.result()
        return None

    def wait_s(self, now_s: float) -> float | None:
        """Return the time until enough shards have a server that takes calls, if it is known.

        :returns: seconds, as :meth:`~fighinge.router.pool.BackendPool.wait_s`
        """
        if self._refused_wait_s is not None:
            return self._refused_wait_s
        times_s = (
            self._pool.wait_s(shard, now_s, is_urgent=self._is_urgent(shard, now_s))
            for shard in map(self._pool.service, self._gather.shards)
        )
        known_s = sorted(time_s for time_s in times_s if time_s is not None)
        return known_s[self._rule.required - 1] if len(known_s) >= self._rule.required else None

    async def _collect(self) -> MergedAnswer | Failure:
        while True:
            now_s = self._clock()
            verdict = self._rule.verdict(len(self._responses), len(self._pending), now_s)
            if verdict is Verdict.ANSWER:
                return self._merge()
            if verdict is Verdict.FAIL:
                return self._coverage_failure(now_s)
            for task in await self._ended.wait(self._rule.next_check_s(now_s) - now_s):
                self._handle_end(task)

    def _handle_end(self, task: asyncio.Task) -> None:
        """Record the result of a shard."""
        self._pending.discard(task)
        result = task.result()
        if isinstance(result, BackendResponse) and result.is_success:
            self._responses.append(result)
        else:
            self._excluded = self._excluded | {task.get_name()}

    def _plan_shards(self, shards: list[Service]) -> bool:
        """Decide which shards to skip and to probe, and return whether the query is admitted."""
        if not self._pool.load_policy.balances_shards:
            self.skipped_shards = self._late_shards(shards)
            self._excluded = frozenset(self.skipped_shards)
            return True
        now_s = self._clock()
        typical_s = self._call_runner.typical_latencies.typical_s(self._limits.latency_key)
        plan = self._pool.scarce_shards.plan(
            [shard_load(self._pool, shard, typical_s, now_s) for shard in shards],
            QueryNeeds(
                typical_s,
                len(shards) - self._rule.required,
                self._limits.soft_deadline_s - now_s,
                self._limits.hard_deadline_s - now_s,
            ),
            now_s,
        )
        self._refused_wait_s = plan.refused_wait_s
        self._probed_shards = frozenset(plan.probed)
        self._excluded = frozenset(plan.left_out)
        self.skipped_shards = [name for name in plan.left_out if name not in self._probed_shards]
        is_refused = plan.refused_wait_s is not None
        observe_shard_decisions(len(self.skipped_shards), len(plan.probed), is_refused=is_refused)
        return not is_refused

    def _late_shards(self, shards: list[Service]) -> list[str]:
        """Return the shards to skip, since they would answer after the soft deadline.

        A shard whose backend servers all have long queues answers no query in time as long as
        every query joins them. Queries that do not need the shard skip it, slowest first, so that
        its queues drain.
        """
        now_s = self._clock()
        typical_s = self._call_runner.typical_latencies.typical_s(self._limits.latency_key)
        patience_s = self._limits.soft_deadline_s - now_s
        expected_s = {
            shard.name: self._pool.expected_s(shard, typical_s, now_s)
            for shard in shards
            if not self._pool.answers_within(shard, patience_s, typical_s, now_s)
        }
        unavailable = sum(latency_s is None for latency_s in expected_s.values())
        late = [
            (latency_s, name)
            for name, latency_s in expected_s.items()
            if latency_s is not None and now_s + latency_s > self._limits.soft_deadline_s
        ]
        allowed = max(0, len(shards) - self._rule.required - unavailable)
        return [name for _, name in sorted(late, reverse=True)[:allowed]]

    def _can_reach(self, shards: Iterable) -> bool:
        """Return whether enough shards have a backend server that takes calls."""
        now_s = self._clock()
        usable = sum(
            any(
                backend.takes_calls(now_s, is_urgent=self._is_urgent(shard, now_s))
                for backend in shard.backends
            )
            for shard in shards
        )
        return usable >= self._rule.required

    def _is_urgent(self, shard: Service, now_s: float) -> bool:
        return shard.urgency.is_most_urgent(self._limits.priority, now_s)

    def _may_hedge(self, service_name: str) -> bool:
        if service_name in self._probed_shards:
            return False
        return len(self._pending) <= max(2, MAX_HEDGE_FRACTION * len(self._gather.shards))

    def _try_exclude(self, service_name: str) -> bool:
        """Exclude a shard if the minimum coverage permits it, and return whether it does."""
        excluded = self._excluded | {service_name}
        if len(excluded) > len(self._gather.shards) - self._rule.required:
            return False
        self._excluded = excluded
        return True

    def _merge(self) -> MergedAnswer:
        signatures = tuple(response.signature for response in self._responses)
        missing = len(self._gather.shards) - len(self._responses)
        body = merge_records(
            (response.body for response in self._responses), self._gather.top_records
        )
        return MergedAnswer(signatures, missing, body)

    def _coverage_failure(self, now_s: float) -> Failure:
        if now_s >= self._limits.hard_deadline_s:
            return Failure(ErrorKind.DEADLINE_EXCEEDED, "too few shards answered in time")
        if not any(call.may_have_run for call in self.calls):
            return Failure(ErrorKind.OVERLOADED, "backend servers of too many shards refused")
        return Failure(ErrorKind.COVERAGE_TOO_LOW, "too few shards can answer")


def merge_records(bodies: Iterable[bytes], max_records: int) -> bytes:
    """Return the greatest records in descending order; a trailing partial record is ignored.

    :param bodies: the answers of the shards, each a sequence of records
    :param max_records: maximum number of records in the result
    """
    records = (
        body[start : start + RECORD_BYTES]
        for body in bodies
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    )
    return b"".join(heapq.nlargest(max_records, records))
