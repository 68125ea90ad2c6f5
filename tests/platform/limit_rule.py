"""Checks that backend servers get no more requests than the limits that they name allow."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from standins.server_events import Arrival, NamedLimit, ServerEvents
    from tests.platform.guarantees import RecordedExchange

STABILITY_WINDOW_S = 4.0  # after the first statement; only later arrivals count
WINDOW_S = 4.0
MARGIN_S = 0.5  # after a router has passed on a statement
RATE_FACTOR = 1.5
SLACK_REQUESTS = 5

ServerRun = tuple[str, int]


class LimitRule:
    """Counts the arrivals at each server that names a limit, in sliding windows.

    Counted are those from routers that had passed on the server's statement. ``is_disturbed`` tells
    whether a router was disturbed in a span of time, which excuses it.
    """

    def __init__(
        self,
        exchanges: Iterable[RecordedExchange],
        events: ServerEvents,
        is_disturbed: Callable[[int, float, float], bool],
    ) -> None:
        self._exchanges = {item.request_id: item for item in exchanges}
        self._events = events
        self._is_disturbed = is_disturbed

    def violations(self) -> list[str]:
        """Return a description of each server that got too many requests in some window."""
        statements: dict[ServerRun, list[NamedLimit]] = {}
        for item in self._events.limits:
            statements.setdefault((item.instance_id, item.started_ms), []).append(item)
        found = []
        for server, own in statements.items():
            named = [item for item in own if item.max_requests_per_s is not None]
            if named and (worst := self._worst_window(server, own, named)):
                found.append(worst)
        return found

    def _worst_window(
        self, server: ServerRun, statements: list[NamedLimit], named: list[NamedLimit]
    ) -> str | None:
        window: deque[Arrival] = deque()
        stated_s = [item.at_s for item in statements]
        worst, worst_excess = None, 0.0
        for arrival in self._counted_arrivals(server, named):
            window.append(arrival)
            while window[0].at_s <= arrival.at_s - WINDOW_S:
                window.popleft()
            first = max(0, bisect_left(stated_s, arrival.at_s - WINDOW_S) - 1)
            limit = _highest_limit(statements[first : bisect_right(stated_s, arrival.at_s)])
            allowed = RATE_FACTOR * WINDOW_S * limit + SLACK_REQUESTS
            if len(window) - allowed > worst_excess:
                worst_excess = len(window) - allowed
                worst = (
                    f"{server[0]}: {len(window)} requests in {WINDOW_S:g} s, limit {limit:g} a "
                    f"second, allowed {allowed:.0f}"
                )
        return worst

    def _counted_arrivals(self, server: ServerRun, named: list[NamedLimit]) -> Iterable[Arrival]:
        from_s = named[0].at_s + STABILITY_WINDOW_S
        told_s = self._told_s(named)
        for arrival in self._events.arrivals:
            exchange = self._exchanges.get(arrival.request_id)
            if exchange is None or (arrival.instance_id, arrival.started_ms) != server:
                continue
            counts_from_s = max(from_s, told_s.get(exchange.router, float("inf")) + MARGIN_S)
            if arrival.at_s >= counts_from_s and not self._is_disturbed(
                exchange.router, arrival.at_s - STABILITY_WINDOW_S, arrival.at_s
            ):
                yield arrival

    def _told_s(self, named: list[NamedLimit]) -> dict[int, float]:
        """Return when each router first passed on an answer that named the limit."""
        told_s: dict[int, float] = {}
        for item in named:
            exchange = self._exchanges.get(item.request_id)
            if exchange is not None and exchange.has_answer_of(item.instance_id):
                told_s.setdefault(exchange.router, exchange.done_s)
        return told_s


def _highest_limit(statements: Iterable[NamedLimit]) -> float:
    """Return the highest limit of some statements, infinite if one names none."""
    limits = [item.max_requests_per_s for item in statements]
    return max((float("inf") if limit is None else limit for limit in limits), default=float("inf"))
