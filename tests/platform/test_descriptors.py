"""Tests that a router goes on when it runs out of file descriptors."""

from __future__ import annotations

import asyncio
import os
import resource

from tests.platform.fleet import FRONT_PORT, CallerConnection, run_on_fleet

SPARE_DESCRIPTORS = 12
HELD_CONNECTIONS = 60
HELD_S = 5.0
RETURN_S = 4.0
MIN_SERVED_RATIO = 0.95


def _take_descriptors(fleet, router: int) -> None:
    """Leave a router a few free descriptors."""
    pid = fleet.processes[router].pid
    used = len(os.listdir(f"/proc/{pid}/fd"))
    _, hard = resource.prlimit(pid, resource.RLIMIT_NOFILE)
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (used + SPARE_DESCRIPTORS, hard))


async def _hold_connections(fleet, router: int) -> list[int]:
    """Send a request on each of many connections; return the statuses after some seconds."""
    connections = [
        CallerConnection(fleet.address(router), FRONT_PORT) for _ in range(HELD_CONNECTIONS)
    ]
    statuses = []

    async def hold(connection):
        _, data = fleet.request("/all/x", caller_timeout_ms=1500)
        statuses.append((await connection.send(data)).status)

    tasks = [asyncio.create_task(hold(connection)) for connection in connections]
    await asyncio.sleep(HELD_S)
    for task in tasks:
        task.cancel()
    for connection in connections:
        connection.close()
    return statuses


async def _served_ratio(fleet, router: int, requests: int) -> float:
    replies = [await fleet.ask(router, path) for path in ("/one/x", "/all/x") * requests]
    return sum(reply.status == 200 for _, reply in replies) / len(replies)


def test_router_without_free_descriptors_serves_again_once_callers_have_gone(tmp_path):
    async def work(fleet):
        _take_descriptors(fleet, 0)
        held = asyncio.create_task(_hold_connections(fleet, 0))
        await asyncio.sleep(HELD_S / 2)
        during = await _served_ratio(fleet, 1, 20)
        await held
        await asyncio.sleep(RETURN_S)
        after = await _served_ratio(fleet, 0, 20)
        ends = [process.poll() for process in fleet.processes.values()]
        return ends, during >= MIN_SERVED_RATIO, after >= MIN_SERVED_RATIO

    assert run_on_fleet(tmp_path, work) == ([None, None], True, True)


def test_request_without_a_descriptor_for_its_calls_is_not_answered_as_an_unexpected_error(
    tmp_path,
):
    async def work(fleet):
        _take_descriptors(fleet, 0)
        return set(await _hold_connections(fleet, 0)) & {500}

    assert run_on_fleet(tmp_path, work) == set()
