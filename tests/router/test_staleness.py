"""Tests that a router detects missed changes by the revisions of its peers."""

from __future__ import annotations

import asyncio
import random

import msgspec

from fighinge.membership.member import Member, Role
from fighinge.membership.messages import ConfigurationSummary
from fighinge.router.changes import BackendListed, Changes, Snapshot
from fighinge.router.follower import Follower
from fighinge.router.relay import Relay
from fighinge.router.revisions import ordered_revision
from fighinge.router.staleness import STALE_AFTER_S, StalenessDetector
from fighinge.router.view import Topic, View
from tests.router.builders import MemoryLog, backend_record
from tests.virtual_time import run

NOW_S = 1000.0
PEER = Member(Role.ENTRY, "10.0.0.2", "z1", 1)


class _Router:
    def __init__(self):
        self.now_s = NOW_S
        self.view = View(MemoryLog())
        self.staleness = StalenessDetector(self.view, lambda: self.now_s)


def _peer_summary(last_change):
    router = _Router()
    for topic in Topic:
        router.view.advance(topic, last_change, last_change)
    return router.staleness.summary()


def test_topic_is_stale_once_a_peer_has_been_ahead_for_too_long():
    router = _Router()
    router.staleness.handle_summary(PEER, _peer_summary(7))
    assert router.staleness.pop_stale(NOW_S + STALE_AFTER_S / 2) == []
    assert set(router.staleness.pop_stale(NOW_S + STALE_AFTER_S)) == set(Topic)
    assert router.staleness.pop_stale(NOW_S + STALE_AFTER_S + 0.1) == []


def test_router_knows_since_when_a_peer_has_been_ahead():
    router = _Router()
    assert router.staleness.behind_since_s(Topic.BACKENDS, NOW_S + 9) == NOW_S + 9
    router.staleness.handle_summary(PEER, _peer_summary(7))
    router.staleness.pop_stale(NOW_S + STALE_AFTER_S)
    assert router.staleness.behind_since_s(Topic.BACKENDS, NOW_S + 9) == NOW_S


def test_topic_that_catches_up_is_not_stale():
    router = _Router()
    router.staleness.handle_summary(PEER, _peer_summary(7))
    for topic in Topic:
        router.view.advance(topic, 9, 7)
    assert router.staleness.pop_stale(NOW_S + 10) == []


def test_topic_with_a_higher_watermark_than_the_peers_change_is_not_stale():
    router = _Router()
    for topic in Topic:
        router.view.advance(topic, 9, 3)
    router.staleness.handle_summary(PEER, _peer_summary(7))
    assert router.staleness.pop_stale(NOW_S + 10) == []


def test_digest_of_another_length_is_ignored():
    router = _Router()
    router.staleness.handle_summary(PEER, ConfigurationSummary(5, b"short"))
    assert router.staleness.pop_stale(NOW_S + 10) == []


class SilentSource:
    """Answers reads, but its watches return no changes although there are some."""

    def __init__(self):
        self.reads = 0

    async def read_all(self):
        """Return a new backend server in each read."""
        self.reads += 1
        return Snapshot(self.reads, (BackendListed(backend_record(f"i{self.reads}")),), self.reads)

    async def watch(self, after_revision, wait_s):
        """Return no changes after the timeout."""
        await asyncio.sleep(wait_s)
        return Changes(after_revision, ())


def test_restarted_follower_reads_everything_again():
    async def follow():
        view, source = View(MemoryLog()), SilentSource()
        clock = asyncio.get_running_loop().time
        follower = Follower(source, Topic.BACKENDS, view, clock, random.Random(1))
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(1.0)
        before = dict(view.backends)
        follower.restart()
        await asyncio.sleep(0.5)
        task.cancel()
        return set(before), source.reads, view.watermark(Topic.BACKENDS)

    assert run(follow()) == ({"i1"}, 2, 2)


def test_revision_of_a_change_without_effect_is_passed_on_to_peers():
    async def follow():
        view = View(MemoryLog())
        for topic in Topic:
            view.record_source_answer(topic, NOW_S)
        relay = Relay(view)
        long_poll = asyncio.create_task(relay.changes(relay.epoch, 0, 0, 20.0))
        await asyncio.sleep(1.0)
        view.advance(Topic.BACKENDS, 12, 12)
        changes = await long_poll
        return changes.changes, changes.watermarks.newest_revision

    assert run(follow()) == ((), 12)


def test_change_of_a_later_era_is_newer_whatever_its_number():
    router = _Router()
    for topic in Topic:
        router.view.advance(topic, ordered_revision(1, 90), ordered_revision(1, 90))
    router.staleness.handle_summary(PEER, _peer_summary(ordered_revision(2, 7)))
    assert set(router.staleness.pop_stale(NOW_S + STALE_AFTER_S)) == set(Topic)


def test_peer_that_does_not_know_the_era_causes_no_reads():
    router = _Router()
    for topic in Topic:
        router.view.advance(topic, ordered_revision(2, 7), ordered_revision(2, 7))
    summary = msgspec.structs.replace(_peer_summary(90), eras=())
    router.staleness.handle_summary(PEER, summary)
    assert router.staleness.pop_stale(NOW_S + 10) == []
