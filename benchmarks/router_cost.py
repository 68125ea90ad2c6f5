"""Measures a router process: ``python -m benchmarks.router_cost [--shards 42 --queries 300]``."""

from __future__ import annotations

import asyncio
import os
import tempfile
import time
from pathlib import Path

import defopt
import msgspec

from tests.platform.fleet import FRONT_PORT, CallerConnection, RouterFleet

DEFAULT_SHARDS = (4, 10, 42, 63)
WARM_UP_QUERIES = 30
IDLE_S = 5.0
NETWORK = 53  # second number of the loopback addresses
KIB_PER_MIB = 1024


class RouterCost(msgspec.Struct):
    """What one router process uses."""

    shards: int
    query_ms: float
    shard_ms: float
    idle_cores: float
    start_s: float
    resident_mib: float
    served: int


def used_s(process_id: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{process_id}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mib(process_id: int) -> float:
    """Return the resident memory of a process in MiB."""
    status = Path(f"/proc/{process_id}/status").read_text()
    [line] = [line for line in status.splitlines() if line.startswith("VmRSS")]
    return int(line.split()[1]) / KIB_PER_MIB


async def measure(shards: int, queries: int) -> RouterCost:
    """Return the cost of sequential queries to all shards at one router.

    :param queries: number of queries after the first ones, which open the connections
    """
    with tempfile.TemporaryDirectory() as directory:
        fleet = RouterFleet(Path(directory), NETWORK, routers=1, shards=shards)
        try:
            await fleet.start()
            process_id = fleet.processes[0].pid
            start_s = used_s(process_id)
            await _send(fleet, WARM_UP_QUERIES)
            before_s = used_s(process_id)
            served = await _send(fleet, queries)
            query_ms = 1000 * (used_s(process_id) - before_s) / queries
            before_s, begin_s = used_s(process_id), time.monotonic()
            await asyncio.sleep(IDLE_S)
            idle_cores = (used_s(process_id) - before_s) / (time.monotonic() - begin_s)
            memory = resident_mib(process_id)
        finally:
            await fleet.stop()
    return RouterCost(
        shards,
        round(query_ms, 2),
        round(query_ms / shards, 3),
        round(idle_cores, 4),
        start_s,
        round(memory, 1),
        served,
    )


async def _send(fleet: RouterFleet, queries: int) -> int:
    """Send queries one after the other and return how many were served."""
    caller = CallerConnection(fleet.address(0), FRONT_PORT)
    served = 0
    for number in range(queries):
        _, data = fleet.request(f"/all/{number}")
        served += (await caller.send(data)).status == 200
    caller.close()
    return served


def router_cost(*, shards: tuple[int, ...] = DEFAULT_SHARDS, queries: int = 300) -> None:
    """Print one line of JSON for each number of shards.

    :param shards: numbers of shards to measure
    :param queries: number of queries to measure
    """
    for number in shards:
        print(msgspec.json.encode(asyncio.run(measure(number, queries))).decode(), flush=True)


if __name__ == "__main__":
    defopt.run(router_cost)
