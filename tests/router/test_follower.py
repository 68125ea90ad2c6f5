"""Tests of how a source is followed through failures, in virtual time."""

from __future__ import annotations

import asyncio
import random

from fighinge.errors import ErrorKind, Failure
from fighinge.router.changes import Changes, Snapshot, TablePublished
from fighinge.router.follower import Follower
from fighinge.router.view import Topic, View
from tests.router.builders import MemoryLog, route, table
from tests.virtual_time import run

SILENT = Failure(ErrorKind.NOT_READY, "timed out", "platform store")


class SilentSource:
    """Loses the first watch, and answers each later one only when its wait is over.

    So does a store that took a request before an outage and has forgotten it.
    """

    def __init__(self) -> None:
        self.watches = 0
        self.version = 1

    async def read_all(self):
        """Return the first version."""
        return Snapshot(1, (TablePublished(table(route(), version=1)),), 1)

    async def watch(self, after_revision, wait_s):
        """Answer by the number of the watch."""
        self.watches += 1
        if self.watches == 1:
            await asyncio.sleep(1.0)
            return SILENT
        await asyncio.sleep(wait_s)
        changes = (TablePublished(table(route(), version=self.version)),)
        return Changes(self.version, changes, self.version)


def test_source_that_was_lost_is_not_waited_for_as_long_as_one_in_contact():
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
