"""Tests that router processes follow a store that has come back from an older copy."""

from __future__ import annotations

import asyncio

from tests.platform.fleet import HOST, run_on_fleet

AWAY_S = 1.0
APPLY_S = 3.0
REQUESTS = 20


async def _services_of_requests(fleet) -> set[str]:
    """Send requests to all routers, and return the services that got them."""
    fleet.events.arrivals.clear()
    for _ in range(REQUESTS):
        for number in fleet.processes:
            await fleet.ask(number, "/one/x/")
    servers = {item.instance_id for item in fleet.events.arrivals}
    return {server.service for server in fleet.servers if server.instance_id in servers}


def test_version_that_follows_a_restored_copy_is_in_force_in_time(tmp_path):
    async def work(fleet):
        copied = fleet.store.copy()
        await fleet.configure()
        await asyncio.sleep(1.0)
        fleet.store.fault = "silent"
        await asyncio.sleep(AWAY_S)
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
