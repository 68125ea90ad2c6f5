"""Tests that router processes follow a store that has come back from an older copy."""

from __future__ import annotations

import asyncio
import signal

import pytest

from tests.platform.fleet import HOST, run_on_fleet
from tests.platform.store_faults import restore_older_copy, return_from_copy

SILENT_S = 1.0
APPLY_S = 3.0
LOG_S = 0.5  # log lines are written every 0.1 s
REQUESTS = 20


async def _services_of_requests(fleet) -> set[str]:
    """Send requests to all routers, and return the services that got them."""
    fleet.events.arrivals.clear()
    for _ in range(REQUESTS):
        for number in fleet.processes:
            await fleet.ask(number, "/one/x/")
    servers = {item.instance_id for item in fleet.events.arrivals}
    return {server.service for server in fleet.servers if server.instance_id in servers}


# Routers ignored the store's era, and missed all versions after its return from a copy.
def test_version_that_follows_a_restored_copy_is_in_force_in_time(tmp_path):
    async def work(fleet):
        copied = fleet.store.copy()
        await fleet.configure()
        await asyncio.sleep(1.0)
        fleet.store.fault = "silent"
        await asyncio.sleep(SILENT_S)
        await fleet.store.restore(copied)
        fleet.store.fault = ""
        moved = {"name": "moved", "prefix": "/one/x/", "kind": "idempotent", "service": "shard0"}
        await fleet.configure(routes=[{"host": HOST, "max-attempts": 2} | moved])
        await asyncio.sleep(APPLY_S)
        first = await _services_of_requests(fleet)
        await fleet.configure()
        await asyncio.sleep(APPLY_S)
        return first, await _services_of_requests(fleet)

    assert run_on_fleet(tmp_path, work) == ({"shard0"}, {"single"})


async def _publish_moved(fleet) -> None:
    moved = {"name": "moved", "prefix": "/one/x/", "kind": "idempotent", "service": "shard0"}
    await fleet.configure(routes=[{"host": HOST, "max-attempts": 2} | moved])


def _complete_reads(fleet) -> int:
    """Return how often all routers together have read a topic from the store.

    A read that the store refuses while it is away is not counted: the outage costs it, not the
    return from a copy.
    """
    lines = [line for number in fleet.processes for line in fleet.lines(number)]
    return sum(line["event"] == "view replaced" and line["origin"] == "store" for line in lines)


def test_each_restore_costs_at_most_one_read_of_each_topic_by_each_router(tmp_path):
    routers, topics, restores = 3, 2, 2

    async def work(fleet):
        await asyncio.sleep(LOG_S)
        before = _complete_reads(fleet)
        for _ in range(restores):
            await restore_older_copy(fleet, 1.0)
        await asyncio.sleep(SILENT_S)
        reads = _complete_reads(fleet) - before
        await _publish_moved(fleet)
        await asyncio.sleep(APPLY_S)
        return reads, await _services_of_requests(fleet)

    reads, services = run_on_fleet(tmp_path, work, routers=routers)
    assert services == {"shard0"}
    assert reads <= routers * topics * restores


@pytest.mark.parametrize("disturbance", ["cut off from the store", "killed", "stopped"])
def test_version_that_follows_a_restored_copy_is_in_force_at_a_disturbed_router(
    disturbance, tmp_path
):
    async def work(fleet):
        copied = fleet.store.copy()
        await fleet.configure()
        await asyncio.sleep(1.0)
        if disturbance != "cut off from the store":
            fleet.signal(0, signal.SIGKILL if disturbance == "killed" else signal.SIGTERM)
            await fleet.exited(0, 7.0)
            fleet.start_router(0)
        await return_from_copy(fleet, copied)
        if disturbance == "cut off from the store":
            fleet.store.fault, fleet.store.affected_callers = "silent", {fleet.address(0)}
            await asyncio.sleep(APPLY_S)
            fleet.store.fault, fleet.store.affected_callers = "", set()
        await fleet.ready(0)
        await _publish_moved(fleet)
        await asyncio.sleep(APPLY_S)
        return await _services_of_requests(fleet)

    assert run_on_fleet(tmp_path, work) == {"shard0"}
