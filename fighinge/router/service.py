"""Request handling: routing, limits, backend calls, and the log line of the outcome."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from fighinge.errors import ERROR_PROPERTIES, ErrorKind, Failure
from fighinge.router.call_limits import ANSWER_MARGIN_S, CallLimitsRule
from fighinge.router.crash_suspects import request_fingerprint
from fighinge.router.decision_log import describe_error
from fighinge.router.exchange import Answer, BackendResponse, CallerRequest, MergedAnswer
from fighinge.router.gather import GatherCall
from fighinge.router.metrics import observe_request
from fighinge.router.probe_turns import ProbeTurns
from fighinge.router.quota_gate import QuotaGate, UnlimitedQuota
from fighinge.router.routing import RequestRouting
from fighinge.router.service_call import ServiceCall
from fighinge.router.view import Topic
from fighinge.router.weighted_targets import WeightedTargets

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from fighinge.router.call_runner import CallRunner
    from fighinge.router.decision_log import DecisionLog
    from fighinge.router.exchange import Codec
    from fighinge.router.handover import Handover, RequestCall, RequestResult
    from fighinge.router.model import ClientAccount, Route
    from fighinge.router.pool import BackendPool
    from fighinge.router.view import View

RETRY_AFTER_NOT_READY_S = 0.3  # a starting process knows the configuration after this time
RETRY_AFTER_STOP_S = 0.01  # other routers serve the request at once
RETRY_AFTER_NO_REPLICA_S = 0.5  # crashed backend servers return after some seconds, others sooner
RETRY_AFTER_OVERLOADED_S = 0.1  # a backend server's queue drains within this time
MAX_PROBE_WAIT_S = 0.5  # a probe that is lost and the evidence of it take less
HTTP_ERROR = 400  # the lowest status of a failure


class RouterService:
    """Answers requests by the routing table that was active when they arrived."""

    __slots__ = (
        "_call_limits",
        "_call_runner",
        "_clock",
        "_codec",
        "_handover",
        "_log",
        "_pool",
        "_probe_turns",
        "_quota_gate",
        "_routing",
        "_targets",
        "_view",
        "in_flight",
    )

    def __init__(
        self,
        view: View,
        pool: BackendPool,
        call_runner: CallRunner,
        handover: Handover,
        codec: Codec,
        log: DecisionLog,
        clock: Callable[[], float],
        quota_gate: QuotaGate | None = None,
        *,
        uses_accounts: bool = False,
    ) -> None:
        self._quota_gate = quota_gate or UnlimitedQuota()
        self._routing = RequestRouting(view, uses_accounts=uses_accounts)
        self._call_limits = CallLimitsRule(call_runner.typical_latencies)
        self._handover = handover
        self._view = view
        self._pool = pool
        self._call_runner = call_runner
        self._codec = codec
        self._log = log
        self._clock = clock
        self._probe_turns = ProbeTurns()
        self._targets = WeightedTargets()
        self.in_flight = 0

    async def answer(self, request: CallerRequest | Failure) -> Answer:
        """Return the final answer to a request."""
        if isinstance(request, Failure):
            return self._codec.encode_failure(request, None)
        self.in_flight += 1
        try:
            return await self._answer(request)
        except Exception as error:
            self._log.write(
                "request failed unexpectedly",
                request=request.request_id,
                path=request.path,
                error=describe_error(error),
            )
            failure = Failure(ErrorKind.INTERNAL, "an unexpected error, see this router's log")
            return self._finish(request, None, self._view.version, failure, "")
        finally:
            self.in_flight -= 1

    async def _answer(self, request: CallerRequest) -> Answer:
        version = self._view.version
        route = self._routing.find_route(request)
        if isinstance(route, Failure):
            return self._finish(request, None, version, route, "")
        if self._routing.has_accounts():
            account = self._routing.find_account(request, route)
            if isinstance(account, Failure):
                return self._finish(request, route, version, account, "")
            request = self._codec.with_account(request, account.name if account else "")
            wait_s = await self._quota_wait_s(account, request)
            if wait_s is not None:
                failure = Failure(ErrorKind.QUOTA_EXCEEDED, "the quota of the account is used up")
                return self._finish(request, route, version, failure, "", wait_s)
        elif self._routing.uses_accounts:
            request = self._codec.with_account(request, "")
        return await self._answer_admitted(request, route, version)

    async def _quota_wait_s(
        self, account: ClientAccount | None, request: CallerRequest
    ) -> float | None:
        """Return how long the account has to wait for room, ``None`` if the request is admitted.

        The router that forwarded a request has counted it.
        """
        if account is None or request.is_forwarded:
            return None
        return await self._quota_gate.acquire(account, request, self._clock())

    async def _answer_admitted(self, request: CallerRequest, route: Route, version: int) -> Answer:
        fingerprint = request_fingerprint(request)
        suspects = self._call_runner.crash_suspects
        if suspects.is_quarantined(fingerprint, self._clock()):
            return self._finish(request, route, version, _quarantined(), "")
        if self._suspect_services(request, route, fingerprint):
            return await self._answer_suspect(request, route, version, fingerprint)
        needs_canary = route.gather is not None and suspects.needs_canary(
            fingerprint, route.gather.shards, self._clock()
        )
        return await self._serve(request, route, version, frozenset(), needs_canary=needs_canary)

    async def _answer_suspect(
        self, request: CallerRequest, route: Route, version: int, fingerprint: str
    ) -> Answer:
        """Answer a request that may crash servers: one router probes it, attempt by attempt.

        While this router knows of no server that would run it, no peer is asked to probe it.
        """
        if not self._has_proven_server(route):
            return await self._serve(request, route, version, route.service_names())
        forwarded = await self._handover.forward_suspect(request, fingerprint)
        if forwarded is not None:
            return self._finish(request, route, version, forwarded, "")
        spent_s = self._clock() - request.received_s
        patience_s = min(request.caller_timeout_s, route.timeout_s) - ANSWER_MARGIN_S - spent_s
        if not await self._probe_turns.acquire(fingerprint, min(patience_s, MAX_PROBE_WAIT_S)):
            failure = Failure(ErrorKind.OVERLOADED, "the request may crash servers, and is probed")
            return self._finish(request, route, version, failure, "")
        was_lost = False
        try:
            now_s = self._clock()
            if self._call_runner.crash_suspects.is_quarantined(fingerprint, now_s):
                return self._finish(request, route, version, _quarantined(), "")
            services = self._suspect_services(request, route, fingerprint)
            if services:
                self._log_probe(request, fingerprint, now_s)
                was_lost = True  # also if the attempt is cancelled
                answer = await self._serve(request, route, version, services)
                was_lost = answer.status >= HTTP_ERROR and not answer.is_not_run
                return answer
        finally:
            self._probe_turns.release(fingerprint, was_lost=was_lost)
        return await self._serve(request, route, version, frozenset())

    def _has_proven_server(self, route: Route) -> bool:
        """Return whether a server of the route takes calls and is not known to be unreachable."""
        now_s = self._clock()
        services = map(self._pool.service, route.service_names())
        return any(
            backend.takes_calls(now_s) and not backend.is_unproven
            for service in services
            for backend in service.backends
        )

    def _log_probe(self, request: CallerRequest, fingerprint: str, now_s: float) -> None:
        self._log.write(
            "suspect request probed",
            request=request.request_id,
            fingerprint=fingerprint,
            **self._call_runner.crash_suspects.describe(fingerprint, now_s),
        )

    def _suspect_services(
        self, request: CallerRequest, route: Route, fingerprint: str
    ) -> Collection[str]:
        """Return the services whose servers a request may crash, as far as this router knows.

        Without an own crash on record, a peer's suspicion concerns all services of the route.
        """
        suspects, now_s = self._call_runner.crash_suspects, self._clock()
        services = suspects.suspect_services(fingerprint, now_s)
        if not services and request.is_suspect:
            return suspects.unanswered_since(
                fingerprint, route.service_names(), request.received_s, now_s
            )
        return services

    async def _serve(
        self,
        request: CallerRequest,
        route: Route,
        version: int,
        suspect_services: Collection[str],
        *,
        needs_canary: bool = False,
    ) -> Answer:
        """Answer a request by calls to backend servers, or by a peer if those are out of reach."""
        call = self._new_call(request, route, suspect_services, needs_canary=needs_canary)
        if call is None:
            failure = Failure(ErrorKind.NO_REPLICA, "the route has no target")
            return self._finish(request, route, version, failure, "")
        result = await self._handover.run(
            call, request, is_idempotent=route.is_idempotent, is_probe=bool(suspect_services)
        )
        now_s = self._clock()
        wait_s = call.wait_s(now_s)
        if wait_s and isinstance(result, Failure) and result.properties.not_run:
            call.promise_return(now_s)
        answer = self._finish(request, route, version, result, call.trace_text(), wait_s)
        if request.is_forwarded:
            return msgspec.structs.replace(answer, leaving_servers=call.leaving_servers())
        return answer

    def _new_call(
        self,
        request: CallerRequest,
        route: Route,
        suspect_services: Collection[str],
        *,
        needs_canary: bool,
    ) -> RequestCall | None:
        """Return the calls of a request, or ``None`` if its route has no target."""
        account = self._view.accounts.find_by_name(request.account)
        limits = self._call_limits.limits(route, account, request, self._clock())
        if route.gather is not None:
            return GatherCall(
                request,
                route.gather,
                limits,
                self._pool,
                self._call_runner,
                self._clock,
                suspect_services,
                needs_canary=needs_canary,
            )
        service = self._targets.choose(route)
        if service is None:
            return None
        return ServiceCall(
            request,
            limits,
            self._pool.service(service),
            self._pool,
            self._call_runner,
            self._clock,
            is_probe=service in suspect_services,
        )

    def refuse_for_stop(self, request: CallerRequest) -> Answer:
        """Refuse a request that this router may not finish before it ends; it has not run."""
        failure = Failure(ErrorKind.NOT_READY, "this router stops")
        self._finish(request, None, self._view.version, failure, "")
        return self._codec.encode_failure(failure, RETRY_AFTER_STOP_S)

    def end_for_stop(self, request: CallerRequest) -> Answer:
        """Answer a request in flight at the end of this router; a server may have run it."""
        failure = Failure(ErrorKind.BACKEND_LOST, "this router stops before the answer")
        return self._finish(request, None, self._view.version, failure, "")

    def caller_disconnected(self, request: CallerRequest) -> None:
        """Log that a caller has closed its connection before the answer."""
        self._log.write(
            "caller disconnected",
            request=request.request_id,
            path=request.path,
            after_s=round(self._clock() - request.received_s, 4),
        )

    def _finish(
        self,
        request: CallerRequest,
        route: Route | None,
        version: int,
        result: RequestResult | Answer,
        trace: str,
        wait_s: float | None = None,
    ) -> Answer:
        """Encode, count and log the outcome of a request.

        :param wait_s: seconds until backend servers take a further call, if they have told
        """
        took_s = self._clock() - request.received_s
        if isinstance(result, MergedAnswer):
            answer = self._codec.encode_merged(result)
            outcome = "answered" if not result.missing_shards else "partly answered"
        elif isinstance(result, BackendResponse):
            answer = self._codec.encode_forwarded(result)
            outcome = "passed on"
        elif isinstance(result, Answer):
            answer, outcome = result, "answered by a peer"
        else:
            answer = self._codec.encode_failure(result, _retry_after_s(result, wait_s or 0.0))
            outcome = result.kind.value
        route_name = route.name if route else "none"
        observe_request(route_name, outcome, took_s)
        fields: dict[str, object] = {}
        if isinstance(result, MergedAnswer):
            fields["missing"] = result.missing_shards
        elif isinstance(result, Failure):
            fields["reason"] = result.reason
        if trace:
            fields["fingerprint"] = request_fingerprint(request)
            fields["calls"] = trace
        if request.is_forwarded:
            fields["forwarded"] = True
        if request.account:
            fields["account"] = request.account
        self._log.write(
            "request",
            request=request.request_id,
            route=route_name,
            path=request.path,
            outcome=outcome,
            status=answer.status,
            took_s=round(took_s, 4),
            patience_s=request.caller_timeout_s,
            way_s=round(request.rtt_s, 4),
            version=version,
            view_age_s=round(self._view.age_s(Topic.CONFIGURATION, self._clock()), 2),
            **fields,
        )
        return answer


def _quarantined() -> Failure:
    return Failure(ErrorKind.QUARANTINED, "the request crashes backend servers")


def _retry_after_s(failure: Failure, wait_s: float) -> float | None:
    """Return the ``Retry-After`` of a failed request, in seconds, if it has not run.

    A request that returns before a server takes a further call would be refused again.
    """
    properties = ERROR_PROPERTIES[failure.kind]
    if not (properties.may_resend and properties.not_run):
        return None
    if failure.kind is ErrorKind.QUOTA_EXCEEDED:
        return wait_s
    if failure.kind is ErrorKind.OVERLOADED:
        return max(RETRY_AFTER_OVERLOADED_S, wait_s)
    if failure.kind is ErrorKind.NO_REPLICA:
        return max(RETRY_AFTER_NO_REPLICA_S, wait_s)
    return RETRY_AFTER_NOT_READY_S
