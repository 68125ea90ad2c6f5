"""Tests that router processes heed changes that follow a silence of the platform's store."""

from __future__ import annotations

import asyncio

import pytest

from tests.platform.fleet import HOST, run_on_fleet

SILENT_S = 4.5
STABLE_S = 4.0
DUE_S = 3.0
JUDGED_S = 2.0
REQUEST_INTERVAL_S = 0.05


async def _silence_all_watches(fleet) -> None:
    """Let the store be silent when all routers have just sent their next watch."""
    await fleet.configure()
    await fleet.list_server(await fleet.add_server("single", "z1"))
    await asyncio.sleep(0.25)
    fleet.store.fault = "silent"
    await asyncio.sleep(SILENT_S)
    fleet.store.fault = ""
    await asyncio.sleep(STABLE_S)


async def _services_and_servers_of_requests(fleet) -> tuple[set[str], set[str]]:
    """Send requests to all routers; return the services and the servers that got them."""
    fleet.events.arrivals.clear()
    end_s = asyncio.get_running_loop().time() + JUDGED_S
    while asyncio.get_running_loop().time() < end_s:
        for number in fleet.processes:
            await fleet.ask(number, "/one/x/")
        await asyncio.sleep(REQUEST_INTERVAL_S)
    servers = {item.instance_id for item in fleet.events.arrivals}
    services = {server.service for server in fleet.servers if server.instance_id in servers}
    return services, servers


@pytest.mark.parametrize("is_draining", [True, False])
def test_server_that_leaves_after_a_silence_of_the_store_gets_no_late_request(
    is_draining, tmp_path
):
    async def work(fleet):
        await _silence_all_watches(fleet)
        leaving = next(server for server in fleet.servers if server.service == "single")
        key = f"servers/{leaving.instance_id}"
        if is_draining:
            await fleet.store.put(key, leaving.store_value("draining"))
        else:
            await fleet.store.delete(key)
        await asyncio.sleep(DUE_S)
        _, servers = await _services_and_servers_of_requests(fleet)
        return servers, leaving.instance_id

    servers, leaving = run_on_fleet(tmp_path, work)
    assert servers and leaving not in servers


# A watch that was sent into a silence hid the next version for half a minute from all routers.
def test_version_that_follows_a_silence_of_the_store_is_in_force_in_time(tmp_path):
    async def work(fleet):
        await _silence_all_watches(fleet)
        moved = {"name": "moved", "prefix": "/one/x/", "kind": "idempotent", "service": "shard0"}
        await fleet.configure(routes=[{"host": HOST, "max-attempts": 2} | moved])
        await asyncio.sleep(DUE_S)
        services, _ = await _services_and_servers_of_requests(fleet)
        return services

    assert run_on_fleet(tmp_path, work) == {"shard0"}
