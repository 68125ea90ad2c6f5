"""Tests of following a source that fails, in virtual time."""

from __future__ import annotations

import asyncio
import random

from fighinge.errors import ErrorKind, Failure
from fighinge.router.changes import Changes, Snapshot, TablePublished
from fighinge.router.follower import Follower
from fighinge.router.view import Topic, View
from tests.router.builders import MemoryLog, route, table
from tests.virtual_time import run

TIMED_OUT = Failure(ErrorKind.NOT_READY, "timed out", "platform store")


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
