"""Stand-in backend server that searches generated records and simulates limits and faults."""

from __future__ import annotations

import asyncio
import random
import uuid
from typing import TYPE_CHECKING

import msgspec

from fighinge.errors import ErrorKind
from fighinge.messages import (
    BackendAnswer,
    BackendRefusal,
    BackendRequest,
    ServerState,
    ShardMissing,
)
from standins.behaviour import Behaviour, Counters
from standins.records import search_shard

if TYPE_CHECKING:
    from collections.abc import Callable

    from fighinge.messages import ShardResult
    from fighinge.model import Document, Snapshot

CRASH_FILTER_FIELD = "crash"
ABSURD_REPORTED_CALLS = 1_000_000


class ConnectionDropped(Exception):
    """Raised when the connection of a request is closed before its response is complete."""


class NotListening(Exception):
    """Raised when the server refuses connections."""


class StandinServer:
    """Simulate one backend server with slots, a bounded queue, cold starts and a process identity.

    The running event loop is the clock, so the server also runs in virtual time. ``in_flight``
    counts queued calls too; the load report gives running and queued ones separately.
    ``on_request`` is called for each request that arrives, ``on_execution`` for each that starts,
    with the index version that is served; fault tests (``tests/histories``) set the latter.
    """

    def __init__(self, name: str, document: Document, seed: int) -> None:
        self.name = name
        self.document = document
        self.behaviour = Behaviour()
        self.counters = Counters()
        self.process_id = uuid.uuid4().hex
        self.slots = document.backend_servers[name].slots
        self.in_flight = 0
        self.drop_connections: Callable[[], None] = lambda: None
        self.on_request: Callable[[BackendRequest], None] = lambda _request: None
        self.on_execution: Callable[[BackendRequest, int], None] = lambda _request, _version: None
        self._random = random.Random(f"{name}/{seed}")
        self._call_tasks: dict[str, asyncio.Task] = {}
        self._slot_semaphore = asyncio.Semaphore(self.slots)
        self._calls_until_warm = 0
        self._overloaded_until_s = 0.0
        self._down_until_s = 0.0
        self._last_report: tuple[float, ServerState] | None = None

    @property
    def executions(self) -> dict[str, int]:
        """Return the number of executions by request identifier."""
        return self.counters.executions

    @property
    def is_listening(self) -> bool:
        """Return whether the server accepts connections."""
        return not self.behaviour.absent and _now_s() >= self._down_until_s

    @property
    def is_cold(self) -> bool:
        """Return whether the server is still warming up."""
        return self._calls_until_warm > 0

    def begin_cold_start(self) -> None:
        """Make the server cold; the load report says so only with ``announces_cold``."""
        self._calls_until_warm = self.behaviour.warm_calls

    def restart(self, outage_s: float = 0.0) -> None:
        """Restart the process: end all calls, close all connections and change the identity.

        :param outage_s: seconds during which connections are refused
        """
        self.process_id = uuid.uuid4().hex
        self.counters.restarts += 1
        self._down_until_s = _now_s() + outage_s
        self._last_report = None
        for task in list(self._call_tasks.values()):
            task.cancel()
        self.drop_connections()
        if self.behaviour.cold_after_restart:
            self.begin_cold_start()

    def state(self) -> ServerState | None:
        """Return the load report, or none; it is stale or wrong as ``behaviour.report`` says."""
        behaviour, now_s = self.behaviour, _now_s()
        if behaviour.report == "absent":
            return None
        if self._last_report is not None:
            age_s = now_s - self._last_report[0]
            if behaviour.report == "stuck" or age_s < behaviour.report_lag_s:
                return self._last_report[1]
        self._last_report = (now_s, self._actual_state())
        state = self._last_report[1]
        if behaviour.report == "zero":
            return msgspec.structs.replace(state, in_flight=0, queued=0)
        if behaviour.report == "absurd":
            return msgspec.structs.replace(
                state, in_flight=ABSURD_REPORTED_CALLS, queued=-ABSURD_REPORTED_CALLS
            )
        return state

    async def search(self, request: BackendRequest) -> BackendAnswer | BackendRefusal:
        """Run a request, or refuse it.

        :raises NotListening: if the server refuses connections
        :raises ConnectionDropped: if the connection is closed before the response
        """
        if not self.is_listening:
            raise NotListening(self.name)
        process_id = self.process_id
        self.counters.searches += 1
        self.on_request(request)
        await self._delay_one_way()
        self._raise_if_dropped("accept")
        refusal = self._refusal_reason(request)
        if refusal is None:
            self._raise_if_dropped("before_run")
            result = await self._run(request, process_id)
        else:
            result = BackendRefusal(self.process_id, refusal, self.state())
        await self._delay_one_way()
        if process_id != self.process_id:
            raise ConnectionDropped(self.name)
        self._raise_if_dropped("before_answer")
        return result

    def cancel(self, call_id: str) -> None:
        """Cancel a running or queued call; unknown call identifiers are ignored."""
        task = self._call_tasks.get(call_id)
        if task is not None:
            self.counters.cancelled += 1
            task.cancel()

    def consume_drop(self, point: str) -> bool:
        """Return whether to drop the connection at a point of a request, and use up one drop."""
        behaviour = self.behaviour
        if behaviour.drop_at != point or behaviour.drops_left == 0:
            return False
        behaviour.drops_left -= 1
        return True

    def _raise_if_dropped(self, point: str) -> None:
        if self.consume_drop(point):
            raise ConnectionDropped(self.name)

    async def _delay_one_way(self) -> None:
        if self.behaviour.one_way_ms:
            await asyncio.sleep(self.behaviour.one_way_ms / 1000)

    def _refusal_reason(self, request: BackendRequest) -> str | None:
        """Return the reason to refuse a request, or none."""
        if self.behaviour.draining:
            self.counters.arrivals_while_draining += 1
            return "draining"
        if self._should_shed():
            self.counters.shed += 1
            return "shed"
        if request.index_version not in self._held_index_versions(request.collection):
            return "index_version"
        if request.remaining_ms <= 0:
            self.counters.past_deadline += 1
            return "deadline"
        return None

    def _should_shed(self) -> bool:
        now_s = _now_s()
        if now_s < self._overloaded_until_s:
            return True
        if self.is_cold and self.in_flight >= self.cold_concurrency_limit():
            self.counters.overloaded_moments += 1
            self._overloaded_until_s = now_s + self.behaviour.fall_over_s
            self.begin_cold_start()
            return True
        if self.in_flight >= self.slots + self.behaviour.queue_limit:
            return True
        return self.behaviour.shed_share > self._random.random()

    def cold_concurrency_limit(self) -> int:
        """Return how many calls a cold server can run at once; completed calls raise it."""
        completed = self.behaviour.warm_calls - self._calls_until_warm
        return 1 + self.slots * completed // max(1, self.behaviour.warm_calls)

    async def _run(
        self, request: BackendRequest, process_id: str
    ) -> BackendAnswer | BackendRefusal:
        task = asyncio.create_task(self._execute(request))
        self._call_tasks[request.call_id] = task
        self.in_flight += 1
        self.counters.peak_in_flight = max(self.counters.peak_in_flight, self.in_flight)
        try:
            return await task
        except asyncio.CancelledError:
            if asyncio.current_task().cancelling():
                raise
            if process_id != self.process_id:
                raise ConnectionDropped(self.name) from None
            return BackendRefusal(self.process_id, "cancelled", self.state())
        finally:
            self.in_flight -= 1
            self._call_tasks.pop(request.call_id, None)

    async def _execute(self, request: BackendRequest) -> BackendAnswer | BackendRefusal:
        arrived_s = _now_s()
        async with self._slot_semaphore:
            if (_now_s() - arrived_s) * 1000 >= request.remaining_ms:
                self.counters.past_deadline += 1
                return BackendRefusal(self.process_id, "deadline", self.state())
            self.counters.starts_while_out += self.behaviour.out
            served = self.behaviour.serves_index_version or request.index_version
            self.on_execution(request, served)
            executions = self.counters.executions
            executions[request.request_id] = executions.get(request.request_id, 0) + 1
            service_time_s = self._draw_service_time_s()
            await asyncio.sleep(service_time_s / 2)
            self._raise_if_dropped("running")
            self._crash_if_requested(request)
            await asyncio.sleep(service_time_s / 2)
        self._calls_until_warm = max(0, self._calls_until_warm - 1)
        return self._answer(request)

    def _crash_if_requested(self, request: BackendRequest) -> None:
        filter_fields = msgspec.json.decode(request.search.filter)
        if isinstance(filter_fields, dict) and filter_fields.get(CRASH_FILTER_FIELD):
            crash_id = str(filter_fields[CRASH_FILTER_FIELD])
            self.counters.crashes[crash_id] = self.counters.crashes.get(crash_id, 0) + 1
            self.restart(self.behaviour.crash_outage_s)
            raise ConnectionDropped(self.name)

    def _answer(self, request: BackendRequest) -> BackendAnswer:
        behaviour = self.behaviour
        served = behaviour.serves_index_version or request.index_version
        snapshot = self.document.collections[request.collection].snapshot(served)
        answer = BackendAnswer(self.process_id, state=self.state())
        for shard in request.shards:
            if snapshot is None or served not in self._held_index_versions(request.collection):
                reason = f"index version {served} is no longer held"
                answer.missing.append(ShardMissing(shard, ErrorKind.SNAPSHOT_GONE, reason))
            elif not self._holds_replica(snapshot, shard):
                reason = "not held here"
                answer.missing.append(ShardMissing(shard, ErrorKind.NO_REPLICA, reason))
            else:
                answer.parts.append(self._search_shard(shard, snapshot, request))
        return answer

    def _search_shard(self, shard: str, snapshot: Snapshot, request: BackendRequest) -> ShardResult:
        behaviour = self.behaviour
        result = search_shard(shard, snapshot, request.search, behaviour.misplaced_records)
        result.records.extend(result.records[: behaviour.doubled_records])
        result.records.sort(
            key=lambda record: (record.sort, record.key), reverse=request.search.descending
        )
        return result

    def _holds_replica(self, snapshot: Snapshot, shard: str) -> bool:
        placement = snapshot.shards.get(shard)
        return placement is not None and self.name in placement.replicas

    def _draw_service_time_s(self) -> float:
        behaviour = self.behaviour
        service_time_s = behaviour.service_ms / 1000 * self._random.uniform(0.8, 1.2)
        if self._random.random() < behaviour.straggler_share:
            service_time_s *= behaviour.straggler_factor
        return service_time_s * behaviour.cold_factor if self.is_cold else service_time_s

    def _held_index_versions(self, collection: str) -> list[int]:
        return self._index_versions_by_collection().get(collection, [])

    def _index_versions_by_collection(self) -> dict[str, list[int]]:
        if self.behaviour.index_versions is not None:
            return self.behaviour.index_versions
        return {
            name: [
                snapshot.index_version
                for snapshot in collection.snapshots
                if any(self.name in shard.replicas for shard in snapshot.shards.values())
            ]
            for name, collection in self.document.collections.items()
        }

    def _actual_state(self) -> ServerState:
        state = "draining" if self.behaviour.draining else "ready"
        if self.is_cold and self.behaviour.announces_cold:
            state = "cold"
        return ServerState(
            process_id=self.process_id,
            state=state,
            slots=self.slots,
            in_flight=min(self.in_flight, self.slots),
            queued=max(0, self.in_flight - self.slots),
            index_versions=self._index_versions_by_collection(),
        )


def _now_s() -> float:
    return asyncio.get_running_loop().time()
