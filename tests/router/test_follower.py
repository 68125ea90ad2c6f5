"""Tests of following a source that fails, in virtual time."""

from __future__ import annotations

import asyncio
import random

from fighinge.errors import ErrorKind, Failure
from fighinge.platform.store import WATCH_RESPONSE_TIMEOUT_S
from fighinge.router.changes import (
    BackendListed,
    BackendUnlisted,
    Changes,
    Snapshot,
    TablePublished,
)
from fighinge.router.follower import Follower
from fighinge.router.view import Topic, View
from tests.router.builders import MemoryLog, backend_record, route, table
from tests.virtual_time import run

STABILITY_WINDOW_S, DRAIN_S = 4.0, 3.0  # of the platform
TIMED_OUT = Failure(ErrorKind.NOT_READY, "timed out", "platform store")


async def _until(condition):
    for _ in range(1000):
        if condition():
            return
        await asyncio.sleep(0.05)
    raise AssertionError("the condition was not met in time")


class SilentSource:
    """Fails the first watch, and answers each later one only after its timeout.

    A store behaves like this if an outage makes it forget a watch that it had accepted.
    """

    def __init__(self) -> None:
        self.watches = 0
        self.version = 1

    async def read_all(self):
        """Return the first version."""
        return Snapshot(1, (TablePublished(table(route(), version=1)),), 1)

    async def watch(self, after_revision, wait_s):
        """Fail the first watch, and answer each later one after its timeout."""
        self.watches += 1
        if self.watches == 1:
            await asyncio.sleep(1.0)
            return TIMED_OUT
        await asyncio.sleep(wait_s)
        changes = (TablePublished(table(route(), version=self.version)),)
        return Changes(self.version, changes, self.version)


def test_watch_after_a_failure_has_a_short_timeout():
    async def follow():
        view = View(MemoryLog())
        source = SilentSource()
        clock = asyncio.get_running_loop().time
        follower = Follower(source, Topic.CONFIGURATION, view, clock, random.Random(1))
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(1.1)
        source.version = 2
        await asyncio.sleep(3.0)
        task.cancel()
        return view.version, view.is_source_reachable(Topic.CONFIGURATION)

    assert run(follow()) == (2, True)


class ForgetfulSource:
    """Answers the first watch with a change, and the second one never.

    :param response_timeout_s: time in seconds after which an unanswered watch fails
    """

    def __init__(self, response_timeout_s: float) -> None:
        self._watches = 0
        self._response_timeout_s = response_timeout_s

    async def read_all(self):
        """Return two backend servers."""
        listed = (BackendListed(backend_record("i1")), BackendListed(backend_record("i2")))
        return Snapshot(1, listed, 1)

    async def watch(self, after_revision, wait_s):
        """Remove the first server in the first watch, and the second one later."""
        self._watches += 1
        if self._watches == 1:
            return Changes(2, (BackendUnlisted("i1"),), 2)
        if self._watches == 2:
            await asyncio.sleep(wait_s + self._response_timeout_s)
            return TIMED_OUT
        if after_revision < 3:
            return Changes(3, (BackendUnlisted("i2"),), 3)
        await asyncio.sleep(wait_s)
        return Changes(3, ())


def test_unanswered_watch_does_not_hide_that_a_server_leaves():
    async def follow():
        view = View(MemoryLog())
        source = ForgetfulSource(WATCH_RESPONSE_TIMEOUT_S)
        clock = asyncio.get_running_loop().time
        follower = Follower(source, Topic.BACKENDS, view, clock, random.Random(1))
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(STABILITY_WINDOW_S + DRAIN_S)
        view.expire(clock())
        task.cancel()
        return set(view.backends)

    assert run(follow()) == set()


