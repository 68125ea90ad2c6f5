"""The limits of the calls that a request makes: deadlines, attempts and priority."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fighinge.router.service_call import CallLimits

if TYPE_CHECKING:
    from fighinge.router.exchange import CallerRequest
    from fighinge.router.model import ClientAccount, Route
    from fighinge.router.typical_latency import TypicalLatencies

ANSWER_MARGIN_S = 0.015  # time to send the answer before the caller gives up
DEFAULT_RTT_S = 0.006  # for callers of the same region without a kernel estimate
PROCESSING_S = 0.009  # a request takes 6 ms of a core and sometimes waits for another request
LATE_REQUEST_FACTOR = 4.0  # late requests get the time that nearly all calls need
MAX_ROUTE_TIMEOUTS = 512  # beyond this, the known caller timeouts are reset


class CallLimitsRule:
    """Sets the limits of requests by their routes, accounts and callers."""

    __slots__ = ("_max_caller_timeout_s", "_typical_latencies")

    def __init__(self, typical_latencies: TypicalLatencies) -> None:
        self._typical_latencies = typical_latencies
        self._max_caller_timeout_s: dict[str, float] = {}

    def limits(
        self, route: Route, account: ClientAccount | None, request: CallerRequest, now_s: float
    ) -> CallLimits:
        """Return the limits of the calls of a request.

        The latency target counts from the caller's start. The time that it has spent on name
        resolution, the connection and earlier attempts is the difference between its timeout and
        the longest timeout seen on the route. A request that can no longer meet the target gets
        the time that most calls need.
        """
        max_timeout_s = max(
            self._max_caller_timeout_s.get(route.name, 0.0), request.caller_timeout_s
        )
        if len(self._max_caller_timeout_s) >= MAX_ROUTE_TIMEOUTS:
            self._max_caller_timeout_s.clear()
        self._max_caller_timeout_s[route.name] = max_timeout_s
        spent_s = max_timeout_s - request.caller_timeout_s
        remaining_s = min(request.caller_timeout_s, route.timeout_s) - ANSWER_MARGIN_S
        hard_deadline_s = request.received_s + remaining_s
        rtt_s = request.rtt_s or DEFAULT_RTT_S
        target_s = request.received_s + route.latency_target_s - rtt_s - PROCESSING_S - spent_s
        typical_s = self._typical_latencies.typical_s(route.name)
        if target_s < now_s + typical_s:
            target_s = now_s + LATE_REQUEST_FACTOR * typical_s
        return CallLimits(
            latency_key=route.name,
            is_idempotent=route.is_idempotent,
            max_attempts=max(1, route.max_attempts - request.lost_peers),
            soft_deadline_s=min(target_s, hard_deadline_s),
            hard_deadline_s=hard_deadline_s,
            priority=_priority(route, account),
        )


def _priority(route: Route, account: ClientAccount | None) -> int:
    if account is None or account.priority is None:
        return route.priority
    return account.priority
