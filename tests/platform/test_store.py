"""Tests of the client and the follower of the platform's store, on real sockets."""

from __future__ import annotations

import asyncio
import random

import pytest
from tornado.testing import bind_unused_port

from fighinge.errors import Failure
from fighinge.platform.records import OPERATOR_PREFIX, SERVERS_PREFIX
from fighinge.platform.store import PlatformStore
from fighinge.router.changes import HistoryLost, ZoneEvacuated
from fighinge.router.follower import Follower
from fighinge.router.view import Topic, View
from standins.store import ITEMS_PER_PAGE, StandinStore
from tests.platform.odd_records import SERVER, UNUSABLE_SERVER_RECORDS, server_record
from tests.router.builders import MemoryLog


def _run(work, prefix=SERVERS_PREFIX):
    async def run():
        store = StandinStore()
        listener, port = bind_unused_port()
        listener.close()
        store.start(port)
        client = PlatformStore.from_address(f"127.0.0.1:{port}", prefix)
        try:
            return await work(store, client)
        finally:
            client.close()
            await store.stop()

    return asyncio.run(run())


async def _until(condition, within_s=5.0):
    for _ in range(int(within_s / 0.01)):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("the condition was not met in time")


def test_all_pages_are_read():
    async def work(store, client):
        for number in range(2 * ITEMS_PER_PAGE + 7):
            await store.put(f"servers/i-{number:04}", SERVER)
        return await client.read_all()

    snapshot = _run(work)
    assert len(snapshot.changes) == 2 * ITEMS_PER_PAGE + 7


def test_watch_returns_changes_and_the_revision_for_the_next_watch():
    async def work(store, client):
        snapshot = await client.read_all()
        await store.put("op/evacuate/z1", {})
        changes = await client.watch(snapshot.revision, 1.0)
        return changes, store.revision

    changes, revision = _run(work, OPERATOR_PREFIX)
    assert changes.changes == (ZoneEvacuated("z1"),)
    assert changes.revision == revision


def test_lost_history_is_reported():
    async def work(store, client):
        revision = store.revision
        await store.put("op/evacuate/z1", {})
        await store.compact()
        return await client.watch(revision, 1.0)

    assert isinstance(_run(work, OPERATOR_PREFIX), HistoryLost)


@pytest.mark.parametrize("fault", ["busy", "reset"])
def test_refused_request_returns_a_failure(fault):
    async def work(store, client):
        store.fault = fault
        return await client.read_all(), await client.watch(100, 0.1)

    for result in _run(work):
        assert isinstance(result, Failure)


def _follow(work):
    async def run(store, client):
        view = View(MemoryLog())
        clock = asyncio.get_running_loop().time
        follower = Follower(client, Topic.BACKENDS, view, clock, random.Random(1))
        task = asyncio.create_task(follower.run())
        try:
            return await work(store, view)
        finally:
            task.cancel()

    return _run(run)


def test_follower_applies_changes_and_those_missing_from_a_lost_history():
    async def work(store, view):
        await store.put("servers/i-1", SERVER)
        await _until(lambda: "i-1" in view.backends)
        await store.put("servers/i-2", SERVER)
        await _until(lambda: "i-2" in view.backends)
        await store.delete("servers/i-1")
        await _until(lambda: "i-1" not in view.backends)
        await store.put("servers/i-3", SERVER)
        await store.compact()
        await _until(lambda: set(view.backends) == {"i-2", "i-3"})
        await store.put("servers/i-2", b"\xff")
        await _until(lambda: set(view.backends) == {"i-3"})
        return True

    assert _follow(work)


@pytest.mark.parametrize("fault", ["busy", "reset"])
def test_follower_reaches_the_source_soon_after_an_outage(fault):
    async def work(store, view):
        await store.put("servers/i-1", SERVER)
        await _until(lambda: view.is_source_reachable(Topic.BACKENDS))
        store.fault = fault
        await store.put("servers/i-2", SERVER)
        await _until(lambda: not view.is_source_reachable(Topic.BACKENDS))
        store.fault = ""
        await _until(lambda: view.is_source_reachable(Topic.BACKENDS), 2.0)
        await _until(lambda: "i-2" in view.backends)
        return True

    assert _follow(work)


def test_odd_records_of_another_writer_leave_the_other_servers_in_use():
    async def work(store, view):
        await store.put("servers/i-1", server_record())
        await _until(lambda: set(view.backends) == {"i-1"})
        for number, value in enumerate(UNUSABLE_SERVER_RECORDS):
            await store.put(f"servers/odd-{number}", value)
        await store.put("servers/ü", server_record())
        await store.put("servers/i-2", server_record())
        await _until(lambda: set(view.backends) == {"i-1", "i-2"})
        await store.compact()
        await store.put("servers/i-3", server_record())
        await _until(lambda: set(view.backends) == {"i-1", "i-2", "i-3"})
        unreadable = [line for line in view.log.lines if line["event"].endswith("unreadable")]
        return len({line["key"] for line in unreadable})

    assert _follow(work) == len(UNUSABLE_SERVER_RECORDS) + 1


@pytest.mark.parametrize("changes_after_copy", [1, 5])
def test_change_that_gets_a_revision_of_the_previous_era_again_is_applied(changes_after_copy):
    async def work(store, view):
        store.era = 3
        await store.put("servers/i-1", server_record())
        await _until(lambda: set(view.backends) == {"i-1"})
        copied = store.copy()
        for number in range(3):
            await store.put("servers/i-2", server_record(slots=1 + number))
        await _until(lambda: "i-2" in view.backends and view.backends["i-2"].slots == 3)
        await store.restore(copied)
        for number in range(changes_after_copy):
            await store.put(f"servers/new-{number}", server_record())
        await store.put("servers/i-2", server_record(slots=9))
        await _until(lambda: view.backends["i-2"].slots == 9)
        restored = [line for line in view.log.lines if "restored" in line["event"]]
        return len(view.backends), [(line["previous_era"], line["era"]) for line in restored]

    assert _follow(work) == (2 + changes_after_copy, [(3, 4)])
