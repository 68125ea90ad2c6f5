"""Tests that router processes bear records that another writer left in the store."""

from __future__ import annotations

import asyncio
import signal

from tests.platform.fleet import run_on_fleet
from tests.platform.odd_records import DEEPLY_NESTED, server_record

REQUESTS = 40


# One nested entry of another writer ended every router, again after each restart.
def test_odd_records_of_another_writer_end_no_router_and_lose_no_request(tmp_path):
    async def work(fleet):
        odd = {
            "nested": server_record({"version": DEEPLY_NESTED}, service="single"),
            "large": server_record({"born": b"1" + b"0" * 30}, service="single"),
            "port": server_record(service="single", address="127.0.0.1:99999", zone="z1"),
        }
        for name, value in odd.items():
            await fleet.store.put(f"servers/{name}", value)
        fleet.signal(1, signal.SIGKILL)
        await fleet.exited(1, 5.0)
        fleet.start_router(1)
        await fleet.ready(1)
        added = await fleet.add_server("single", "z2")
        await asyncio.sleep(1.0)
        statuses = set()
        for _ in range(REQUESTS):
            for number in fleet.processes:
                statuses.add((await fleet.ask(number, "/one/x"))[1].status)
        is_used = any(item.instance_id == added.instance_id for item in fleet.events.arrivals)
        ends = [process.poll() for process in fleet.processes.values()]
        return statuses, is_used, ends

    assert run_on_fleet(tmp_path, work) == ({200}, True, [None, None])
