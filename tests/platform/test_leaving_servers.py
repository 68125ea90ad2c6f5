"""Tests that router processes heed what backend servers say of themselves in their answers."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest

from tests.platform.fleet import HOST, run_on_fleet

DRAIN_S = 3.0
REQUEST_INTERVAL_S = 0.02
HEED_S = 0.3  # a statement in an answer takes one step of the event loop, on a busy machine more
PAUSE_S = 2.0
PAUSE_MARGIN_S = 0.5
AT_ONCE_S = 0.5
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
        stated_s.setdefault((item.router, item.instance_id), item.at_s)
    return sum(
        sent[item.request_id][1]
        > stated_s.get((item.router, item.instance_id), float("inf")) + limit_s
        for item in fleet.events.arrivals
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


def _servers(fleet, service: str):
    return [server for server in fleet.servers if server.service == service]


@pytest.mark.parametrize("path", ["/one/x", "/all/x"])
@pytest.mark.parametrize("fault", ["error", "cut", "foreign"])
def test_statement_on_an_answer_that_is_no_success_is_heeded(fault, path, tmp_path):
    async def work(fleet):
        for server in fleet.servers:
            if server.zone == "z1":
                server.is_leaving, server.fault = True, fault
        sent = await _ask_for(fleet, path, 1.5)
        return _late_arrivals(fleet, sent, HEED_S), {status for _, _, status in sent.values()}

    assert run_on_fleet(tmp_path, work) == (0, {200})


def test_hedges_avoid_servers_that_leave(tmp_path):
    async def work(fleet):
        for server in fleet.servers:
            server.is_leaving = server.zone == "z1"
        sent = await _ask_for(fleet, "/all/x", 1.0)
        for server in fleet.servers:
            server.service_time_s = 0.5 if server.zone == "z2" else 0.005
        sent |= await _ask_for(fleet, "/all/x", 2.0)
        z3 = {server.instance_id for server in fleet.servers if server.zone == "z3"}
        hedged = sum(item.instance_id in z3 for item in fleet.events.arrivals)
        return _late_arrivals(fleet, sent, HEED_S), hedged > 0

    assert run_on_fleet(tmp_path, work) == (0, True)


def test_new_run_under_the_identifier_of_a_server_that_left_gets_requests(tmp_path):
    async def work(fleet):
        server, *others = _servers(fleet, "single")
        server.restart_delay_s, server.is_leaving = 0.5, True
        await _ask_for(fleet, "/one/x", 1.0)
        server.crash("")
        for other in others:
            other.is_leaving = True
        await asyncio.sleep(PAUSE_S)
        sent = await _ask_for(fleet, "/one/x", 2.0)
        runs = {
            item.started_ms
            for item in fleet.events.arrivals
            if item.instance_id == server.instance_id and item.request_id in sent
        }
        return runs, sum(status == 200 for _, _, status in sent.values()) > 0.9 * len(sent)

    assert run_on_fleet(tmp_path, work) == ({2}, True)


def test_only_the_shards_whose_servers_all_leave_are_missed(tmp_path):
    async def work(fleet):
        clock = asyncio.get_running_loop().time
        results = []
        for shard in ("shard0", "shard1"):
            for server in _servers(fleet, shard):
                server.is_leaving = True
            await _ask_for(fleet, "/all/x", 1.0)
            started_s = clock()
            _, reply = await fleet.ask(0, "/all/x")
            missing = reply.headers.get("x-missing-parts")
            results.append((reply.status, missing, clock() - started_s < AT_ONCE_S))
        return results

    assert run_on_fleet(tmp_path, work) == [(200, "1", True), (503, None, True)]


def test_caller_is_told_of_the_end_of_the_pause_and_served_after_it(tmp_path):
    async def work(fleet):
        clock = asyncio.get_running_loop().time
        for server in _servers(fleet, "single"):
            server.retry_after_s = PAUSE_S
        await _ask_for(fleet, "/one/x", 0.5)
        started_s = clock()
        _, reply = await fleet.ask(0, "/one/x")
        took_s, wait_s = clock() - started_s, float(reply.headers["retry-after"])
        for server in _servers(fleet, "single"):
            server.retry_after_s = None
        await asyncio.sleep(wait_s)
        _, again = await fleet.ask(0, "/one/x")
        return reply.status, took_s < AT_ONCE_S, 0 < wait_s <= PAUSE_S, again.status

    assert run_on_fleet(tmp_path, work) == (429, True, True, 200)


@pytest.mark.parametrize(
    "text", ["0", "-1", "nan", "soon", "0.25", "Fri, 04 Dec 2026 09:00:00 GMT"]
)
def test_pause_that_is_short_or_unreadable_keeps_no_server_out_of_service(text, tmp_path):
    async def work(fleet):
        for server in _servers(fleet, "single"):
            server.retry_after_s = text
        await _ask_for(fleet, "/one/x", 0.5)
        for server in _servers(fleet, "single"):
            server.retry_after_s = None
        await asyncio.sleep(PAUSE_S)
        sent = await _ask_for(fleet, "/one/x", 1.0)
        return {status for _, _, status in sent.values()}

    assert run_on_fleet(tmp_path, work) == {200}


def test_pause_of_any_length_is_bounded(tmp_path):
    """The value is no time that a server could mean; the others serve, and its router goes on."""

    async def work(fleet):
        _servers(fleet, "single")[0].retry_after_s = "1e308"
        sent = await _ask_for(fleet, "/one/x", 1.0)
        await asyncio.sleep(PAUSE_MARGIN_S)
        fleet.events.arrivals.clear()
        later = await _ask_for(fleet, "/one/x", 1.0)
        paused = _servers(fleet, "single")[0].instance_id
        late = sum(item.instance_id == paused for item in fleet.events.arrivals)
        return late, {status for _, _, status in [*sent.values(), *later.values()]}

    assert run_on_fleet(tmp_path, work) == (0, {200})


def test_restarted_router_learns_again_which_servers_leave(tmp_path):
    """Each caller's first request may reach such a server, which says again that it leaves."""

    async def work(fleet):
        for server in fleet.servers:
            server.is_leaving = server.zone == "z1"
        await _ask_for(fleet, "/one/x", 1.0)
        fleet.processes[0].kill()
        await fleet.exited(0, PAUSE_S)
        fleet.start_router(0)
        await fleet.ready(0)
        fleet.events.arrivals.clear()
        fleet.events.leavings.clear()
        sent = await _ask_for(fleet, "/one/x", 1.0)
        return _late_arrivals(fleet, sent, HEED_S), {status for _, _, status in sent.values()}

    assert run_on_fleet(tmp_path, work) == (0, {200})


def test_withdrawn_route_stays_withdrawn_at_a_router_that_starts_without_the_store(tmp_path):
    async def work(fleet):
        moved = {"name": "moved", "prefix": "/moved/", "kind": "idempotent", "service": "single"}
        await fleet.configure(routes=[{"host": HOST, "max-attempts": 2} | moved])
        await asyncio.sleep(1.0)
        _, before = await fleet.ask(0, "/moved/x")
        await fleet.configure()
        await asyncio.sleep(1.0)
        fleet.store.fault = "silent"
        fleet.processes[0].kill()
        await fleet.exited(0, PAUSE_S)
        fleet.start_router(0)
        await fleet.ready(0)
        _, after = await fleet.ask(0, "/moved/x")
        return before.status, after.status

    assert run_on_fleet(tmp_path, work) == (200, 404)
