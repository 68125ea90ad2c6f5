"""Tests that processes keep their memory and descriptors beside callers that exceed the limits."""

from __future__ import annotations

import asyncio
import os
import re
import resource
from contextlib import contextmanager
from pathlib import Path

import msgspec
import pytest

from demo import fleet as demo
from fighinge.client import Client
from fighinge.queries import QueryAnswer, QueryRequest
from standins.shard_server import ShardServer
from tests.platform.fleet import FRONT_PORT, RouterFleet, router_settings, run_on_fleet, wait_until
from tests.platform.flood_callers import (
    chunked_body,
    complete_request,
    declared_body,
    endless_header,
    flood,
    half_body,
    half_header,
    nothing,
    tiny_chunks,
)

MEMORY_MB = 160  # of a router; half of it is used without callers
MAX_DESCRIPTORS = 300
LIMITS = {
    "max-header-bytes": 16_384,
    "max-body-bytes": 262_144,
    "header-timeout-ms": 3000,
    "idle-timeout-ms": 15_000,
}
CROWD = 40
MANY = 600  # more than the descriptors
SETTLE_S = 1.0  # after the last byte; what was sent has been read
SERVED_WITHIN_S = 20.0
LARGE_ANSWER = bytes(3_500_000)  # below the limit of one response
ENTRY_MEMORY_MB = 256
ENTRY_CROWD = 260
ENTRY_SPARE_DESCRIPTORS = 20


class FloodedFleet(RouterFleet):
    """A fleet whose routers have small limits, and a service with large answers."""

    async def configure(self, **changes) -> int:
        """Publish the configuration with the limits of these tests."""
        route = {"name": "large", "prefix": "/large/", "kind": "idempotent", "service": "large"}
        common = {"host": "search.example", "timeout-ms": 2000, "latency-target-ms": 300}
        return await super().configure(
            limits=LIMITS, routes=[common | {"max-attempts": 1} | route], **changes
        )

    async def start(self) -> None:
        """Start everything, and the servers with large answers."""
        await super().start()
        for at, zone in enumerate(("z1", "z2", "z3")):
            server = LargeAnswerServer(
                f"l-{at}", "large", self.runs, zone=zone, slots=16, queue_limit=50
            )
            server.start(9400 + at, f"127.{self.network}.8.1")
            self.servers.append(server)
            await self.list_server(server)
        await wait_until(self._serves_large, SERVED_WITHIN_S)

    async def _serves_large(self) -> bool:
        return (await self.ask(0, "/large/x"))[1].status == 200

    def start_router(self, number: int, *, writes_settings: bool = True) -> None:
        """Start a router with the limits of these tests."""
        address = self.address(number)
        platform = f"127.{self.network}.9.1:8229"
        seeds = [self.address(seed) for seed in range(3)]
        settings = router_settings(address, number, platform, seeds)
        settings["limits"] = {"memory-mb": MEMORY_MB, "max-fds": MAX_DESCRIPTORS}
        path = self.directory / f"node-{number}.json"
        path.write_bytes(msgspec.json.encode(settings))
        super().start_router(number, writes_settings=False)


class LargeAnswerServer(ShardServer):
    """A stand-in server whose successful answers are large."""

    def _write(self, connection, status, headers, body, *, is_cut=False) -> None:
        body = LARGE_ANSWER if status == 200 else body
        super()._write(connection, status, headers, body, is_cut=is_cut)


class Use:
    """The memory and the descriptors of a process, each the largest seen."""

    def __init__(self, pid: int) -> None:
        self._pid = pid
        self.descriptors = 0

    async def watch(self) -> None:
        """Sample the open descriptors until cancelled."""
        while True:
            self.sample()
            await asyncio.sleep(0.02)

    def sample(self) -> None:
        """Count the open descriptors."""
        try:
            count = len(os.listdir(f"/proc/{self._pid}/fd"))
        except OSError:
            return
        self.descriptors = max(self.descriptors, count)

    def peak_mb(self) -> float:
        """Return the largest memory so far, infinite if the process has ended."""
        try:
            status = Path(f"/proc/{self._pid}/status").read_text()
        except OSError:
            return float("inf")
        found = re.search(r"VmHWM:\s+(\d+) kB", status)
        return int(found[1]) / 1024 if found else float("inf")


