"""Tests of the choice of the peer whose view is followed."""

from __future__ import annotations

import asyncio
import random
import time

from fighinge.membership.member import Member, Role
from fighinge.router.peer_follower import (
    FAILED_PEER_AVOID_S,
    SOURCE_UNREACHABLE_AFTER_S,
    PeerFollower,
)
from fighinge.router.view import View
from tests.router.builders import MemoryLog

UNUSED_PORT = 9  # no process listens on it


class _Table:
    """A member table with two peers in this data centre and three in another one."""

    def __init__(self) -> None:
        self.local_member = Member(Role.ENTRY, "127.0.0.1", "z1", 1)
        near = [Member(Role.ENTRY, f"127.0.0.{number}", "z1", 1) for number in (2, 3)]
        far = [Member(Role.ENTRY, f"127.0.0.{number}", "z2", 1) for number in (4, 5, 6)]
        self._members = [*near, *far]

    def reachable(self):
        """Return all other members."""
        return self._members


class _Peers:
    """Peers with this member table."""

    def __init__(self) -> None:
        self.membership = self
        self.table = _Table()


def test_peer_that_refuses_connections_is_not_retried_before_others():
    async def follow():
        view = View(MemoryLog())
        follower = PeerFollower.create(
            view, _Peers(), UNUSED_PORT, time.monotonic, random.Random(3)
        )
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(SOURCE_UNREACHABLE_AFTER_S + FAILED_PEER_AVOID_S)
        task.cancel()
        follower.close()
        return [line["peer"] for line in view.log.lines if line["event"] == "peer not followed"]

    hosts = asyncio.run(follow())
    assert len(hosts) >= 3
    assert len(set(hosts)) == len(hosts)
