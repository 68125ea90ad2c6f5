"""Tests that router processes keep their memory and their callers beside endless responses."""

from __future__ import annotations

import asyncio
import re
import statistics
from pathlib import Path
from typing import TYPE_CHECKING

import pytest

from standins.endless_server import ENDLESS, EndlessServer
from tests.platform.fleet import HOST, run_on_fleet

if TYPE_CHECKING:
    from collections.abc import Sequence

SERVERS = 50
FIRST_PORT = 9300
DURATION_S = 10.0
REQUEST_INTERVAL_S = 0.02
MAX_ROUTER_MB = 300  # of a process on the users' machines
MIN_SERVED_RATIO = 0.99
LATENCY_TARGET_S = 0.3  # of the routes
FLOOD_RATE = 10  # 400,000 chunks of one byte a second from each server
FLOODING_SERVERS = 7


def _peak_mb(process) -> float:
    """Return the largest memory that a process has had, in MB."""
    status = Path(f"/proc/{process.pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) / 1024


async def _start_endless_servers(
    fleet, kinds: Sequence[str], number: int, chunk_rate: int = 1
) -> list[EndlessServer]:
    """Start and list endless servers of some kinds, as a service with a route of its own.

    :param chunk_rate: factor of the chunks that a server of that kind sends in a time
    """
    servers = []
    for at in range(number):
        kind = kinds[at % len(kinds)]
        rate = chunk_rate if kind == "chunks" else 1
        server = EndlessServer(f"e-{at}", "endless", kind, f"z{at % 3 + 1}", rate=rate)
        await server.start(FIRST_PORT + at, f"127.{fleet.network}.8.1")
        await fleet.list_server(server)
        servers.append(server)
    route = {"name": "endless", "prefix": "/endless/", "kind": "idempotent", "service": "endless"}
    limits = {"host": HOST, "timeout-ms": 2000, "latency-target-ms": 300, "max-attempts": 2}
    await fleet.configure(routes=[limits | route])
    await asyncio.sleep(1.0)
    return servers


async def _call_all(fleet, endless: list[EndlessServer]) -> dict[str, list[tuple[int, float]]]:
    """Send requests to the endless servers and to others; return status and time of each."""
    clock = asyncio.get_running_loop().time
    results: dict[str, list[tuple[int, float]]] = {"/one/x": [], "/all/x": [], "/endless/x": []}
    end_s = clock() + DURATION_S

    async def call(router, path):
        while clock() < end_s:
            sent_s = clock()
            _, reply = await fleet.ask(router, path)
            results[path].append((reply.status, clock() - sent_s))
            await asyncio.sleep(REQUEST_INTERVAL_S)

    callers = [call(router, path) for router in (0, 1) for path in ("/one/x", "/all/x")]
    callers += [call(router, "/endless/x") for router in (0, 1) for _ in endless]
    await asyncio.gather(*callers)
    for server in endless:
        server.stop()
    return results


@pytest.mark.parametrize("chunk_rate", [1, FLOOD_RATE])
def test_endless_responses_of_many_servers_at_once_are_bounded(chunk_rate, tmp_path):
    async def work(fleet):
        endless = await _start_endless_servers(fleet, list(ENDLESS), SERVERS, chunk_rate)
        results = await _call_all(fleet, endless)
        sound = [status for status, _ in results["/one/x"] + results["/all/x"]]
        peaks = [_peak_mb(process) for process in fleet.processes.values()]
        return (
            [peak for peak in peaks if peak > MAX_ROUTER_MB],
            all(server.calls for server in endless),
            sum(status == 200 for status in sound) >= MIN_SERVED_RATIO * len(sound),
            {status for status, _ in results["/endless/x"]} & {0, 200},
            [process.poll() for process in fleet.processes.values()],
        )

    assert run_on_fleet(tmp_path, work) == ([], True, True, set(), [None, None])


def test_tiny_chunks_leave_the_callers_of_other_services_their_latency(tmp_path):
    async def work(fleet):
        endless = await _start_endless_servers(fleet, ["chunks"], FLOODING_SERVERS, FLOOD_RATE)
        results = await _call_all(fleet, endless)
        return statistics.median(took_s for _, took_s in results["/one/x"])

    assert run_on_fleet(tmp_path, work) <= LATENCY_TARGET_S
