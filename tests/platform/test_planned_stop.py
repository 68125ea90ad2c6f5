"""Tests that a router process which is told to stop leaves no request without an answer."""

from __future__ import annotations

import asyncio
import signal

from tests.platform.fleet import (
    FRONT_PORT,
    HOST,
    STOP_TIMEOUT_S,
    CallerConnection,
    RouterFleet,
    run_on_fleet,
)

LATE_S = 4.2  # after SIGTERM, in the second half of the grace
EARLY_S = 0.6  # after SIGTERM; the stand-in caller then outwaits the grace
LONG_SERVER_S = 4.0  # keeps the router in its grace
VERY_LONG_SERVER_S = 8.0
LONG_ROUTE = {
    "name": "long",
    "prefix": "/long/",
    "kind": "non_idempotent",
    "service": "single",
    "host": HOST,
    "timeout-ms": 9000,
    "latency-target-ms": 300,
    "max-attempts": 2,
}


class StopRun:
    """Stops the only router while a long request is in flight; another connection is open."""

    def __init__(self, fleet: RouterFleet, long_server_s: float = LONG_SERVER_S) -> None:
        self._fleet = fleet
        self._long_server_s = long_server_s
        self._callers = [CallerConnection(fleet.address(0), FRONT_PORT) for _ in range(2)]

    async def run(self, server_s: float, caller_timeout_ms: int):
        """Send a request late in the grace.

        :param server_s: time that servers take for it
        :returns: its response, the number of its runs and the response to the long request
        """
        fleet = self._fleet
        await fleet.configure(routes=[LONG_ROUTE])
        await asyncio.sleep(1.0)
        for caller in self._callers:
            assert (await caller.send(fleet.request("/one/first")[1])).status == 200
        for server in fleet.servers:
            server.service_time_s = self._long_server_s
        _, data = fleet.request("/long/x", method="POST", caller_timeout_ms=9000)
        fleet.signal(0, signal.SIGTERM)
        await asyncio.sleep(EARLY_S)
        sending = asyncio.create_task(self._callers[0].send(data))
        await asyncio.sleep(LATE_S - EARLY_S)
        for server in fleet.servers:
            server.service_time_s = server_s
        request_id, data = fleet.request("/once/x", caller_timeout_ms=caller_timeout_ms)
        reply = await self._callers[1].send(data)
        long_reply = await sending
        await fleet.exited(0, STOP_TIMEOUT_S)
        for caller in self._callers:
            caller.close()
        return reply, sum(run.request_id == request_id for run in fleet.runs), long_reply


def test_request_that_comes_late_in_the_grace_and_may_outlast_it_is_refused_unrun(tmp_path):
    reply, runs, long_reply = run_on_fleet(
        tmp_path, lambda fleet: StopRun(fleet).run(1.5, 1900), routers=1
    )
    assert (reply.status, runs) == (503, 0)
    assert reply.headers["connection"] == "close"
    assert "retry-after" in reply.headers
    assert long_reply.status == 200


def test_short_request_that_comes_late_in_the_grace_is_served(tmp_path):
    reply, runs, _ = run_on_fleet(tmp_path, lambda fleet: StopRun(fleet).run(0.01, 500), routers=1)
    assert (reply.status, runs) == (200, 1)


def test_request_in_flight_at_the_end_of_the_grace_gets_an_answer_that_promises_nothing(tmp_path):
    _, _, long_reply = run_on_fleet(
        tmp_path, lambda fleet: StopRun(fleet, VERY_LONG_SERVER_S).run(0.01, 500), routers=1
    )
    assert (long_reply.status, "retry-after" in long_reply.headers) == (502, False)
