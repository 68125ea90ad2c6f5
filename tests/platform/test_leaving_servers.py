"""Tests that router processes heed what backend servers say of themselves in their answers."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest

from tests.platform.fleet import run_on_fleet

DRAIN_S = 3.0
REQUEST_INTERVAL_S = 0.02
PAUSE_MARGIN_S = 0.5
MAX_REQUESTS_IN_PAUSE = 2


async def _ask_for(fleet, path: str, duration_s: float) -> dict[str, tuple[int, float, int]]:
    """Send requests to both routers; return the router, the start and the status of each."""
    clock = asyncio.get_running_loop().time
    sent = {}
    end_s = clock() + duration_s

    async def call(router):
        while clock() < end_s:
            started_s = clock()
            request_id, reply = await fleet.ask(router, path)
            sent[request_id] = (router, started_s, reply.status)
            await asyncio.sleep(REQUEST_INTERVAL_S)

    await asyncio.gather(*(call(number) for number in (0, 0, 1, 1)))
    return sent


def _late_arrivals(fleet, sent, limit_s: float) -> int:
    """Count arrivals sent longer than a limit after their router had the server's statement."""
    stated_s: dict[tuple[int, str], float] = {}
    for item in fleet.events.leavings:
        stated_s.setdefault((sent[item.request_id][0], item.instance_id), item.at_s)
    return sum(
        sent[item.request_id][1] > stated_s.get((router, item.instance_id), float("inf")) + limit_s
        for item in fleet.events.arrivals
        for router in [sent[item.request_id][0]]
    )


@pytest.mark.parametrize("path", ["/one/x", "/all/x"])
@pytest.mark.parametrize("store_fault", ["", "silent"])
def test_server_that_says_it_leaves_gets_no_request_after_the_drain_time(
    path, store_fault, tmp_path
):
    async def work(fleet):
        fleet.store.fault = store_fault
        for server in fleet.servers:
            server.is_leaving = server.zone == "z1"
        sent = await _ask_for(fleet, path, DRAIN_S + 2.0)
        return _late_arrivals(fleet, sent, DRAIN_S), {status for _, _, status in sent.values()}

    assert run_on_fleet(tmp_path, work) == (0, {200})


def test_late_write_of_a_leaving_servers_record_does_not_return_it_to_service(tmp_path):
    async def work(fleet):
        leaving = next(server for server in fleet.servers if server.service == "single")
        key = f"servers/{leaving.instance_id}"
        await fleet.store.put(key, leaving.store_value("draining"))
        await asyncio.sleep(1.0)
        await fleet.store.put(key, leaving.store_value("ready"))
        await asyncio.sleep(1.0)
        fleet.events.arrivals.clear()
        await _ask_for(fleet, "/one/x", 1.0)
        return {item.instance_id for item in fleet.events.arrivals} & {leaving.instance_id}

    assert run_on_fleet(tmp_path, work) == set()


def test_request_is_refused_at_once_if_all_servers_say_that_they_leave(tmp_path):
    async def work(fleet):
        clock = asyncio.get_running_loop().time
        for server in fleet.servers:
            server.is_leaving = True
        await _ask_for(fleet, "/one/x", 1.0)
        started_s = clock()
        _, reply = await fleet.ask(0, "/one/x")
        return reply.status, "retry-after" in reply.headers, clock() - started_s < 0.5

    assert run_on_fleet(tmp_path, work) == (503, True, True)


def test_server_that_wants_a_pause_gets_at_most_two_requests_until_its_end(tmp_path):
    async def work(fleet):
        server = next(server for server in fleet.servers if server.service == "single")
        server.retry_after_s = 3.0
        sent = await _ask_for(fleet, "/one/x", 4.0)
        first_s: dict[int, float] = {}
        for item in fleet.events.refusals:
            first_s.setdefault(sent[item.request_id][0], item.at_s)
        counts = Counter(
            sent[item.request_id][0]
            for item in fleet.events.arrivals
            if item.instance_id == server.instance_id
            and PAUSE_MARGIN_S < item.at_s - first_s[sent[item.request_id][0]] < 3.0
        )
        return max(counts.values(), default=0), {status for _, _, status in sent.values()}

    most, statuses = run_on_fleet(tmp_path, work)
    assert most <= MAX_REQUESTS_IN_PAUSE
    assert statuses == {200}
