"""A stand-in backend server: shards of generated records with limits and faults."""

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
    """The connection that a request came on is dropped before its answer."""


class NotListening(Exception):
    """Nothing listens at the server's address."""


class StandinServer:
    """One backend server with slots, a short queue, warmth and an identity.

    Keeps time by the running event loop, so that it also runs in virtual time. Whoever records
    a history sets ``on_request`` and ``on_execution``; the latter also gets the index
    version that is served.
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
        self._running_calls: dict[str, asyncio.Task] = {}
        self._slot_semaphore = asyncio.Semaphore(self.slots)
        self._calls_until_warm = 0
        self._overloaded_until_s = 0.0
        self._down_until_s = 0.0
        self._last_report: tuple[float, ServerState] | None = None

    @property
    def executions(self) -> dict[str, int]:
        """Return how often each request identifier ran."""
        return self.counters.executions

    @property
    def is_listening(self) -> bool:
        """Return whether connections are accepted."""
        return not self.behaviour.absent and _now_s() >= self._down_until_s

    @property
    def is_cold(self) -> bool:
        """Return whether the server cannot bear its full load yet."""
        return self._calls_until_warm > 0

    def begin_cold_start(self) -> None:
        """Lose the warmth; nothing announces it but ``announces_cold``."""
        self._calls_until_warm = self.behaviour.warm_calls

    def restart(self, outage_s: float = 0.0) -> None:
        """Lose everything in flight, every connection and the process identity."""
        self.process_id = uuid.uuid4().hex
        self.counters.restarts += 1
        self._down_until_s = _now_s() + outage_s
        self._last_report = None
        for task in list(self._running_calls.values()):
            task.cancel()
        self.drop_connections()
        if self.behaviour.cold_after_restart:
            self.begin_cold_start()

    def state(self) -> ServerState | None:
        """Return the load report, which may lag, be wrong or be missing."""
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
        """Run a call, or refuse it.

        :raises NotListening: if the server is absent
        :raises ConnectionDropped: if the connection is lost before the answer
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
        """Stop running a call."""
        task = self._running_calls.get(call_id)
        if task is not None:
            self.counters.cancelled += 1
            task.cancel()

    def consume_drop(self, point: str) -> bool:
        """Use up one drop if the connection is to be dropped at a point of a request."""
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
        """Return why a call is not run, if so."""
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
        """Return how many calls at once a cold server bears; it grows with work done."""
        done = self.behaviour.warm_calls - self._calls_until_warm
        return 1 + self.slots * done // max(1, self.behaviour.warm_calls)

    async def _run(
        self, request: BackendRequest, process_id: str
    ) -> BackendAnswer | BackendRefusal:
        work = asyncio.create_task(self._execute(request))
        self._running_calls[request.call_id] = work
        self.in_flight += 1
        self.counters.peak_in_flight = max(self.counters.peak_in_flight, self.in_flight)
        try:
            return await work
        except asyncio.CancelledError:
            if asyncio.current_task().cancelling():
                raise
            if process_id != self.process_id:
                raise ConnectionDropped(self.name) from None
            return BackendRefusal(self.process_id, "cancelled", self.state())
        finally:
            self.in_flight -= 1
            self._running_calls.pop(request.call_id, None)

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
            seconds = self._draw_service_time_s()
            await asyncio.sleep(seconds / 2)
            self._raise_if_dropped("running")
            self._crash_if_requested(request)
            await asyncio.sleep(seconds / 2)
        self._calls_until_warm = max(0, self._calls_until_warm - 1)
        return self._answer(request)

    def _crash_if_requested(self, request: BackendRequest) -> None:
        wanted = msgspec.json.decode(request.search.filter)
        if isinstance(wanted, dict) and wanted.get(CRASH_FILTER_FIELD):
            mark = str(wanted[CRASH_FILTER_FIELD])
            self.counters.crashes[mark] = self.counters.crashes.get(mark, 0) + 1
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
                answer.parts.append(self._shard_part(shard, snapshot, request))
        return answer

    def _shard_part(self, shard: str, snapshot: Snapshot, request: BackendRequest) -> ShardResult:
        behaviour = self.behaviour
        part = search_shard(shard, snapshot, request.search, behaviour.misplaced_records)
        part.records.extend(part.records[: behaviour.doubled_records])
        part.records.sort(
            key=lambda record: (record.sort, record.key), reverse=request.search.descending
        )
        return part

    def _holds_replica(self, snapshot: Snapshot, shard: str) -> bool:
        entry = snapshot.shards.get(shard)
        return entry is not None and self.name in entry.replicas

    def _draw_service_time_s(self) -> float:
        behaviour = self.behaviour
        seconds = behaviour.service_ms / 1000 * self._random.uniform(0.8, 1.2)
        if self._random.random() < behaviour.straggler_share:
            seconds *= behaviour.straggler_factor
        return seconds * behaviour.cold_factor if self.is_cold else seconds

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