class InterruptedSource:
    """Tells in its first watch that a server has left, and fails the second watch."""

    def __init__(self) -> None:
        self._watches = 0
        self._records = [BackendListed(backend_record("i1"))]

    async def read_all(self):
        """Return the records of all servers."""
        return Snapshot(1 + self._watches, tuple(self._records), 1)

    async def watch(self, after_revision, wait_s):
        """Remove the server in the first watch, and return nothing in later ones."""
        self._watches += 1
        if self._watches == 1:
            self._records.clear()
            return Changes(2, (BackendUnlisted("i1"),), 2)
        await asyncio.sleep(wait_s)
        return TIMED_OUT if self._watches == 2 else Changes(2, ())


def test_server_that_an_older_view_of_a_peer_returned_does_not_stay_in_use():
    async def follow():
        view = View(MemoryLog())
        clock = asyncio.get_running_loop().time
        follower = Follower(InterruptedSource(), Topic.BACKENDS, view, clock, random.Random(1))
        task = asyncio.create_task(follower.run())
        await _until(lambda: view.is_source_reachable(Topic.BACKENDS))
        await _until(lambda: not view.is_source_reachable(Topic.BACKENDS))
        view.record_relay_answer(Topic.BACKENDS, "10.0.0.2", clock())
        view.replace(Topic.BACKENDS, [BackendListed(backend_record("i1"))], clock(), from_peer=True)
        view.record_relay_failure(Topic.BACKENDS, clock())
        before = set(view.backends)
        await asyncio.sleep(STABILITY_WINDOW_S)
        view.expire(clock())
        task.cancel()
        return before, set(view.backends)

    assert run(follow()) == ({"i1"}, set())


class FaultySource:
    """Raises an unexpected error in its first read and in its first watch."""

    def __init__(self) -> None:
        self.reads = self.watches = 0

    async def read_all(self):
        """Fail the first read, and return a later version in each further one."""
        self.reads += 1
        if self.reads == 1:
            raise OverflowError("a value that nobody expected")
        return Snapshot(
            self.reads, (TablePublished(table(route(), version=self.reads)),), self.reads
        )

    async def watch(self, after_revision, wait_s):
        """Fail the first watch, and return nothing in later ones."""
        self.watches += 1
        if self.watches == 1:
            raise RecursionError("a value that nobody expected")
        await asyncio.sleep(wait_s)
        return Changes(after_revision, ())


# An error that nobody thought of in what the store sends ended the router, again at each restart.
def test_unexpected_error_in_reading_the_source_counts_as_its_failure():
    async def follow():
        view = View(MemoryLog())
        source = FaultySource()
        clock = asyncio.get_running_loop().time
        follower = Follower(source, Topic.CONFIGURATION, view, clock, random.Random(1))
        task = asyncio.create_task(follower.run())
        await _until(lambda: source.watches > 1)
        is_running = not task.done()
        task.cancel()
        return view, source, is_running

    view, source, is_running = run(follow())
    assert is_running
    assert (view.version, source.reads) == (3, 3)  # after each error everything is read anew
    assert view.is_source_reachable(Topic.CONFIGURATION)
    errors = [line for line in view.log.lines if line["event"] == "source failed unexpectedly"]
    assert len(errors) == 2 and all("nobody expected" in line["error"] for line in errors)


def test_source_that_fails_unexpectedly_is_not_taken_for_fresh():
    class AlwaysFaultySource(FaultySource):
        async def watch(self, after_revision, wait_s):
            raise RecursionError("a value that nobody expected")

        async def read_all(self):
            self.reads += 1
            if self.reads > 1:
                raise OverflowError("a value that nobody expected")
            return Snapshot(1, (TablePublished(table(route(), version=1)),), 1)

    async def follow():
        view = View(MemoryLog())
        source = AlwaysFaultySource()
        clock = asyncio.get_running_loop().time
        follower = Follower(source, Topic.CONFIGURATION, view, clock, random.Random(1))
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(10.0)
        task.cancel()
        return view, source

    view, source = run(follow())
    assert view.version == 1 and not view.is_fresh(Topic.CONFIGURATION)
    assert source.reads < 40  # with a pause between two tries
