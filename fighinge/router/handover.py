"""Runs a request's calls here or, while this router is cut off, hands the request to a peer."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

import msgspec

from fighinge.errors import ErrorKind, Failure
from fighinge.router.exchange import Answer, BackendResponse, CallerRequest, MergedAnswer

if TYPE_CHECKING:
    from collections.abc import Callable

    from fighinge.router.decision_log import DecisionLog
    from fighinge.router.pool import BackendPool
    from fighinge.router.reachability import Reachability

MAX_CHECK_AGE_S = 0.5  # bounds the checks while a service is down for all routers

RequestResult = MergedAnswer | BackendResponse | Failure


class RequestCall(Protocol):
    """The calls of one request to backend servers."""

    @property
    def may_have_run(self) -> bool:
        """Return whether a backend server may have run the request."""

    async def run(self) -> RequestResult:
        """Return the result; a cancelled run ends its calls."""

    def reached_servers(self) -> dict[str, tuple[str, ...]]:
        """Return the runs of servers that may have run the request, by the names of services.

        A run is named once for each call.
        """

    def acquire_repeat(self) -> bool:
        """Spend a retry at each service that may have run the request, if the budgets allow it."""

    def leaving_servers(self) -> tuple[str, ...]:
        """Return the runs of servers that were called and leave."""

    def wait_s(self, now_s: float) -> float | None:
        """Return the time until servers take a further request, if it is known."""

    def promise_return(self, now_s: float) -> None:
        """Record that the caller was told to return after :meth:`wait_s`."""

    def trace_text(self) -> str:
        """Return the unusual calls for the log."""


class PeerForwarder(Protocol):
    """Sends requests to peers."""

    def has_peer(self) -> bool:
        """Return whether a peer may take requests."""

    def probers(self, fingerprint: str, *, is_returning: bool) -> list[str]:
        """Return the peers that probe a suspect request before this router does, in order.

        :param is_returning: whether this router has just returned from a cut of its links
        """

    async def forward(
        self,
        request: CallerRequest,
        *,
        is_idempotent: bool,
        reached_servers: dict[str, tuple[str, ...]] | None = None,
    ) -> Answer | Failure:
        """Return the answer of a peer, or why there is none."""

    async def forward_to_first(
        self, request: CallerRequest, hosts: list[str]
    ) -> Answer | Failure | None:
        """Return the answer of the first peer that can be reached, or ``None`` if none can."""


class Handover:
    """Decides for each request whether this router or a peer serves it.

    A request that a peer has forwarded is served here, so that none makes more than one hop.
    """

    __slots__ = ("_clock", "_forwarder", "_log", "_pool", "_reachability")

    def __init__(
        self,
        reachability: Reachability,
        forwarder: PeerForwarder,
        pool: BackendPool,
        log: DecisionLog,
        clock: Callable[[], float],
    ) -> None:
        self._reachability = reachability
        self._forwarder = forwarder
        self._pool = pool
        self._log = log
        self._clock = clock

    async def run(
        self,
        call: RequestCall,
        request: CallerRequest,
        *,
        is_idempotent: bool,
        is_probe: bool = False,
    ) -> RequestResult | Answer:
        """Return the result of the calls, or the answer of a peer.

        :param is_probe: whether this router is the one that probes a suspect request
        """
        if request.is_forwarded or is_probe:
            return await call.run()
        if not self._reachability.is_cut_off:
            result = await self._run_until_cut_off(call, is_idempotent=is_idempotent)
            if result is not None and not (
                await self._is_due_to_links(result)
                and self._may_forward(call, is_idempotent=is_idempotent)
            ):
                return result
        elif not self._forwarder.has_peer():
            return await call.run()
        return await self._forward(call, request, is_idempotent=is_idempotent)

    async def forward_suspect(
        self, request: CallerRequest, fingerprint: str
    ) -> Answer | Failure | None:
        """Return the answer of the peer that probes a request, ``None`` if this router does.

        Peers learn of the end of a router only after a while. Until then, a prober that cannot be
        reached is passed over.
        """
        if request.is_forwarded:
            return None
        is_returning = self._reachability.is_returning
        hosts = self._forwarder.probers(fingerprint, is_returning=is_returning)
        if not hosts:
            return None
        started_s = self._clock()
        suspect = msgspec.structs.replace(request, is_suspect=True)
        answer = await self._forwarder.forward_to_first(suspect, hosts)
        if answer is None:
            self._log.write("no prober reached", request=request.request_id, probers=hosts)
            return None
        self._record_forwarded(
            "suspect request handed on", request, answer, started_s, may_have_run=False
        )
        return answer

    async def _run_until_cut_off(
        self, call: RequestCall, *, is_idempotent: bool
    ) -> RequestResult | None:
        """Return the result, or ``None`` if this router is cut off before and a peer may run it."""
        running = asyncio.ensure_future(call.run())
        cut_off = asyncio.ensure_future(self._reachability.wait_until_cut_off())
        try:
            await asyncio.wait({running, cut_off}, return_when=asyncio.FIRST_COMPLETED)
            if not running.done() and self._may_forward(call, is_idempotent=is_idempotent):
                return None
            return await running
        finally:
            running.cancel()
            cut_off.cancel()

    def _may_forward(self, call: RequestCall, *, is_idempotent: bool) -> bool:
        """Return whether a peer may run the request; if it may have run here, a retry is spent."""
        if not self._forwarder.has_peer():
            return False
        return not call.may_have_run or (is_idempotent and call.acquire_repeat())

    async def _is_due_to_links(self, result: RequestResult) -> bool:
        if not isinstance(result, Failure) or not self._reachability.is_suspected(self._clock()):
            return False
        return await self._reachability.causes_refusal(MAX_CHECK_AGE_S)

    async def _forward(
        self, call: RequestCall, request: CallerRequest, *, is_idempotent: bool
    ) -> RequestResult | Answer:
        """Return the answer of a peer.

        If all peers refuse while this router is returning, for instance since all servers were down
        and each router took itself for cut off, the request is served here.
        """
        started_s = self._clock()
        answer = await self._forwarder.forward(
            request, is_idempotent=is_idempotent, reached_servers=call.reached_servers()
        )
        self._record_forwarded(
            "request forwarded", request, answer, started_s, may_have_run=call.may_have_run
        )
        if not isinstance(answer, Failure) or not answer.properties.not_run:
            return answer
        if call.may_have_run:
            return Failure(ErrorKind.BACKEND_LOST, f"an earlier call may have run; {answer.reason}")
        if self._reachability.is_returning:
            return await call.run()
        return answer

    def _record_forwarded(
        self,
        event: str,
        request: CallerRequest,
        answer: Answer | Failure,
        started_s: float,
        *,
        may_have_run: bool,
    ) -> None:
        if isinstance(answer, Answer):
            self._pool.record_leaving(answer.leaving_servers)
        self._log.write(
            event,
            request=request.request_id,
            after_s=round(started_s - request.received_s, 4),
            took_s=round(self._clock() - started_s, 4),
            may_have_run=may_have_run,
            status=answer.status if isinstance(answer, Answer) else None,
            reason=answer.reason if isinstance(answer, Failure) else "",
        )
