"""Fair queueing of calls for the slots of a replica group, with early refusal."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

import msgspec

from fighinge.errors import ErrorKind, Failure

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from fighinge.aggregator.backend_server import BackendServer
    from fighinge.aggregator.policy import Policy
    from fighinge.aggregator.replica_choice import ReplicaChooser
    from fighinge.model import Document

EXPIRY_CHECK_INTERVAL_S = 0.01
COST_EWMA_WEIGHT = 0.05
INITIAL_COST_S = 0.01
MIN_COST_SAMPLES = 20
MIN_TIME_LEFT_RATIO = 0.5
# Unless a queued call had time for its full cost, half of the calls that got a slot timed out.
MIN_QUEUED_TIME_LEFT_RATIO = 1.25
RETRY_AFTER_S = 0.5
MIN_RETRY_AFTER_S = 0.05
LOOKAHEAD_CALLS = 8
SINGLE_CLASS = "all"


class Refused(msgspec.Struct, frozen=True):
    """Why a call was not started, or why a failed one is not retried.

    :attr:`retry_after_s` is the delay after which a retry may succeed.
    """

    failure: Failure
    retry_after_s: float = RETRY_AFTER_S


NO_SLOT_IN_TIME = Refused(
    Failure(ErrorKind.OVERLOADED, "no replica had a free slot before the deadline"),
    MIN_RETRY_AFTER_S,
)


class Waiter:
    """A call that waits for a slot of one of several replicas."""

    __slots__ = ("candidates", "deadline_s", "fingerprint", "query_class", "slot", "tenant")

    def __init__(
        self,
        query_class: str,
        tenant: str,
        fingerprint: str,
        deadline_s: float,
        candidates: list[BackendServer],
    ) -> None:
        self.query_class = query_class
        self.tenant = tenant
        self.fingerprint = fingerprint
        self.deadline_s = deadline_s
        self.candidates = candidates
        self.slot: asyncio.Future[BackendServer | Refused] | None = None


class ClassQueue:
    """The queued calls of one class, served round-robin by client account."""

    __slots__ = ("cost_s", "samples", "size", "tenants", "virtual_start_s", "weight")

    def __init__(self) -> None:
        self.weight = 1
        self.virtual_start_s = 0.0
        self.size = 0
        self.cost_s = INITIAL_COST_S
        self.samples = 0
        self.tenants: dict[str, deque[Waiter]] = {}

    def observe(self, took_s: float) -> None:
        """Update the average slot time of the class with a finished call."""
        weight = max(COST_EWMA_WEIGHT, 1 / (self.samples + 1))
        self.cost_s += weight * (took_s - self.cost_s)
        self.samples += 1

    def add(self, waiter: Waiter) -> None:
        """Append a call to the queue of its client account."""
        self.tenants.setdefault(waiter.tenant, deque()).append(waiter)
        self.size += 1

    def discard(self, waiter: Waiter) -> None:
        """Remove a call from any position."""
        waiting = self.tenants.get(waiter.tenant)
        if waiting is None or waiter not in waiting:
            return
        waiting.remove(waiter)
        self.size -= 1
        if not waiting:
            del self.tenants[waiter.tenant]

    def calls_ahead(self, tenant: str) -> int:
        """Return how many calls of the class would precede a new one of a client account."""
        own = len(self.tenants.get(tenant, ()))
        return sum(min(own + 1, len(waiting)) for waiting in self.tenants.values())

    def pop_startable(self, now_s: float) -> Waiter | None:
        """Remove and return the next call that can start; its client account moves to the back."""
        for tenant, waiting in list(self.tenants.items()):
            for position in range(min(LOOKAHEAD_CALLS, len(waiting))):
                waiter = waiting[position]
                if any(server.can_start_call(now_s) for server in waiter.candidates):
                    self.discard(waiter)
                    if tenant in self.tenants:
                        self.tenants[tenant] = self.tenants.pop(tenant)
                    return waiter
        return None

    def all_waiters(self) -> list[Waiter]:
        """Return every queued call."""
        return [waiter for waiting in self.tenants.values() for waiter in waiting]


class AdmissionQueue:
    """Weighted fair queueing between classes, round-robin between the client accounts of a class.

    Start-time fair queueing by slot time. A class that was idle resumes at the current virtual
    time, so it accumulates no credit; every backlogged class gets its weight, so none starves.
    """

    __slots__ = ("_chooser", "_classes", "_clock", "_policy", "_timer", "_virtual_time_s", "size")

    def __init__(self, chooser: ReplicaChooser, policy: Policy, clock: Callable[[], float]) -> None:
        self.size = 0
        self._chooser = chooser
        self._policy = policy
        self._clock = clock
        self._classes: dict[str, ClassQueue] = {}
        self._virtual_time_s = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def configure(self, document: Document) -> None:
        """Apply the configured weights."""
        for name, query_class in document.classes.items():
            self._class_queue(name).weight = query_class.weight

    async def acquire(self, waiter: Waiter) -> BackendServer | Refused:
        """Wait for a slot and return its server, which already counts the call as started."""
        now_s = self._clock()
        refusal = self._immediate_refusal(waiter, now_s)
        if refusal is not None:
            return refusal
        queue = self._class_queue(waiter.query_class)
        if self.size == 0:
            free = [server for server in waiter.candidates if server.can_start_call(now_s)]
            if free:
                self._charge_slot_time(queue)
                return self._reserve_slot(waiter, free, now_s)
        waiter.slot = asyncio.get_running_loop().create_future()
        if queue.size == 0:
            queue.virtual_start_s = max(queue.virtual_start_s, self._virtual_time_s)
        queue.add(waiter)
        self.size += 1
        self.dispatch()
        try:
            return await waiter.slot
        except asyncio.CancelledError:
            self._abandon(waiter, queue)
            raise

    def dispatch(self) -> None:
        """Assign free slots in the order of the classes' virtual start times."""
        now_s = self._clock()
        while self.size:
            waiter = self._pop_startable(now_s)
            if waiter is None:
                break
            self.size -= 1
            if waiter.slot.done():
                continue
            if self._is_too_late(waiter, now_s):
                waiter.slot.set_result(NO_SLOT_IN_TIME)
                continue
            free = [server for server in waiter.candidates if server.can_start_call(now_s)]
            self._charge_slot_time(self._class_queue(waiter.query_class))
            waiter.slot.set_result(self._reserve_slot(waiter, free, now_s))
        self._schedule_expiry()

    def observe(self, query_class: str, took_s: float) -> None:
        """Update the average slot time of a class with a finished call."""
        self._class_queue(query_class).observe(took_s)

    def _reserve_slot(
        self, waiter: Waiter, free: list[BackendServer], now_s: float
    ) -> BackendServer:
        server = self._chooser.choose(free, now_s)
        server.call_started(waiter.fingerprint)
        return server

    def _pop_startable(self, now_s: float) -> Waiter | None:
        waiting = [queue for queue in self._classes.values() if queue.size]
        if len(waiting) > 1:
            waiting.sort(key=lambda queue: queue.virtual_start_s)
        for queue in waiting:
            waiter = queue.pop_startable(now_s)
            if waiter is not None:
                return waiter
        return None

    def _charge_slot_time(self, queue: ClassQueue) -> None:
        queue.virtual_start_s = max(queue.virtual_start_s, self._virtual_time_s)
        self._virtual_time_s = queue.virtual_start_s
        queue.virtual_start_s += queue.cost_s / queue.weight

    def _abandon(self, waiter: Waiter, queue: ClassQueue) -> None:
        if waiter.slot.done() and not waiter.slot.cancelled():
            server = waiter.slot.result()
            if not isinstance(server, Refused):
                server.call_withdrawn(waiter.fingerprint)
                self.dispatch()
            return
        self._remove(waiter, queue)

    def _remove(self, waiter: Waiter, queue: ClassQueue) -> None:
        before = queue.size
        queue.discard(waiter)
        self.size -= before - queue.size

    def _immediate_refusal(self, waiter: Waiter, now_s: float) -> Refused | None:
        """Return why a call is refused without being queued, or none if it may be queued."""
        available = [server for server in waiter.candidates if server.is_available(now_s)]
        if not available:
            return _refuse(ErrorKind.NO_REPLICA, "no replica is in service", RETRY_AFTER_S)
        remaining_s = waiter.deadline_s - now_s
        queue = self._class_queue(waiter.query_class)
        cost_s = queue.cost_s if queue.samples >= MIN_COST_SAMPLES else 0.0
        if remaining_s <= MIN_TIME_LEFT_RATIO * cost_s:
            reason = (
                f"{remaining_s * 1000:.1f} ms remain; calls take {cost_s * 1000:.1f} ms on average"
            )
            return _refuse(ErrorKind.DEADLINE_TOO_SHORT, reason, MIN_RETRY_AFTER_S)
        if not self._policy.early_refusal:
            return None
        wait_s = self._expected_wait_s(waiter, queue, available, now_s)
        if wait_s + cost_s > remaining_s:
            reason = f"expected wait for a slot is {wait_s * 1000:.0f} ms"
            late_s = wait_s + cost_s - remaining_s
            return _refuse(ErrorKind.OVERLOADED, reason, late_s)
        return None

    def _expected_wait_s(
        self, waiter: Waiter, queue: ClassQueue, available: list[BackendServer], now_s: float
    ) -> float:
        backoff_s = min(server.backoff_left_s(now_s) for server in available)
        if self.size == 0:
            return backoff_s
        capacity = sum(server.concurrency_limit() for server in available)
        weights = sum(other.weight for other in self._classes.values() if other.size)
        if queue.size == 0:
            weights += queue.weight
        weight_fraction = queue.weight / weights
        return backoff_s + queue.calls_ahead(waiter.tenant) * queue.cost_s / (
            capacity * weight_fraction
        )

    def _expire_waiters(self) -> None:
        """Refuse the queued calls that can no longer finish in time."""
        self._timer = None
        now_s = self._clock()
        for queue in self._classes.values():
            for waiter in queue.all_waiters():
                if not self._is_too_late(waiter, now_s):
                    continue
                self._remove(waiter, queue)
                if not waiter.slot.done():
                    waiter.slot.set_result(NO_SLOT_IN_TIME)
        self.dispatch()

    def _is_too_late(self, waiter: Waiter, now_s: float) -> bool:
        """Return whether a call would probably miss its deadline even if it started now."""
        queue = self._class_queue(waiter.query_class)
        cost_s = queue.cost_s if queue.samples >= MIN_COST_SAMPLES else 0.0
        return waiter.deadline_s - now_s <= MIN_QUEUED_TIME_LEFT_RATIO * cost_s

    def _schedule_expiry(self) -> None:
        if self.size and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(EXPIRY_CHECK_INTERVAL_S, self._expire_waiters)

    def _class_queue(self, name: str) -> ClassQueue:
        if not self._policy.weighted_admission:
            name = SINGLE_CLASS
        queue = self._classes.get(name)
        if queue is None:
            queue = self._classes[name] = ClassQueue()
        return queue


def _refuse(kind: ErrorKind, reason: str, retry_after_s: float) -> Refused:
    return Refused(Failure(kind, reason), max(MIN_RETRY_AFTER_S, retry_after_s))


def eligible_replicas(
    servers: Iterable[BackendServer], collection: str, index_version: int
) -> list[BackendServer]:
    """Return the replicas that accept new calls and, as far as known, hold an index version."""
    return [
        server
        for server in servers
        if server.is_eligible() and server.serves(collection, index_version)
    ]
