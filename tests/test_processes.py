"""Tests of running processes: graceful shutdown, pauses and the status for operators."""

from __future__ import annotations

import asyncio
import signal

import msgspec
from tornado.httpclient import AsyncHTTPClient

from demo import fleet as demo
from fighinge.client import Client
from fighinge.queries import QueryAnswer, QueryRequest
from fighinge.status import ProcessStatus

GOSSIP_PORTS = {"entry": 8070, "aggregator": 8071}
SERVICE_MS = 600.0
SLOW_DEADLINE_MS = 5000.0
PAUSE_S = 2.0


def _fleet(hosts: int) -> demo.Fleet:
    return demo.Fleet(msgspec.json.encode(demo.document()), demo.listed_hosts()[:hosts])


async def _fetch_status(role: str, host: str) -> ProcessStatus:
    url = f"http://{host}:{GOSSIP_PORTS[role]}/v1/status"
    response = await AsyncHTTPClient().fetch(url)
    return msgspec.json.decode(response.body, type=ProcessStatus)


async def _wait_until(condition, timeout_s: float = 10.0) -> None:
    async with asyncio.timeout(timeout_s):
        while True:
            if await condition():
                return
            await asyncio.sleep(0.05)


async def _all_members_known(fleet: demo.Fleet) -> bool:
    statuses = [await _fetch_status(role, host) for role, host in fleet.processes]
    return all(
        status.configuration_confirmed
        and [member.state for member in status.members] == ["alive"] * len(fleet.processes)
        for status in statuses
    )


async def _shut_down_under_load(fleet: demo.Fleet, client: Client, role: str, signals: int) -> None:
    """Shut a process down while queries run, and check that each query gets a complete answer."""
    request = QueryRequest(deadline_ms=SLOW_DEADLINE_MS)
    queries = [asyncio.create_task(client.query("badges", request)) for _ in range(3)]
    await asyncio.sleep(0.2)
    process = fleet.processes[role, fleet.hosts[0].address]
    for _ in range(signals):
        process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.1)
    answers = await asyncio.gather(*queries)
    assert all(isinstance(answer, QueryAnswer) for answer in answers), answers
    assert {answer.coverage.share for answer in answers} == {1.0}
    async with asyncio.timeout(10):
        assert await process.wait() == 0


def test_graceful_shutdown_finishes_queries_in_flight():
    async def run():
        fleet = _fleet(2)
        client = Client([f"http://{host.address}:{demo.ENTRY_PORT}" for host in fleet.hosts])
        try:
            await fleet.start()
            await _wait_until(lambda: _all_members_known(fleet))
            for server in fleet.servers.values():
                server.behaviour.service_ms = SERVICE_MS
            for role, signals in (("entry", 1), ("aggregator", 2)):
                await _shut_down_under_load(fleet, client, role, signals)
        finally:
            client.close()
            await fleet.stop()

    asyncio.run(run())


def test_shutdown_without_platform_and_peers_succeeds():
    async def run():
        fleet = _fleet(1)
        host = fleet.hosts[0]
        try:
            for role in demo.ROLES:
                await fleet.start_process(role, host)
                await _wait_until(lambda role=role: _is_serving_unconfirmed(role, host.address))
            for process in fleet.processes.values():
                process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(10):
                codes = [await process.wait() for process in fleet.processes.values()]
            assert codes == [0, 0]
        finally:
            await fleet.stop()

    asyncio.run(run())


async def _is_serving_unconfirmed(role: str, host: str) -> bool:
    try:
        status = await _fetch_status(role, host)
    except OSError:
        return False
    return not status.configuration_confirmed


def test_paused_process_rejoins_the_fleet():
    async def run():
        fleet = _fleet(2)
        try:
            await fleet.start()
            await _wait_until(lambda: _all_members_known(fleet))
            process = fleet.processes["entry", fleet.hosts[0].address]

            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(PAUSE_S)
            process.send_signal(signal.SIGCONT)
            await _wait_until(lambda: _all_members_known(fleet), 5)
        finally:
            await fleet.stop()

    asyncio.run(run())