async def _use_under_flood(pid, host, port, target, kinds, callers) -> Use:
    """Return what a process uses at most while callers flood it; they leave afterwards."""
    use = Use(pid)
    before_mb = use.peak_mb()
    watching = asyncio.create_task(use.watch())
    crowd = await flood(host, port, target, kinds, callers)
    await asyncio.sleep(SETTLE_S)
    use.sample()
    watching.cancel()
    for caller in crowd:
        caller.close()
    print(f"memory {before_mb:.0f} to {use.peak_mb():.0f} MB, descriptors {use.descriptors}")
    return use


def _flood_router(tmp_path, target, kinds, callers):
    """Flood a router; return whether it lives, keeps its memory and descriptors, and serves."""

    async def work(fleet):
        process = fleet.processes[0]
        use = await _use_under_flood(
            process.pid, fleet.address(0), FRONT_PORT, target, kinds, callers
        )

        async def serves() -> bool:
            return (await fleet.ask(0, "/one/x"))[1].status == 200

        await wait_until(serves, SERVED_WITHIN_S)
        return (
            process.poll(),
            use.peak_mb() <= MEMORY_MB or use.peak_mb(),
            use.descriptors <= MAX_DESCRIPTORS or use.descriptors,
        )

    return run_on_fleet(tmp_path, work, FloodedFleet, routers=1)


HELD = (None, True, True)


@pytest.mark.parametrize(
    "kind",
    [
        declared_body,
        chunked_body,
        tiny_chunks,
    ],
)
def test_bodies_over_the_limit_leave_a_router_its_memory(kind, tmp_path):
    assert _flood_router(tmp_path, "/one/x", [kind], CROWD) == HELD


def test_header_sections_without_end_leave_a_router_its_memory(tmp_path):
    assert _flood_router(tmp_path, "/one/x", [endless_header], CROWD) == HELD


def test_bodies_that_stop_half_way_leave_a_router_its_descriptors(tmp_path):
    assert _flood_router(tmp_path, "/one/x", [half_body], MANY) == HELD


def test_header_sections_that_stop_half_way_leave_a_router_its_descriptors(tmp_path):
    assert _flood_router(tmp_path, "/one/x", [half_header], MANY) == HELD


def test_answers_that_are_never_read_leave_a_router_its_memory(tmp_path):
    assert _flood_router(tmp_path, "/large/x", [complete_request], CROWD) == HELD


def test_very_many_connections_leave_a_router_its_descriptors(tmp_path):
    assert _flood_router(tmp_path, "/one/x", [nothing], MANY) == HELD


def test_all_kinds_of_floods_at_once_leave_a_router_its_memory_and_descriptors(tmp_path):
    kinds = [declared_body, chunked_body, half_body, half_header, nothing]
    assert _flood_router(tmp_path, "/one/x", kinds, MANY) == HELD


@contextmanager
def _descriptor_limit(limit: int):
    """Give processes that are started a limit of open descriptors."""
    before = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, before[1]))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, before)


@pytest.mark.parametrize("kinds", [[declared_body], [chunked_body], [nothing]])
def test_floods_leave_an_entry_its_memory_and_descriptors(kinds):
    async def run():
        hosts = demo.listed_hosts()[:1]
        fleet = demo.Fleet(msgspec.json.encode(demo.document()), hosts)
        host = hosts[0].address
        client = Client([f"http://{host}:{demo.ENTRY_PORT}"])
        await fleet.start_standins()
        try:
            await fleet.start_process("aggregator", hosts[0])
            with _descriptor_limit(MAX_DESCRIPTORS):
                await fleet.start_process("entry", hosts[0])
            await fleet.wait_ready(hosts[0])
            process = fleet.processes["entry", host]
            callers = MANY if kinds == [nothing] else ENTRY_CROWD
            target = "/v1/services/badges/query"
            use = await _use_under_flood(process.pid, host, demo.ENTRY_PORT, target, kinds, callers)

            async def serves() -> bool:
                answer = await client.query("badges", QueryRequest(deadline_ms=2000.0))
                return isinstance(answer, QueryAnswer)

            await wait_until(serves, SERVED_WITHIN_S)
            max_descriptors = MAX_DESCRIPTORS - ENTRY_SPARE_DESCRIPTORS
            return (
                process.returncode,
                use.peak_mb() <= ENTRY_MEMORY_MB or use.peak_mb(),
                use.descriptors <= max_descriptors or use.descriptors,
            )
        finally:
            client.close()
            await fleet.stop()

    assert asyncio.run(run()) == HELD
