"""Single calls to backend servers, and the statistics that are taken from their results."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from fighinge.aggregator.base import CallFailure, CallFault
from fighinge.errors import Failure
from fighinge.router.crash_suspects import request_fingerprint
from fighinge.router.exchange import BackendResponse, InterruptedResponse, RawResponse

if TYPE_CHECKING:
    from collections.abc import Callable

    from fighinge.router.backend import Backend
    from fighinge.router.backend_calls import BackendCalls
    from fighinge.router.crash_suspects import CrashSuspects
    from fighinge.router.exchange import CallerRequest, Codec
    from fighinge.router.typical_latency import TypicalLatencies

CallResult = BackendResponse | CallFailure


class CallRunner:
    """Sends requests to chosen backend servers and records the results in their statistics."""

    __slots__ = ("_calls", "_clock", "_codec", "crash_suspects", "typical_latencies")

    def __init__(
        self,
        calls: BackendCalls,
        codec: Codec,
        typical_latencies: TypicalLatencies,
        crash_suspects: CrashSuspects,
        clock: Callable[[], float],
    ) -> None:
        self._calls = calls
        self._codec = codec
        self._clock = clock
        self.typical_latencies = typical_latencies
        self.crash_suspects = crash_suspects

    async def run(
        self,
        request: CallerRequest,
        backend: Backend,
        latency_key: str,
        remaining_s: float,
        *,
        is_idempotent: bool,
    ) -> CallResult:
        """Send a request to a backend server and return the result.

        :param latency_key: key under which the latency is recorded
        :param remaining_s: time that the server may spend on the request, in seconds
        :param is_idempotent: whether the request may run more than once
        :returns: the decoded response, or the failure of the call
        """
        started_s = self._clock()
        call_number = backend.start_call(self.typical_latencies.typical_s(latency_key), started_s)
        content = self._codec.encode_request(request, backend.record.instance_id, remaining_s)
        try:
            raw = await self._calls.call(
                backend.record.address, content, remaining_s, is_idempotent=is_idempotent
            )
        except asyncio.CancelledError:
            backend.cancel_call(call_number, self._clock())
            raise
        if isinstance(raw, RawResponse | InterruptedResponse):
            backend.record_statement(self._codec.decode_statement(raw), self._clock())
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
        self._record_crash_evidence(request, backend.record.run_name, result, now_s)
        if isinstance(result, BackendResponse) and result.is_success:
            self.typical_latencies.observe(latency_key, now_s - started_s)
        return result

    def _record_crash_evidence(
        self, request: CallerRequest, server: str, result: CallResult, now_s: float
    ) -> None:
        if not isinstance(result, CallFailure):
            self.crash_suspects.record_response(server, now_s)
        elif result.fault is CallFault.CONNECTION_LOST:
            fingerprint = request_fingerprint(request)
            self.crash_suspects.record_lost_connection(
                server, fingerprint, request.request_id, now_s
            )
        elif result.fault is CallFault.NOT_CONNECTED:
            self.crash_suspects.record_refused_connection(server, now_s)
