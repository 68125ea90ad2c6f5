"""Black-box tests of router processes: signals, outages, and responses to callers."""

from __future__ import annotations

import asyncio
import heapq
import os
import signal
import subprocess
import sys
from collections import Counter
from functools import partial

import msgspec
import pytest

from fighinge.router.gather import RECORD_BYTES
from standins.shard_server import records
from tests.platform.fleet import (
    FRONT_PORT,
    SHARDS,
    START_TIMEOUT_S,
    CallerConnection,
    router_settings,
    run_on_fleet,
    wait_until,
)


@pytest.fixture
def with_fleet(tmp_path):
    """Return a function that runs a coroutine function on a new fleet."""

    return partial(run_on_fleet, tmp_path)


def test_gather_returns_the_greatest_records_of_all_shards(with_fleet):
    async def work(fleet):
        return await fleet.ask(0, "/all/x?y=1"), fleet.runs

    (request_id, reply), runs = with_fleet(work)
    assert reply.status == 200
    assert reply.headers["x-missing-parts"] == "0"
    stamps = reply.headers["x-part-stamps"].split(", ")
    assert len(set(stamps)) == SHARDS
    assert all(stamp.endswith(request_id) for stamp in stamps)
    everything = b"".join(records(f"shard{number}") for number in range(SHARDS))
    split = [everything[at : at + RECORD_BYTES] for at in range(0, len(everything), RECORD_BYTES)]
    assert reply.body == b"".join(heapq.nlargest(5, split))
    assert {run.target for run in runs} == {"/all/x?y=1"}


def test_method_target_and_body_are_forwarded_unchanged(with_fleet):
    async def work(fleet):
        body = bytes(range(256)) * 100
        return await fleet.ask(0, "/once/a%2Fb", method="POST", body=body), body, fleet.runs

    (request_id, reply), body, runs = with_fleet(work)
    assert reply.status == 200
    assert [(run.method, run.target, run.body) for run in runs] == [("POST", "/once/a%2Fb", body)]
    assert reply.headers["x-server-stamp"].endswith(request_id)


def test_unknown_route_gets_404_but_503_while_the_store_is_unreachable(with_fleet):
    async def work(fleet):
        known = (await fleet.ask(0, "/absent/x"))[1].status
        fleet.store.fault = "reset"
        await fleet.configure()
        await asyncio.sleep(1.5)
        return known, (await fleet.ask(0, "/absent/x"))[1].status

    assert with_fleet(work) == (404, 503)


def test_router_that_the_store_refuses_serves_a_new_route_within_the_time_limit(with_fleet):
    """A peer that reaches the store relays its view."""

    async def work(fleet):
        fleet.store.affected_callers = {fleet.address(1)}
        fleet.store.fault = "reset"
        await fleet.store.put("op/unrelated", {})
        await asyncio.sleep(1.0)
        added = {"name": "new", "host": "search.example", "prefix": "/new/", "kind": "idempotent"}
        await fleet.configure(routes=[added | {"service": "single", "timeout-ms": 1000}])
        await asyncio.sleep(2.5)
        losers = [
            number
            for number in (0, 1)
            if any(line["event"] == "source lost" for line in fleet.lines(number))
        ]
        return losers, [(await fleet.ask(number, "/new/x"))[1].status for number in (0, 1)]

    assert with_fleet(work) == ([1], [200, 200])


def test_router_that_starts_while_the_store_is_unreachable_follows_a_peer(with_fleet):
    async def work(fleet):
        fleet.store.affected_callers = {fleet.address(2)}
        fleet.store.fault = "busy"
        fleet.start_router(2)
        await fleet.ready(2)
        return (await fleet.ask(2, "/all/x"))[1].status

    assert with_fleet(work) == 200


