"""A replica group of an aggregator: its backend servers and the queue for their slots."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook

from fighinge.aggregator.base import CallFailure, CallFault
from fighinge.aggregator.group_status import group_status
from fighinge.aggregator.hedging import HedgeDelay
from fighinge.aggregator.metrics import CallMetrics
from fighinge.aggregator.shard_batch import CANCELLED, ShardBatchRun
from fighinge.errors import ErrorKind
from fighinge.messages import (
    BackendAnswer,
    BackendRequest,
    GroupOutcome,
    GroupStatus,
    failed_group,
)

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from fighinge.aggregator.admission_queue import Refused, Waiter
    from fighinge.aggregator.backend_server import BackendServer, CallResult
    from fighinge.aggregator.shared_resources import SharedResources
    from fighinge.groups import Group
    from fighinge.messages import SubQuery
    from fighinge.model import Document

logger = logbook.Logger(__name__)

CALL_TIMEOUT_MARGIN_S = 0.002
STATE_TIMEOUT_S = 0.4
MAX_CACHED_BATCH_LISTS = 256
ShardBatch = tuple[tuple[str, ...], tuple[str, ...]]  # names of the replicas and of the shards


class ReplicaGroup:
    """Runs sub-queries on a group of backend servers that are connected by shared shards.

    Two shards of a group may have different replicas, so the shards are queried in batches with
    the same replicas.
    """

    __slots__ = (
        "_document",
        "_hedge_delays",
        "_idle_events",
        "_queue",
        "_shard_batches",
        "_shared",
        "_tasks",
        "budgets",
        "chooser",
        "clock",
        "group",
        "name",
        "policy",
        "quarantine",
        "running",
        "servers",
    )

    def __init__(
        self,
        group: Group,
        servers: dict[str, BackendServer],
        document: Document,
        shared: SharedResources,
    ) -> None:
        self.name = group.name
        self.group = group
        self.running = 0
        self.budgets = shared.budgets
        self.chooser = shared.chooser
        self.clock = shared.clock
        self.policy = shared.policy
        self.quarantine = shared.quarantine
        self._shared = shared
        self._queue = shared.create_queue()
        self._hedge_delays: dict[str, HedgeDelay] = {}
        self._tasks: set[asyncio.Task] = set()
        self._idle_events: dict[str, asyncio.Event] = {}
        self.configure(servers, document)

    def configure(self, servers: dict[str, BackendServer], document: Document) -> None:
        """Apply a configuration; the state of the servers and of the queue stays."""
        self.servers = servers
        self._document = document
        self._shard_batches: dict[tuple[str, int, tuple[str, ...]], list[ShardBatch]] = {}
        self._queue.configure(document)
        self._queue.dispatch()

    @property
    def has_empty_queue(self) -> bool:
        """Return whether no call is queued for a slot."""
        return self._queue.size == 0

    def status(self) -> GroupStatus:
        """Return the index versions that the available replicas of the group hold."""
        now_s = self.clock()
        held = {
            name: server.index_versions
            for name, server in self.servers.items()
            if server.is_available(now_s)
        }
        return group_status(self.group, self._document, held)

    async def run(
        self, sub_query: SubQuery, shards: tuple[str, ...], deadline_s: float
    ) -> GroupOutcome:
        """Query shards of the group and return the outcome.

        :param deadline_s: clock time of the deadline, in seconds
        """
        batches = self._batches_for(sub_query.collection, sub_query.index_version, shards)
        if batches is None:
            reason = f"index version {sub_query.index_version} is not configured for the shards"
            return failed_group(self.name, shards, ErrorKind.SNAPSHOT_GONE, reason, sent=False)
        self.running += 1
        try:
            runs = [
                ShardBatchRun(
                    self, sub_query, [self.servers[name] for name in replicas], names, deadline_s
                ).run()
                for replicas, names in batches
            ]
            outcomes = [await runs[0]] if len(runs) == 1 else await asyncio.gather(*runs)
        finally:
            self.running -= 1
        outcome = _merge_outcomes(self.name, outcomes)
        metrics = CallMetrics.of(sub_query.query_class, sub_query.tenant)
        metrics.attempts.observe(len(outcome.attempts))
        return outcome

    async def acquire(self, waiter: Waiter) -> BackendServer | Refused:
        """Wait for a slot of one of the waiter's replicas."""
        queued_at_s = self.clock()
        granted = await self._queue.acquire(waiter)
        metrics = CallMetrics.of(waiter.query_class, waiter.tenant)
        metrics.queue_time_s.observe(self.clock() - queued_at_s)
        return granted

    def hedge_delay_s(self, query_class: str) -> float | None:
        """Return the hedge delay of a query class, or none if its calls are not hedged."""
        if not self.policy.hedging:
            return None
        return self._hedge_delay(query_class).delay_s

    def next_call_id(self) -> str:
        """Return a globally unique call ID."""
        return self._shared.next_call_id()

    def start_call(
        self,
        server: BackendServer,
        call_id: str,
        sub_query: SubQuery,
        shards: tuple[str, ...],
        deadline_s: float,
        *,
        is_probe: bool,
    ) -> asyncio.Task[CallResult]:
        """Start a call whose slot is reserved; its result is recorded even if nobody awaits it."""
        request = BackendRequest(
            call_id=call_id,
            request_id=sub_query.request_id,
            collection=sub_query.collection,
            index_version=sub_query.index_version,
            shards=shards,
            search=sub_query.search,
            remaining_ms=(deadline_s - self.clock()) * 1000,
            repeatable=sub_query.repeatable,
        )
        return self._spawn(self._call(server, request, sub_query, is_probe=is_probe))

    def cancel_call(self, server: BackendServer, call_id: str) -> None:
        """Ask a server to cancel a call; its slot stays occupied until the call ends."""
        self._spawn(self._shared.client.cancel(server.address, call_id))

    async def reserve_idle_server(
        self, candidates: list[BackendServer], deadline_s: float
    ) -> BackendServer | None:
        """Reserve one of several servers and wait until it has no calls in flight.

        :returns: the server, or none if no server became idle before the deadline
        """
        now_s = self.clock()
        free = [
            server for server in candidates if server.is_available(now_s) and not server.is_reserved
        ]
        if not free:
            return None
        server = min(free, key=lambda candidate: candidate.in_flight)
        server.is_reserved = True
        try:
            async with asyncio.timeout(max(0.0, deadline_s - now_s)):
                await self._wait_until_idle(server)
        except TimeoutError:
            self._release_reservation(server)
            return None
        except asyncio.CancelledError:
            self._release_reservation(server)
            raise
        if not server.is_available(self.clock()):
            self._release_reservation(server)
            return None
        return server

    async def poll(self, server: BackendServer) -> None:
        """Poll the state of a server."""
        state = await self._shared.client.state(server.address, STATE_TIMEOUT_S)
        now_s = self.clock()
        if isinstance(state, CallFailure):
            if state.fault is CallFault.NOT_CONNECTED:
                server.mark_unreachable(now_s)
                self.quarantine.resolve_loss(server.name, None, now_s)
            return
        is_new = state.process_id != server.process_id
        server.state_reported(state, now_s)
        self.quarantine.resolve_loss(server.name, state.process_id, now_s)
        if is_new:
            self._prepare_process(server, now_s)
        self._queue.dispatch()

    async def _wait_until_idle(self, server: BackendServer) -> None:
        while server.in_flight:
            event = self._idle_events.setdefault(server.name, asyncio.Event())
            await event.wait()

    def _release_reservation(self, server: BackendServer) -> None:
        server.is_reserved = False
        self._queue.dispatch()

    async def _call(
        self,
        server: BackendServer,
        request: BackendRequest,
        sub_query: SubQuery,
        *,
        is_probe: bool,
    ) -> CallResult:
        started_s = self.clock()
        timeout_s = max(0.0, request.remaining_ms / 1000) + CALL_TIMEOUT_MARGIN_S
        try:
            result = await self._shared.client.search(server.address, request, timeout_s)
        except Exception as error:
            logger.exception("call to backend server {} raised an exception", server.name)
            result = CallFailure(CallFault.BAD_ANSWER, repr(error))
        now_s = self.clock()
        self._record_result(server, sub_query, result, now_s - started_s, now_s)
        if is_probe:
            self.quarantine.end_probe(sub_query.fingerprint)
            server.is_reserved = False
        if server.in_flight == 0 and server.name in self._idle_events:
            self._idle_events.pop(server.name).set()
        self._queue.dispatch()
        return result

    def _record_result(
        self,
        server: BackendServer,
        sub_query: SubQuery,
        result: CallResult,
        took_s: float,
        now_s: float,
    ) -> None:
        """Update the server, quarantine, queue, hedge delay and metrics with a call's result."""
        fingerprint, query_class = sub_query.fingerprint, sub_query.query_class
        if isinstance(result, CallFailure) and result.fault is CallFault.CONNECTION_LOST:
            self.quarantine.record_loss(
                server.name, server.process_id, server.in_flight_by_fingerprint, now_s
            )
            self._spawn(self.poll(server))
        elif isinstance(result, BackendAnswer):
            self.quarantine.clear(fingerprint, self.servers)
        previous_id = server.process_id
        server.call_finished(fingerprint, query_class, result, took_s, now_s)
        if server.process_id != previous_id:
            self._prepare_process(server, now_s)
        if _is_latency_sample(result):
            self._queue.observe(query_class, took_s)
            self._hedge_delay(query_class).record(took_s)
        metrics = CallMetrics.of(query_class, sub_query.tenant)
        metrics.call_latency_s.observe(took_s)

    def _prepare_process(self, server: BackendServer, now_s: float) -> None:
        """Open connections to a new process; skip its cold start if a peer reports it as warm.

        Only one connection more than calls may run is opened: aggregators that start together each
        own the server until they know of each other, and full quotas would exceed its limit.
        """
        if server.process_id in self._shared.warm_processes(server.name, now_s):
            server.warm_reported(server.process_id)
        connections = min(server.concurrency_limit() + 1, server.connection_quota)
        self._spawn(self._shared.client.warm_up(server.address, connections))

    def _hedge_delay(self, query_class: str) -> HedgeDelay:
        delay = self._hedge_delays.get(query_class)
        if delay is None:
            delay = HedgeDelay(self.budgets.for_class(query_class).ratio)
            self._hedge_delays[query_class] = delay
        return delay

    def _batches_for(
        self, collection: str, index_version: int, shards: tuple[str, ...]
    ) -> list[ShardBatch] | None:
        """Return the shards in batches by replicas, or none if the snapshot is not configured."""
        key = (collection, index_version, shards)
        known = self._shard_batches.get(key)
        if known is None:
            known = self._group_by_replicas(collection, index_version, shards)
            if known is not None and len(self._shard_batches) < MAX_CACHED_BATCH_LISTS:
                self._shard_batches[key] = known
        return known

    def _group_by_replicas(
        self, collection: str, index_version: int, shards: tuple[str, ...]
    ) -> list[ShardBatch] | None:
        configured = self._document.collections.get(collection)
        snapshot = configured.snapshot(index_version) if configured else None
        if snapshot is None or any(shard not in snapshot.shards for shard in shards):
            return None
        by_replicas: dict[tuple[str, ...], list[str]] = {}
        for shard in shards:
            replicas = tuple(sorted(snapshot.shards[shard].replicas))
            if any(name not in self.servers for name in replicas):
                return None
            by_replicas.setdefault(replicas, []).append(shard)
        return [(replicas, tuple(names)) for replicas, names in by_replicas.items()]

    def _spawn(self, work: Coroutine) -> asyncio.Task:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def _is_latency_sample(result: CallResult) -> bool:
    """Return whether a call ran until it was answered, timed out or was cancelled."""
    if isinstance(result, CallFailure):
        return result.fault is CallFault.TIMEOUT
    return isinstance(result, BackendAnswer) or result.reason == CANCELLED


def _merge_outcomes(name: str, outcomes: list[GroupOutcome]) -> GroupOutcome:
    if len(outcomes) == 1:
        return outcomes[0]
    merged = GroupOutcome(group=name)
    for outcome in outcomes:
        merged.parts.extend(outcome.parts)
        merged.missing.extend(outcome.missing)
        merged.attempts.extend(outcome.attempts)
        merged.sent = merged.sent or outcome.sent
        merged.retry_after_s = max(merged.retry_after_s, outcome.retry_after_s)
    return merged
