"""Tests that the work of a host that is silent for a while is not started again elsewhere."""

from __future__ import annotations

import asyncio
import signal

import pytest

from standins.cuttable_link import Cut
from tests.platform.fleet import FRONT_PORT, SHARDS, CallerConnection, run_on_fleet
from tests.platform.guarantees import RecordedExchange, violations
from tests.platform.partition_fleet import PartitionFleet

ROUTERS = 3
CALLERS = 4
REQUEST_INTERVAL_S = 0.02
SERVICE_TIME_S = 0.4
DURATION_S = 6.0
SILENT_S = 1.2
SPEAKING_S = 0.4


async def _send_until(fleet, router: int, end_s: float, exchanges: list[RecordedExchange]) -> None:
    """Send requests that may run once to a router."""
    clock = asyncio.get_running_loop().time
    connection = CallerConnection(fleet.address(router), FRONT_PORT)
    while clock() < end_s:
        request_id, data = fleet.request("/once/x", method="POST", caller_timeout_ms=1500)
        sent_s = clock()
        reply = await connection.send(data)
        exchanges.append(
            RecordedExchange.from_reply(request_id, "/once/x", router, sent_s, clock(), reply)
        )
        if not reply.status:
            connection = CallerConnection(fleet.address(router), FRONT_PORT)
        await asyncio.sleep(REQUEST_INTERVAL_S)
    connection.close()


async def _silence_by_turns(fleet, routers: list[int], end_s: float) -> None:
    """Stop the processes of routers one after the other, and let each go on."""
    clock = asyncio.get_running_loop().time
    while clock() < end_s:
        for number in routers:
            fleet.signal(number, signal.SIGSTOP)
            await asyncio.sleep(SILENT_S)
            fleet.signal(number, signal.SIGCONT)
            await asyncio.sleep(SPEAKING_S)


@pytest.mark.parametrize("is_cut_off", [False, True], ids=["own callers", "handed on"])
def test_requests_at_a_silent_router_run_at_most_once(is_cut_off, tmp_path):
    """With ``handed on``, a router without links hands requests to peers that fall silent."""

    async def work(fleet):
        for server in fleet.servers:
            server.service_time_s = SERVICE_TIME_S
        if is_cut_off:
            await fleet.cut(0, Cut.REFUSE)
        exchanges: list[RecordedExchange] = []
        end_s = asyncio.get_running_loop().time() + DURATION_S
        silent = [1, 2] if is_cut_off else [0, 1]
        callers = [_send_until(fleet, number % 2, end_s, exchanges) for number in range(CALLERS)]
        await asyncio.gather(*callers, _silence_by_turns(fleet, silent, end_s))
        await asyncio.sleep(SERVICE_TIME_S + REQUEST_INTERVAL_S)
        runs = [run.request_id for run in fleet.runs if run.target == "/once/x"]
        found = violations(exchanges, fleet.runs, SHARDS)
        return found, len(runs) - len(set(runs)), len(runs) > CALLERS

    assert run_on_fleet(tmp_path, work, PartitionFleet, routers=ROUTERS) == ([], 0, True)