def test_graceful_shutdown_loses_no_request(with_fleet):
    """Callers continue to use persistent connections until the process has ended."""

    async def work(fleet):
        results: Counter[str] = Counter()
        is_finished = asyncio.Event()

        async def call():
            connection = CallerConnection(fleet.address(0), FRONT_PORT)
            while not is_finished.is_set():
                _, data = fleet.request("/all/x")
                reply = await connection.send(data)
                results[str(reply.status) if not reply.was_refused else "refused"] += 1
                if reply.was_refused:
                    return
                if reply.headers.get("connection") == "close":
                    connection.close()
                await asyncio.sleep(0.02)

        callers = [asyncio.create_task(call()) for _ in range(5)]
        await asyncio.sleep(0.5)
        fleet.signal(0, signal.SIGTERM)
        await asyncio.sleep(0.7)
        resolved = await fleet.addresses(1)
        code = await fleet.exited(0, 6.0)
        is_finished.set()
        await asyncio.gather(*callers)
        return results, resolved, code, fleet.address(0)

    results, resolved, code, address = with_fleet(work)
    assert set(results) <= {"200", "refused"}
    assert results["200"] > 50
    assert not any(name.startswith(f"{address}:") for name in resolved)
    assert code == 0


def test_sighup_does_not_affect_callers(with_fleet):
    async def work(fleet):
        fleet.signal(0, signal.SIGHUP)
        await asyncio.sleep(0.3)
        return (await fleet.ask(0, "/one/x"))[1].status, fleet.processes[0].poll()

    assert with_fleet(work) == (200, None)


def test_sighup_during_the_start_does_not_end_the_router(tmp_path):
    """A pipe in place of the settings file holds the process until the signal has been sent."""
    path = tmp_path / "node.json"
    os.mkfifo(path)
    command = [sys.executable, "-m", "fighinge.platform", "--settings-file", str(path)]
    process = subprocess.Popen([*command, "--check-settings"], stderr=subprocess.DEVNULL)
    with open(path, "wb") as settings:
        process.send_signal(signal.SIGHUP)
        settings.write(msgspec.json.encode(router_settings("127.0.0.1", 0, "127.0.0.1:1")))
    assert process.wait(START_TIMEOUT_S) == 0


def test_killed_router_is_removed_from_the_addresses(with_fleet):
    async def work(fleet):
        async def has_addresses(routers):
            return len(await fleet.addresses(1)) == routers

        await wait_until(lambda: has_addresses(2), 5.0)
        fleet.signal(0, signal.SIGKILL)
        await wait_until(lambda: has_addresses(1), 7.0)
        return True

    assert with_fleet(work)


def test_evacuated_zone_gets_no_requests(with_fleet):
    async def work(fleet):
        await fleet.store.put("op/evacuate/z1", {})
        await asyncio.sleep(0.5)
        fleet.runs.clear()
        for _ in range(10):
            await fleet.ask(0, "/all/x")
        zones = {server.instance_id: server.zone for server in fleet.servers}
        return {zones[run.instance_id] for run in fleet.runs}

    assert with_fleet(work) <= {"z2", "z3"}


def test_server_of_another_service_at_a_reused_address_executes_nothing(with_fleet):
    async def work(fleet):
        old = next(server for server in fleet.servers if server.service == "single")
        old.instance_id, old.service = "i-other", "shard0"
        fleet.runs.clear()
        replies = [(await fleet.ask(0, "/once/x", method="POST"))[1].status for _ in range(10)]
        return replies, fleet.runs

    replies, runs = with_fleet(work)
    assert replies == [200] * 10
    assert not [run for run in runs if run.instance_id == "i-other"]


def test_outcome_of_each_request_is_logged(with_fleet):
    async def work(fleet):
        request_id, _ = await fleet.ask(0, "/one/x")
        await asyncio.sleep(0.5)
        return request_id, fleet.lines(0)

    request_id, lines = with_fleet(work)
    line = next(line for line in lines if line.get("request") == request_id)
    assert line["outcome"] == "passed on"
    assert {"version", "view_age_s", "took_s", "status"} <= line.keys()
