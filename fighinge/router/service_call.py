"""The calls of one request to one service: the first call, retries and hedges."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

import msgspec

from fighinge.aggregator.base import CallFailure, CallFault, proves_not_sent
from fighinge.errors import ErrorKind, Failure
from fighinge.router.call_trace import CallTrace, format_traces
from fighinge.router.connection_doubt import SLOW_CONNECTION_S, prefer_connected, servers_to_try
from fighinge.router.crash_suspects import request_fingerprint
from fighinge.router.exchange import BackendResponse
from fighinge.router.hedging import Hedging, UnsentReason
from fighinge.router.limited_calls import CallKind
from fighinge.router.metrics import SLOW_CONNECTIONS
from fighinge.router.no_server import no_server_failure
from fighinge.router.open_calls import OpenCalls
from fighinge.router.reached_servers import ReachedServers

if TYPE_CHECKING:
    from collections.abc import Callable

    from fighinge.router.backend import Backend
    from fighinge.router.call_runner import CallRunner
    from fighinge.router.exchange import CallerRequest
    from fighinge.router.open_calls import EndedCall
    from fighinge.router.pool import BackendPool, Service

BUSY_POLL_S = 0.005  # polling interval for a free connection, well below any latency
LAST_CALL_FAILURE_FACTOR = 10.0  # an answer without one shard loses a tenth of its value or more
LOW_BUDGET_FAILURE_FACTOR = 4.0  # a failure spends a call that another request needs
MAX_REPEAT_CALLS = 2  # if two servers lose half of their answers, four calls get 15 of 16
MIN_WAIT_S = 0.001  # a timer may run out just before its time by the clock
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

    ``_reached`` decides which servers may be called next; ``_tried`` are those that were called,
    for what they say of themselves; ``_has_lost`` says whether a connection was lost.
    """

    __slots__ = (
        "_call_runner",
        "_clock",
        "_connection_due_s",
        "_failed_response",
        "_fingerprint",
        "_has_lost",
        "_hedging",
        "_is_probe",
        "_limits",
        "_open_calls",
        "_pool",
        "_reached",
        "_request",
        "_started_s",
        "_tried",
        "_try_exclude",
        "_unsent_calls",
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
        self.trace = CallTrace(request.received_s)
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
        self._open_calls = OpenCalls(self._reached)
        self._connection_due_s = math.inf
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
        try:
            return await self._run()
        finally:
            self._open_calls.close()

    async def _run(self) -> BackendResponse | Failure:
        limits, calls = self._limits, self._open_calls
        while True:
            now_s = self._clock()
            if now_s >= limits.hard_deadline_s:
                return Failure(ErrorKind.DEADLINE_EXCEEDED, "no answer in time")
            if not calls.active and not self._resume(now_s):
                backend = self._next_backend(now_s)
                if isinstance(backend, BackendResponse | Failure):
                    return backend
                if backend is None:
                    await asyncio.sleep(BUSY_POLL_S)
                    continue
                self._start_call(backend, now_s, self._next_kind())
            hedge_s = self._hedge_s(now_s) if len(calls.active) == 1 else limits.hard_deadline_s
            next_s = min(hedge_s, limits.hard_deadline_s)
            if self._unsent() is not None:
                next_s = min(next_s, max(self._connection_due_s, now_s + MIN_WAIT_S))
            ended = await calls.wait(next_s - now_s)
            for call in ended:
                if self._handle_result(call):
                    return call.result
            if not ended:
                self._add_call(hedge_s, self._clock())

    def _start_call(self, backend: Backend, now_s: float, kind: CallKind) -> None:
        limits = self._limits
        self._tried.append(backend)
        self._started_s = now_s
        self._connection_due_s = now_s + SLOW_CONNECTION_S
        self.trace.start(backend, now_s)
        self._open_calls.start(
            backend,
            lambda may_send: self._call_runner.start(
                self._request,
                backend,
                limits.latency_key,
                limits.hard_deadline_s - now_s,
                fingerprint=self._fingerprint,
                is_probe=self._is_probe,
                follows_loss=self._has_lost,
                is_idempotent=limits.is_idempotent,
                kind=kind,
                may_send=may_send,
            ),
        )
        if self._pool.load_policy.is_on:
            for doubtful in servers_to_try(self.service.backends, now_s):
                self._call_runner.try_connection(doubtful)

    def _add_call(self, hedge_s: float, now_s: float) -> None:
        """Start a further call if one is due: a hedge only of a call that has sent the request."""
        unsent = self._unsent()
        if unsent is not None:
            if now_s >= self._connection_due_s:
                self._replace_slow_connection(unsent, now_s)
        elif len(self._open_calls.active) == 1 and now_s >= hedge_s:
            self._hedge(now_s)

    def _unsent(self) -> Backend | None:
        """Return a server to which the connection is not established, where that matters."""
        return self._open_calls.unsent() if self._pool.load_policy.is_on else None

    def _resume(self, now_s: float) -> bool:
        """Return to a call that is slow to connect, and look for another server at once."""
        self._connection_due_s = now_s
        return self._may_call_again(now_s) and self._open_calls.resume()

    def _next_kind(self) -> CallKind:
        return CallKind.RETRY if self._reached.calls_sent else CallKind.FIRST

    def _replace_slow_connection(self, slow: Backend, now_s: float) -> None:
        """Try another server for a call that has sent nothing; the one that connects first sends.

        This spends no retry budget, as only one request is sent.
        """
        slow.connection_doubt.record_slow(now_s)
        self._connection_due_s = now_s + SLOW_CONNECTION_S
        self._open_calls.set_aside(slow)
        backend = None
        if self._may_call_again(now_s):
            typical_s = self._call_runner.typical_latencies.typical_s(self._limits.latency_key)
            backend = self._choose(typical_s, now_s, is_urgent=self._is_urgent(now_s))
        if backend is None:
            self._open_calls.resume()
            return
        self.trace.note(f"{slow.record.instance_id} slow to connect")
        SLOW_CONNECTIONS.inc()
        self._start_call(backend, now_s, self._next_kind())

    def _next_backend(self, now_s: float) -> Backend | BackendResponse | Failure | None:
        """Return the next backend server, ``None`` while all are busy, or the final result."""
        if not self._may_call_again(now_s):
            return self._final_result()
        typical_s = self._call_runner.typical_latencies.typical_s(self._limits.latency_key)
        backend = self._choose(typical_s, now_s, is_urgent=self._is_urgent(now_s))
        if backend is None:
            return None if self._is_busy(now_s) else self._final_result()
        is_paid = self._open_calls.has_unspent_right or not self._reached.calls_sent
        if not is_paid and not self._acquire_retry(now_s):
            return self._final_result()
        return backend

    def _choose(self, typical_s: float, now_s: float, *, is_urgent: bool) -> Backend | None:
        """Choose a backend server; a failure weighs more if it is harder to recover from."""
        if self._reached.total_calls + 1 >= self._limits.max_attempts:
            failure_cost_factor = LAST_CALL_FAILURE_FACTOR
        else:
            spent = self.service.retry_budget.spent_fraction(self._pool.limit_share, now_s)
            failure_cost_factor = LOW_BUDGET_FAILURE_FACTOR * spent
        candidates = self._candidates()
        if self._pool.load_policy.is_on:
            candidates = prefer_connected(candidates, now_s, is_urgent=is_urgent)
        return self._pool.choose(
            candidates,
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
            self.trace.note("shard excluded to save the retry budget")
            return False
        if not budget.acquire_retry(limit_share, now_s):
            self.trace.note("retry budget exhausted")
            return False
        return True

    def _may_call_again(self, now_s: float) -> bool:
        unsent_calls = self._unsent_calls + self._open_calls.set_aside_count
        if self._reached.total_calls >= self._max_calls or unsent_calls >= MAX_UNSENT_CALLS:
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

    def _hedge(self, now_s: float) -> None:
        """Start a hedge, or record why it is not sent."""
        hedge = self._hedging.acquire(
            lambda typical_s: self._choose(typical_s, now_s, is_urgent=False),
            now_s,
            is_probe=self._is_probe,
            is_quarantined=self._is_quarantined(now_s),
            is_paid=self._open_calls.has_unspent_right,
        )
        if not isinstance(hedge, UnsentReason):
            self.trace.note("hedge")
            self._start_call(hedge, now_s, CallKind.HEDGE)
        elif self._hedging.record_unsent(hedge):
            self.trace.note(f"hedge not sent: {hedge.value}")

    def _handle_result(self, call: EndedCall) -> bool:
        """Record the result of a call and return whether it is the result of the request."""
        backend, result = call.backend, call.result
        typical_s = self._call_runner.typical_latencies.typical_s(self._limits.latency_key)
        self.trace.end(backend, result, self._clock(), typical_s)
        if call.was_set_aside or proves_not_sent(result):
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
        return no_server_failure(self._pool, self.service, now_s, is_urgent=self._is_urgent(now_s))
