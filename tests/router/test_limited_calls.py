"""Tests of what the log says of servers that name a limit of their rate."""

from __future__ import annotations

import asyncio

import pytest

from fighinge.aggregator.base import CallFault
from fighinge.router.exchange import InterruptedResponse
from fighinge.router.limited_calls import REPORT_INTERVAL_S
from tests.router.builders import RouterFixture, answer, backend_record, error, route, table
from tests.virtual_time import run


def _limits_after(*results):
    """Return the limit of a server after each of these results, and the log."""

    async def send():
        router = RouterFixture()
        router.publish(table(route(max_attempts=1)), backend_record("i1"))
        backend = router.pool.service("s0").backends[0]
        limits = []
        for result in results:
            router.calls.script("i1", (0.001, result))
            await router.send()
            await asyncio.sleep(1.0)
            limits.append(backend.limit.max_requests_per_s)
        return limits, router.log

    return run(send())


def test_limit_is_heard_changed_and_taken_back_by_answers():
    limits, log = _limits_after(
        answer(), answer(Server_Limit="8"), answer(Server_Limit="6.5"), answer()
    )
    assert limits == [None, 8.0, 6.5, None]
    lines = [line for line in log.lines if line["event"] == "backend server limit"]
    assert (lines[0]["previous"], lines[0]["max_requests_per_s"]) == (None, 8.0)
    assert lines[-1]["max_requests_per_s"] is None


def test_unreadable_limit_is_logged_and_leaves_the_limit_as_it_is():
    limits, log = _limits_after(answer(Server_Limit="8"), answer(Server_Limit="lots"))
    assert limits == [8.0, 8.0]
    assert [line["unreadable"] for line in log.lines if "unreadable" in line] == ["", "lots"]


@pytest.mark.parametrize(
    "result",
    [
        answer(X_Request_Id="other"),
        InterruptedResponse(CallFault.CONNECTION_LOST, "reset", 200, (("X-Server-Stamp", "s"),)),
    ],
    ids=["of another request", "broken off"],
)
def test_response_that_may_lack_the_limit_does_not_take_it_back(result):
    limits, _ = _limits_after(answer(Server_Limit="8"), result)
    assert limits == [8.0, 8.0]


def test_error_takes_the_limit_back():
    limits, _ = _limits_after(answer(Server_Limit="8"), error())
    assert limits == [8.0, None]


def test_calls_to_a_limited_server_are_reported_by_kind_once_an_interval():
    async def send():
        router = RouterFixture()
        router.publish(table(route()), backend_record("i1"))
        router.calls.script("i1", (0.001, answer(Server_Limit="1000")))
        end_s = router.clock() + 2.5 * REPORT_INTERVAL_S
        while router.clock() < end_s:
            await router.send()
            await asyncio.sleep(0.01)
        return router.log

    log = run(send())
    lines = [line for line in log.lines if line["event"] == "calls to limited backend server"]
    assert len(lines) == 2
    assert lines[0]["first"] > 100
    assert lines[0]["retry"] == lines[0]["hedge"] == 0
