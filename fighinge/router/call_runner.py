"""Single calls to backend servers, and the statistics that are taken from their results."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING

from fighinge.aggregator.base import CallFailure, CallFault
from fighinge.errors import Failure
from fighinge.router.crash_evidence import SentCall
from fighinge.router.exchange import BackendResponse, InterruptedResponse, RawResponse

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fighinge.router.backend import Backend
    from fighinge.router.backend_calls import BackendCalls
    from fighinge.router.crash_check import CrashCheck
    from fighinge.router.crash_suspects import CrashSuspects
    from fighinge.router.exchange import CallerRequest, Codec, ServerStatement
    from fighinge.router.limited_calls import CallKind
    from fighinge.router.reachability import Reachability
    from fighinge.router.typical_latency import TypicalLatencies

CallResult = BackendResponse | CallFailure

SILENT_CALL_S = 0.2  # a call that is given up later than this without an answer counts as failed
UNREACHED_FAULTS = frozenset(
    {CallFault.NOT_CONNECTED, CallFault.CONNECTION_LOST, CallFault.TIMEOUT}
)


class CallRunner:
    """Sends requests to chosen backend servers and records the results in their statistics."""

    __slots__ = (
        "_calls",
        "_clock",
        "_codec",
        "_crash_check",
        "_open",
        "_reachability",
        "crash_suspects",
        "typical_latencies",
    )

    def __init__(
        self,
        calls: BackendCalls,
        codec: Codec,
        typical_latencies: TypicalLatencies,
        crash_suspects: CrashSuspects,
        crash_check: CrashCheck,
        reachability: Reachability,
        clock: Callable[[], float],
    ) -> None:
        self._reachability = reachability
        self._calls = calls
        self._crash_check = crash_check
        self._codec = codec
        self._clock = clock
        self._open: set[asyncio.Task] = set()  # asyncio itself keeps weak references
        self.typical_latencies = typical_latencies
        self.crash_suspects = crash_suspects

    def start(
        self,
        request: CallerRequest,
        backend: Backend,
        latency_key: str,
        remaining_s: float,
        *,
        fingerprint: str,
        is_probe: bool,
        follows_loss: bool,
        is_idempotent: bool,
        kind: CallKind,
        may_send: Callable[[], bool] = lambda: True,
    ) -> asyncio.Task[CallResult]:
        """Count a call to a backend server at once, and send the request in a task.

        The server was chosen since it may get one more call, so the call counts from the choice.

        :param latency_key: key under which the latency is recorded
        :param remaining_s: time that the server may spend on the request, in seconds
        :param fingerprint: identifies the request among all attempts of all callers
        :param is_probe: whether the request is suspected to crash servers
        :param follows_loss: whether an earlier call of the same attempt was lost
        :param is_idempotent: whether the request may run more than once
        :param kind: why the call is made
        :param may_send: called once there is a connection; if false, nothing is sent
        :returns: the task, whose result is the decoded response or the failure of the call
        """
        started_s = self._clock()
        call_number = backend.start_call(
            self.typical_latencies.typical_s(latency_key), started_s, kind
        )
        record = backend.record
        sent_call = SentCall(
            fingerprint,
            request.request_id,
            record.service,
            record.run_name,
            started_s,
            is_probe,
            follows_loss,
        )
        has_started = False

        def may_send_now() -> bool:
            backend.connection_doubt.record_established()
            return may_send()

        def record_start() -> None:
            nonlocal has_started
            has_started = True

        send = partial(
            self._send,
            request,
            backend,
            latency_key,
            remaining_s,
            sent_call,
            call_number,
            is_idempotent,
            record_start,
            may_send_now,
        )
        task = asyncio.create_task(self._run(backend, call_number, send))
        self._open.add(task)
        task.add_done_callback(self._open.discard)

        def handle_end(ended: asyncio.Task[CallResult]) -> None:
            # Also called for a task that is cancelled before its first step.
            if ended.cancelled():
                now_s = self._clock()
                backend.cancel_call(call_number, now_s)
                if now_s - started_s >= SILENT_CALL_S:
                    self._reachability.record_failure(backend, now_s)
                if has_started and self.crash_suspects.record_cancelled(sent_call, now_s):
                    self._crash_check.start(backend)

        task.add_done_callback(handle_end)
        return task

    def try_connection(self, backend: Backend) -> None:
        """Open a connection without a request to a server whose last one has failed."""
        backend.connection_doubt.is_on_trial = True
        task = asyncio.create_task(self._try_connection(backend))
        self._open.add(task)
        task.add_done_callback(self._open.discard)

    async def _try_connection(self, backend: Backend) -> None:
        try:
            is_accepted = await self._calls.accepts_connections(backend.record.address)
        finally:
            backend.connection_doubt.is_on_trial = False
        if is_accepted:
            backend.connection_doubt.record_established()
        else:
            backend.record_refused_connection(self._clock())

    @staticmethod
    async def _run(
        backend: Backend, call_number: int, send: Callable[[], Awaitable[CallResult]]
    ) -> CallResult:
        """Return the result of a call; one that ends by an unexpected error no longer counts."""
        try:
            return await send()
        except Exception:
            backend.abandon_call(call_number)
            raise

    async def _send(
        self,
        request: CallerRequest,
        backend: Backend,
        latency_key: str,
        remaining_s: float,
        sent_call: SentCall,
        call_number: int,
        is_idempotent: bool,
        on_start: Callable[[], None],
        may_send: Callable[[], bool],
    ) -> CallResult:
        """Send a request to a backend server and return the result."""
        record = backend.record
        content = self._codec.encode_request(request, record.instance_id, remaining_s)
        raw = await self._calls.call(
            record.address,
            content,
            remaining_s,
            is_idempotent=is_idempotent,
            on_start=on_start,
            on_late_response=partial(self._record_late_response, backend),
            may_send=may_send,
        )
        statement = None
        if isinstance(raw, RawResponse | InterruptedResponse):
            statement = self._codec.decode_statement(raw)
            backend.record_statement(statement, self._clock())
        result: CallResult
        if isinstance(raw, CallFailure):
            result = raw
        else:
            decoded = self._codec.decode_response(request, raw)
            if isinstance(decoded, Failure):
                result = CallFailure(CallFault.BAD_ANSWER, decoded.reason)
            else:
                result = decoded
        now_s = self._clock()
        backend.finish_call(call_number, result, now_s)
        if not isinstance(raw, CallFailure) or isinstance(raw, InterruptedResponse):
            self._reachability.record_response(backend)
        elif raw.fault in UNREACHED_FAULTS:
            self._reachability.record_failure(backend, now_s)
        if statement is not None and _tells_limit(statement, raw, result):
            backend.limit.record_statement(statement, now_s)
        self._record_crash_evidence(sent_call, backend, result, now_s)
        if isinstance(result, BackendResponse) and result.is_success:
            self.typical_latencies.observe(latency_key, now_s - sent_call.started_s)
        return result

    def _record_late_response(self, backend: Backend, response: InterruptedResponse) -> None:
        """Record what a server says of itself in a response to a cancelled call."""
        statement = self._codec.decode_statement(response)
        now_s = self._clock()
        backend.record_statement(statement, now_s)
        if _tells_limit(statement, response, response):
            backend.limit.record_statement(statement, now_s)

    def _record_crash_evidence(
        self, call: SentCall, backend: Backend, result: CallResult, now_s: float
    ) -> None:
        if isinstance(result, BackendResponse) and not result.is_other_instance:
            self.crash_suspects.record_response(call, now_s, was_run=not result.was_not_run)
        elif isinstance(result, BackendResponse):
            self.crash_suspects.record_end(call.server, now_s)
        elif result.fault is CallFault.NOT_CONNECTED:
            self._crash_check.start(backend)
        elif result.fault is CallFault.CONNECTION_LOST:
            self.crash_suspects.record_lost_connection(call, now_s)
            self._crash_check.start(backend)


def _tells_limit(
    statement: ServerStatement, raw: RawResponse | InterruptedResponse, result: CallResult
) -> bool:
    """Return whether a response names its server's limit, or that there is none.

    The headers of a response that broke off may be incomplete, and one that belongs to another
    request may be old.
    """
    if isinstance(raw, InterruptedResponse):
        return statement.max_requests_per_s is not None
    return isinstance(result, BackendResponse) and not result.is_other_instance
