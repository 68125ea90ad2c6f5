"""Tests of the choice of the peer whose view is followed."""

from __future__ import annotations

import asyncio
import random
import time

from tornado.testing import bind_unused_port
from tornado.web import Application

from fighinge.membership.member import Member, Role
from fighinge.router.changes import BackendListed, ZoneEvacuated
from fighinge.router.peer_follower import (
    FAILED_PEER_AVOID_S,
    SOURCE_UNREACHABLE_AFTER_S,
    PeerFollower,
)
from fighinge.router.relay import Relay, relay_routes
from fighinge.router.view import Topic, View
from tests.router.builders import MemoryLog, backend_record

UNUSED_PORT = 9  # no process listens on it


class _Table:
    """A member table with two peers in this data centre and three in another one.

    :param members: other peers instead of these
    """

    def __init__(self, members: list[Member] | None = None) -> None:
        self.local_member = Member(Role.ENTRY, "127.0.0.1", "z1", 1)
        near = [Member(Role.ENTRY, f"127.0.0.{number}", "z1", 1) for number in (2, 3)]
        far = [Member(Role.ENTRY, f"127.0.0.{number}", "z2", 1) for number in (4, 5, 6)]
        self._members = members or [*near, *far]

    def reachable(self):
        """Return all other members."""
        return self._members


class _Peers:
    """Peers with this member table."""

    def __init__(self, members: list[Member] | None = None) -> None:
        self.membership = self
        self.table = _Table(members)


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


async def _until(condition):
    for _ in range(300):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("the condition was not met in time")


def _follow_peer(work):
    """Run a coroutine function with the view of a followed peer and the view that follows it."""

    async def run():
        listener, port = bind_unused_port()
        listener.close()
        peer_view, view = View(MemoryLog()), View(MemoryLog())
        for topic in Topic:
            peer_view.record_source_answer(topic, time.monotonic())
        server = Application(relay_routes(Relay(peer_view)), log_function=lambda _: None)
        server = server.listen(port, "127.0.0.1")
        peers = _Peers([Member(Role.ENTRY, "127.0.0.1", "z1", 1)])
        follower = PeerFollower.create(view, peers, port, time.monotonic, random.Random(3))
        task = asyncio.create_task(follower.run())
        try:
            return await work(peer_view, view)
        finally:
            task.cancel()
            follower.close()
            server.stop()

    return asyncio.run(run())


def test_change_of_a_peer_is_not_applied_once_the_source_answers_again():
    async def work(peer_view, view):
        peer_view.apply([BackendListed(backend_record("i1"))], time.monotonic())
        await _until(lambda: set(view.backends) == {"i1"})
        for topic in Topic:
            view.record_source_answer(topic, time.monotonic())
        view.replace(Topic.BACKENDS, [], time.monotonic(), from_peer=True)
        peer_view.apply([BackendListed(backend_record("i1", slots=9))], time.monotonic())
        await asyncio.sleep(0.5)
        return set(view.backends)

    assert _follow_peer(work) == set()


def test_topic_that_becomes_unreachable_later_is_followed_too():
    async def work(peer_view, view):
        view.record_source_answer(Topic.CONFIGURATION, time.monotonic())
        peer_view.apply([BackendListed(backend_record("i1"))], time.monotonic())
        await _until(lambda: set(view.backends) == {"i1"})
        peer_view.apply([ZoneEvacuated("z1")], time.monotonic())
        await asyncio.sleep(0.2)
        before = set(view.evacuated_zones)
        view.record_source_failure(Topic.CONFIGURATION, "silent", time.monotonic())
        peer_view.apply([ZoneEvacuated("z2")], time.monotonic())
        await _until(lambda: view.evacuated_zones == {"z1", "z2"})
        return before

    assert _follow_peer(work) == set()
