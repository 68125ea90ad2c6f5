"""The calls of one request to one service: the first call, retries and hedges."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from fighinge.aggregator.base import CallFailure, CallFault, proves_not_sent
from fighinge.errors import ErrorKind, Failure
from fighinge.router.call_trace import describe_result, format_traces
from fighinge.router.crash_suspects import request_fingerprint
from fighinge.router.ended_tasks import EndedTasks
from fighinge.router.exchange import BackendResponse
from fighinge.router.hedging import Hedging, UnsentReason
from fighinge.router.limited_calls import CallKind
from fighinge.router.reached_servers import ReachedServers

if TYPE_CHECKING:
    from collections.abc import Callable

    from fighinge.router.backend import Backend
    from fighinge.router.call_runner import CallResult, CallRunner
    from fighinge.router.exchange import CallerRequest
    from fighinge.router.pool import BackendPool, Service

BUSY_POLL_S = 0.005  # polling interval for a free connection, well below any latency
SLOW_LOG_FACTOR = 2.0  # calls slower than this multiple of the typical latency are logged
LAST_CALL_FAILURE_FACTOR = 10.0  # an answer without one shard loses a tenth of its value or more
LOW_BUDGET_FAILURE_FACTOR = 4.0  # a failure spends a call that another request needs
MAX_REPEAT_CALLS = 2  # if two servers lose half of their answers, four calls get 15 of 16
MAX_REASON_CHARS = 60  # of the reason of an invalid answer in the log
MAX_UNSENT_CALLS = 4  # refused connections per request and service


class CallLimits(msgspec.Struct, frozen=True):
    """Limits of the calls that one request makes to a service.

    Requests with the same ``latency_key`` share a typical latency. An answer has its full value
    until ``soft_deadline_s`` and none after ``hard_deadline_s``, both on the monotonic clock. A
    ``priority`` of 0 is the most urgent one.
    """

    latency_key: str
    is_idempotent: bool
    max_attempts: int
    soft_deadline_s: float
    hard_deadline_s: float
    priority: int = 0


class ServiceCall:
    """Calls backend servers of a service until one answers, within the limits and the budget.

    A probe, for a request that is suspected to crash servers, is run by one server at most.

    ``trace`` lists for the log each call, its result and its start and end in milliseconds after
    the request's arrival. ``is_routine`` is true as long as there are only successful calls near
    the typical latency and no retry or hedge decisions.

    ``_reached`` decides which servers may be called next; ``_tried`` are those that were called,
    for what they say of themselves; ``_has_lost`` says whether a connection was lost.
    """

    __slots__ = (
        "_call_runner",
        "_clock",
        "_ended",
        "_failed_response",
        "_fingerprint",
        "_has_lost",
        "_hedging",
        "_in_flight",
        "_is_probe",
        "_limits",
        "_pool",
        "_reached",
        "_request",
        "_started_s",
        "_tried",
        "_try_exclude",
        "_unsent_calls",
        "is_routine",
        "service",
        "trace",
    )

    def __init__(
        self,
        request: CallerRequest,
        limits: CallLimits,
        service: Service,
        pool: BackendPool,
        call_runner: CallRunner,
        clock: Callable[[], float],
        may_hedge: Callable[[], bool] = lambda: True,
        try_exclude: Callable[[], bool] = lambda: False,
        *,
        is_probe: bool = False,
    ) -> None:
        self.service = service
        self.trace: list[str] = []
        self.is_routine = True
        self._in_flight: dict[Backend, float] = {}
        self._ended = EndedTasks()
        self._request = request
        self._fingerprint = request_fingerprint(request)
        self._limits = limits
        self._pool = pool
        self._call_runner = call_runner
        self._clock = clock
        self._hedging = Hedging(limits, service, pool, call_runner.typical_latencies, may_hedge)
        self._try_exclude = try_exclude
        self._is_probe = is_probe
        self._tried: list[Backend] = []
        self._reached = ReachedServers(request.reached_servers.get(service.name, ()))
        self._has_lost = False
        self._unsent_calls = 0
        self._started_s = request.received_s
        self._failed_response: BackendResponse | None = None

    def acquire_repeat(self) -> bool:
        """Spend a retry if a server may have run the request, and return whether it may be sent."""
        now_s = self._clock()
        budget = self.service.retry_budget
        return not self.may_have_run or budget.acquire_retry(self._pool.limit_share, now_s)

    def leaving_servers(self) -> tuple[str, ...]:
        """Return the runs of servers that were called and leave."""
        return tuple(backend.record.run_name for backend in self._tried if backend.is_leaving)

    def wait_s(self, now_s: float) -> float | None:
        """Return the time until a server takes a further call, if it is known.

        :returns: seconds, as :meth:`~fighinge.router.pool.BackendPool.wait_s`
        """
        return self._pool.wait_s(self.service, now_s)

    def promise_return(self, now_s: float) -> None:
        """Record that the caller was told to return after :meth:`wait_s`."""
        self._pool.promise_return(self.service, now_s)

    def trace_text(self) -> str:
        """Return the calls for the log, empty if all were routine."""
        return format_traces([self])

    @property
    def may_have_run(self) -> bool:
        """Return whether a backend server may have run the request."""
        return self._reached.may_have_run

    def reached_servers(self) -> dict[str, tuple[str, ...]]:
        """Return the servers that may have run the request, if any, by the service's name."""
        runs = self._reached.possible_runs()
        return {self.service.name: runs} if runs else {}

    async def run(self) -> BackendResponse | Failure:
        """Return the response to forward, or why there is none.

        An error response of a backend server is returned if no further call is possible.
        """
        self.service.retry_budget.record_request(self._clock())
        self.service.urgency.record(self._limits.priority, self._clock())
        pending: dict[asyncio.Task, Backend] = {}
        try:
            return await self._run(pending)
        finally:
            for task in pending:
                task.cancel()

    async def _run(self, pending: dict[asyncio.Task, Backend]) -> BackendResponse | Failure:
        limits = self._limits
        while True:
            now_s = self._clock()
            if now_s >= limits.hard_deadline_s:
                return Failure(ErrorKind.DEADLINE_EXCEEDED, "no answer in time")
            if not pending:
                backend = self._next_backend(now_s)
                if isinstance(backend, BackendResponse | Failure):
                    return backend
                if backend is None:
                    await asyncio.sleep(BUSY_POLL_S)
                    continue
                kind = CallKind.RETRY if self._reached.calls_sent else CallKind.FIRST
                self._start_call(backend, pending, now_s, kind)
            hedge_s = self._hedge_s(now_s) if len(pending) == 1 else limits.hard_deadline_s
            done = await self._ended.wait(min(hedge_s, limits.hard_deadline_s) - now_s)
            for task in done:
                backend = pending.pop(task)
                result = task.result()
                if self._handle_result(result, backend):
                    return result
            if not done and len(pending) == 1 and self._clock() >= hedge_s:
                self._hedge(pending, self._clock())

    def _start_call(
        self,
        backend: Backend,
        pending: dict[asyncio.Task, Backend],
        now_s: float,
        kind: CallKind,
    ) -> None:
        limits = self._limits
        self._tried.append(backend)
        self._reached.record_call(backend)
        self._started_s = now_s
        self._in_flight[backend] = now_s
        call = self._call_runner.start(
            self._request,
            backend,
            limits.latency_key,
            limits.hard_deadline_s - now_s,
            fingerprint=self._fingerprint,
            is_probe=self._is_probe,
            follows_loss=self._has_lost,
            is_idempotent=limits.is_idempotent,
            kind=kind,
        )
        call.add_done_callback(self._ended.add)
        pending[call] = backend

    def _next_backend(self, now_s: float) -> Backend | BackendResponse | Failure | None:
        """Return the next backend server, ``None`` while all are busy, or the final result."""
        if not self._may_call_again(now_s):
            return self._final_result()
        typical_s = self._call_runner.typical_latencies.typical_s(self._limits.latency_key)
        backend = self._choose(typical_s, now_s, is_urgent=self._is_urgent(now_s))
        if backend is None:
            return None if self._is_busy(now_s) else self._final_result()
        if self._reached.calls_sent and not self._acquire_retry(now_s):
            return self._final_result()
        return backend

    def _choose(self, typical_s: float, now_s: float, *, is_urgent: bool) -> Backend | None:
        """Choose a backend server; a failure weighs more if it is harder to recover from."""
        if self._reached.total_calls + 1 >= self._limits.max_attempts:
            failure_cost_factor = LAST_CALL_FAILURE_FACTOR
        else:
            spent = self.service.retry_budget.spent_fraction(self._pool.limit_share, now_s)
            failure_cost_factor = LOW_BUDGET_FAILURE_FACTOR * spent
        return self._pool.choose(
            self._candidates(),
            typical_s,
            now_s,
            failure_cost_factor,
            patience_s=self._limits.soft_deadline_s - now_s,
            is_urgent=is_urgent,
        )

    def _candidates(self) -> list[Backend]:
        return self._reached.candidates(self.service.backends, self._limits.max_attempts)

    @property
    def _max_calls(self) -> int:
        """Return the maximum number of calls, which may exceed the number of servers called.

        A request that another router handed on gets one call, however many it got there: that
        router was cut off and may have lost them all.
        """
        max_calls = self._limits.max_attempts
        if self._limits.is_idempotent:
            max_calls += MAX_REPEAT_CALLS
        return max(max_calls, len(self._reached.earlier_calls) + 1)

    def _acquire_retry(self, now_s: float) -> bool:
        """Spend a retry, unless the budget is low and the answer can do without this shard."""
        budget, limit_share = self.service.retry_budget, self._pool.limit_share
        if budget.is_low(limit_share, now_s) and self._try_exclude():
            self._add_trace("shard excluded to save the retry budget")
            return False
        if not budget.acquire_retry(limit_share, now_s):
            self._add_trace("retry budget exhausted")
            return False
        return True

    def _may_call_again(self, now_s: float) -> bool:
        if self._reached.total_calls >= self._max_calls or self._unsent_calls >= MAX_UNSENT_CALLS:
            return False
        if self._is_quarantined(now_s) or (self._is_probe and self.may_have_run):
            return False
        return self._limits.is_idempotent or not self.may_have_run

    def _is_quarantined(self, now_s: float) -> bool:
        return self._call_runner.crash_suspects.is_quarantined(self._fingerprint, now_s)

    def _is_busy(self, now_s: float) -> bool:
        """Return whether a candidate is unusable only because all its connections are in use."""
        is_urgent = self._is_urgent(now_s)
        return any(
            backend.takes_calls(now_s, is_urgent=is_urgent) for backend in self._candidates()
        )

    def _is_urgent(self, now_s: float) -> bool:
        return self.service.urgency.is_most_urgent(self._limits.priority, now_s)

    def _hedge_s(self, now_s: float) -> float:
        """Return the time at which the call in flight is hedged."""
        limits = self._limits
        if not limits.is_idempotent or self._reached.total_calls >= self._max_calls:
            return limits.hard_deadline_s
        return self._hedging.due_s(self._started_s, now_s)

    def _hedge(self, pending: dict[asyncio.Task, Backend], now_s: float) -> None:
        """Start a hedge, or record why it is not sent."""
        hedge = self._hedging.acquire(
            lambda typical_s: self._choose(typical_s, now_s, is_urgent=False),
            now_s,
            is_probe=self._is_probe,
            is_quarantined=self._is_quarantined(now_s),
        )
        if not isinstance(hedge, UnsentReason):
            self._add_trace("hedge")
            self._start_call(hedge, pending, now_s, CallKind.HEDGE)
        elif self._hedging.record_unsent(hedge):
            self._add_trace(f"hedge not sent: {hedge.value}")

    def _handle_result(self, result: CallResult, backend: Backend) -> bool:
        """Record the result of a call and return whether it is the result of the request."""
        self._trace_result(backend, result)
        if proves_not_sent(result):
            self._reached.record_not_sent(backend)
            self._unsent_calls += 1
            return False
        if isinstance(result, CallFailure):
            self._has_lost |= result.fault is CallFault.CONNECTION_LOST
            if result.fault is not CallFault.TIMEOUT:
                self._reached.record_failed(backend)
            return False
        if result.was_not_run:
            self._reached.record_not_run(backend)
            return False
        if result.is_success:
            return True
        self._reached.record_failed(backend)
        if not result.signature or 200 <= result.status < 300:
            return False
        self._failed_response = result
        return result.status < 500 or not self._limits.is_idempotent

    def in_flight_trace(self) -> list[str]:
        """Return trace entries of the calls in flight."""
        return [
            f"{backend.record.instance_id} open {self._offset_ms(started_s)}-"
            for backend, started_s in self._in_flight.items()
        ]

    def _add_trace(self, note: str) -> None:
        self.is_routine = False
        self.trace.append(note)

    def _trace_result(self, backend: Backend, result: CallResult) -> None:
        now_s = self._clock()
        started_s = self._in_flight.pop(backend)
        logged_above_s = SLOW_LOG_FACTOR * self._call_runner.typical_latencies.typical_s(
            self._limits.latency_key
        )
        is_success = isinstance(result, BackendResponse) and result.is_success
        self.is_routine = self.is_routine and is_success and now_s - started_s <= logged_above_s
        times = f"{self._offset_ms(started_s)}-{self._offset_ms(now_s)}"
        entry = f"{backend.record.instance_id} {describe_result(result)} {times}"
        if isinstance(result, CallFailure) and result.fault is CallFault.BAD_ANSWER:
            entry += f" ({result.reason[:MAX_REASON_CHARS]})"
        self.trace.append(entry)

    def _offset_ms(self, at_s: float) -> int:
        return round(1000 * (at_s - self._request.received_s))

    def _final_result(self) -> BackendResponse | Failure:
        """Return the result if no further call is possible."""
        if self._failed_response is not None:
            return self._failed_response
        if self.may_have_run:
            return Failure(ErrorKind.BACKEND_LOST, "no backend server answered")
        if self._is_quarantined(self._clock()):
            return Failure(ErrorKind.QUARANTINED, "the request crashes backend servers")
        if self._reached.calls_sent:
            return Failure(ErrorKind.OVERLOADED, "all backend servers refused the request")
        now_s = self._clock()
        is_urgent = self._is_urgent(now_s)
        if any(
            backend.limit.is_reached(now_s, is_urgent=is_urgent)
            for backend in self.service.backends
        ):
            return Failure(ErrorKind.OVERLOADED, "backend servers are at the limit that they name")
        if self._pool.wait_s(self.service, now_s):
            return Failure(ErrorKind.OVERLOADED, "all backend servers want a pause")
        return Failure(ErrorKind.NO_REPLICA, "no backend server is in service")
