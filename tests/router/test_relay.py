"""Tests of the relay of views, limit shares and the reader role, without a network."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

import msgspec
import pytest

from fighinge.configuration.readers import READERS_PER_ZONE, is_reader, reachable_readers
from fighinge.membership.member import Member, MemberState, Role
from fighinge.membership.table import MemberTable
from fighinge.router.addresses import RouterAddress, choose_routers
from fighinge.router.changes import (
    BackendListed,
    BackendUnlisted,
    TablePublished,
    ZoneEvacuated,
    ZoneReturned,
)
from fighinge.router.follower import WATCH_TIMEOUT_S
from fighinge.router.peer_follower import READ_WITHOUT_PEER_AFTER_S, ReaderRole
from fighinge.router.peers import Peers
from fighinge.router.relay import MAX_RETAINED_CHANGES, Relay, Watermarks
from fighinge.router.revisions import ordered_revision
from fighinge.router.view import Topic, View
from tests.router.builders import MemoryLog, backend_record, route, router_settings, table
from tests.virtual_time import run

NOW_S = 1000.0
MAX_VERSION_DELAY_S = 5.0  # of the platform, after a version is acknowledged
MAX_LEAVING_DELAY_S = 5.0  # until no request is sent to a server that has left
STORE_READ_S = 0.5
OBSERVED_S = 30.0


def _view(*, is_reachable=True):
    view = View(MemoryLog())
    for topic in Topic:
        if is_reachable:
            view.record_source_answer(topic, NOW_S)
    return view


def test_follower_has_the_same_view_after_each_change():
    async def follow():
        source, follower = _view(), _view(is_reachable=False)
        relay = Relay(source)
        content = relay.view()
        for topic in Topic:
            follower.replace(topic, content.changes(topic), NOW_S, from_peer=True)
        sequence = content.sequence
        for changes in (
            [TablePublished(table(route(), version=3)), BackendListed(backend_record("i1"))],
            [BackendListed(backend_record("i2")), ZoneEvacuated("z1")],
            [BackendUnlisted("i1"), ZoneReturned("z1")],
        ):
            long_poll = asyncio.create_task(relay.changes(relay.epoch, sequence, 0, 10.0))
            await asyncio.sleep(0.05)
            source.apply(changes, NOW_S)
            relayed = await long_poll
            sequence = relayed.sequence
            follower.apply(relayed.changes, NOW_S, from_peer=True)
            assert follower.backends == source.backends
            assert follower.evacuated_zones == source.evacuated_zones
            assert follower.version == source.version == 3
        return True

    assert run(follow())


def test_delayed_removal_of_a_server_is_relayed_only_when_it_is_due():
    async def follow():
        source = _view()
        relay = Relay(source)
        source.apply([BackendListed(backend_record("i1"))], NOW_S)
        source.record_source_failure(Topic.BACKENDS, "silent", NOW_S)
        source.record_source_answer(Topic.BACKENDS, NOW_S + 1)
        before = relay.view().sequence
        source.apply([BackendUnlisted("i1")], NOW_S + 1)
        after = relay.view().sequence
        source.expire(NOW_S + 10)
        return before, after, await relay.changes(relay.epoch, after, 0, 0.0)

    before, after, relayed = run(follow())
    assert after == before
    assert relayed.changes == (BackendUnlisted("i1"),)


def test_long_poll_ends_soon_after_the_source_becomes_unreachable():
    async def follow():
        source = _view()
        relay = Relay(source)
        long_poll = asyncio.create_task(relay.changes(relay.epoch, 0, 0, 20.0))
        await asyncio.sleep(1.0)
        source.record_source_failure(Topic.CONFIGURATION, "silent", NOW_S)
        started_s = asyncio.get_running_loop().time()
        return await long_poll, asyncio.get_running_loop().time() - started_s

    relayed, took_s = run(follow())
    assert relayed is None
    assert took_s < 0.5


def test_changes_of_another_process_or_no_longer_retained_are_refused():
    async def follow():
        source = _view()
        relay = Relay(source)
        for number in range(MAX_RETAINED_CHANGES + 10):
            source.apply([BackendListed(backend_record("i1", slots=number + 1))], NOW_S)
        return (
            await relay.changes("other", 0, 0, 1.0),
            await relay.changes(relay.epoch, 5, 0, 1.0),
            await relay.changes(relay.epoch, MAX_RETAINED_CHANGES, 0, 1.0),
        )

    other, old, known = run(follow())
    assert other is None and old is None
    assert len(known.changes) == 10


def _peers(members, me):
    """Return the peers from the perspective of one member."""
    mine = members[me]
    settings = router_settings(mine.host, zone=mine.zone, capacity_cores=mine.capacity_cores)
    peers = Peers(settings, lambda: NOW_S, lambda: 1.0, random.Random(1))
    for member in members:
        if member.host != mine.host:
            peers.membership.table.apply(member, NOW_S, "test")
    return peers


def _members(*capacities, zones=3):
    return [
        Member(Role.ENTRY, f"10.0.0.{number}", f"z{number % zones + 1}", 1, capacity_cores=cores)
        for number, cores in enumerate(capacities)
    ]


def test_limit_shares_of_all_routers_add_up_to_one():
    for members in (_members(*[1.0] * 8), _members(*[2.15] * 6, *[0.516] * 30)):
        shares = [_peers(members, number).limit_share() for number in range(len(members))]
        assert abs(sum(shares) - 1.0) < 1e-9


def test_failed_router_keeps_its_limit_share():
    members = _members(*[1.0] * 4)
    peers = _peers(members, 0)
    lost = members[1].with_state(MemberState.DEAD)
    peers.membership.table.apply(lost, NOW_S, "test")
    assert peers.limit_share() == 0.25


def test_only_high_capacity_routers_are_returned_if_capacities_differ():
    routers = [
        RouterAddress(f"10.0.0.{number}", f"z{number % 3 + 1}", capacity_cores=cores)
        for number, cores in enumerate([2.15] * 6 + [0.516] * 30)
    ]
    for zone in ("z1", "z2", "z3"):
        chosen = choose_routers(routers, zone, {"z1": "r", "z2": "r", "z3": "r"})
        assert all(router.capacity_cores == 2.15 for router in chosen)
        assert [router.zone for router in chosen].count(zone) == 2


def test_low_capacity_routers_are_returned_if_others_are_few_or_overloaded():
    few = [RouterAddress(f"h{number}", "z1", capacity_cores=2.0) for number in range(2)]
    low_capacity = [RouterAddress(f"l{number}", "z1", capacity_cores=0.5) for number in range(4)]
    assert len(choose_routers(few + low_capacity, "z1", {})) == 6
    overloaded = [
        RouterAddress(f"h{number}", "z1", is_overloaded=True, capacity_cores=2.0)
        for number in range(4)
    ]
    assert {router.host[0] for router in choose_routers(overloaded + low_capacity, "z1", {})} == {
        "l"
    }


def test_fixed_number_of_routers_per_data_centre_reads_the_store():
    members = _members(*[1.0] * 30)
    readers: Counter[str] = Counter()
    for number, member in enumerate(members):
        table_of_member = _peers(members, number).membership.table
        assert isinstance(table_of_member, MemberTable)
        readers[member.zone] += is_reader(table_of_member)
    assert set(readers.values()) == {READERS_PER_ZONE}


def test_readers_are_the_reachable_members_that_read_the_store():
    members = [
        msgspec.structs.replace(
            member,
            leaving=number % 7 == 0,
            state=MemberState.SUSPECT if number % 5 == 0 else MemberState.ALIVE,
        )
        for number, member in enumerate(_members(*[1.0] * 60))
    ]
    table_of_member = _peers(members, 1).membership.table
    readers = {member.host for member in reachable_readers(table_of_member)}
    assert readers == {
        member.host
        for member in table_of_member.reachable()
        if not member.leaving and is_reader(table_of_member, member)
    }


def _role_of_follower(view: View, clock_s: list[float]) -> ReaderRole:
    """Return the role of a router of thirty that is none of the readers."""
    members = _members(*[1.0] * 30)
    all_peers = (_peers(members, number) for number in range(30))
    peers = next(item for item in all_peers if not is_reader(item.membership.table))
    return ReaderRole(view, peers, 0.0, lambda: clock_s[0])


def test_router_without_a_peer_to_follow_reads_the_store_after_a_delay():
    clock_s = [NOW_S]
    view = _view(is_reachable=False)
    role = _role_of_follower(view, clock_s)
    assert not role.should_read()
    clock_s[0] += READ_WITHOUT_PEER_AFTER_S
    assert role.should_read()
    for topic in Topic:
        view.record_relay_answer(topic, "10.0.0.1", clock_s[0])
    assert not role.should_read()


# A hunt's day on vbw-search-grown: version 3 was in force 5.2 s after version 6 was acknowledged.
def test_router_whose_peers_lose_the_store_one_after_the_other_reads_it_in_time():
    """Times since the last answer of a peer, as in a replay of the day."""
    clock_s = [NOW_S]
    view = _view(is_reachable=False)
    role = _role_of_follower(view, clock_s)

    def follow(peer):
        for topic in Topic:
            view.record_relay_answer(topic, peer, clock_s[0])

    def lose():
        for topic in Topic:
            view.record_relay_failure(topic, clock_s[0])

    events = {2.8: lose, 3.2: lambda: follow("10.0.0.2"), 3.4: lose}
    follow("10.0.0.1")
    reads_s = []
    for step in range(int(10 * MAX_VERSION_DELAY_S)):
        after_s = round(0.1 * step, 1)
        clock_s[0] = NOW_S + after_s
        events.get(after_s, lambda: None)()
        if role.should_read():
            reads_s.append(after_s)
    assert reads_s and reads_s[0] + STORE_READ_S <= MAX_VERSION_DELAY_S


# A trial of the remedy: a router that read the store stopped at once and began again, 12,394 calls.
def test_router_without_a_peer_seldom_reads_the_whole_store():
    clock_s = [NOW_S]
    view = _view(is_reachable=False)
    role = _role_of_follower(view, clock_s)
    reads = 0
    for step in range(int(10 * OBSERVED_S)):
        clock_s[0] = NOW_S + 0.1 * step
        if role.should_read():
            reads += not view.is_source_reachable(Topic.BACKENDS)
            for topic in Topic:
                view.record_source_answer(topic, clock_s[0])
        else:
            for topic in Topic:
                view.record_source_unused(topic, clock_s[0])
    assert 2 <= reads <= OBSERVED_S / READ_WITHOUT_PEER_AFTER_S


def _removal_s(left_s: float) -> float:
    """Return when a router without peers has removed a server that leaves at a time."""
    clock_s = [NOW_S]
    view = _view(is_reachable=False)
    role = _role_of_follower(view, clock_s)
    for step in range(1000):
        after_s = 0.1 * step
        clock_s[0] = NOW_S + after_s
        listed = [BackendListed(backend_record("i1"))] if after_s < left_s else []
        if not role.should_read():
            for topic in Topic:
                view.record_source_unused(topic, clock_s[0])
        elif view.is_source_reachable(Topic.BACKENDS):
            view.apply(listed or [BackendUnlisted("i1")], clock_s[0])
        else:
            for topic in Topic:
                view.record_source_answer(topic, clock_s[0])
            view.replace(Topic.BACKENDS, listed, clock_s[0])
        view.expire(clock_s[0])
        if after_s >= left_s and not view.backends:
            return after_s
    raise AssertionError("never removed")


# A replay of hunt-51c1-7: its own reads were 3.1 s apart, and each delayed removals by 2.5 s.
def test_router_without_a_peer_removes_a_server_in_time_after_it_has_left():
    times_s = [5.0 + 0.1 * step for step in range(200)]
    late_s = max(_removal_s(left_s) - left_s for left_s in times_s)
    assert late_s + STORE_READ_S <= MAX_LEAVING_DELAY_S


@pytest.mark.xfail(
    strict=True, reason="KNOWN-RED 33: a removal waits after an own read, as after an outage"
)
def test_router_that_loses_its_peer_removes_a_server_in_time_after_it_has_left():
    """The server leaves as the peer's store falls silent, and no other peer can be followed."""
    clock_s = [NOW_S]
    view = _view(is_reachable=False)
    role = _role_of_follower(view, clock_s)
    view.apply([BackendListed(backend_record("i1"))], NOW_S, from_peer=True)
    for topic in Topic:
        view.record_relay_answer(topic, "10.0.0.1", NOW_S)
    for step in range(int(10 * (MAX_LEAVING_DELAY_S - STORE_READ_S))):
        clock_s[0] = NOW_S + 0.1 * step
        if step == int(10 * WATCH_TIMEOUT_S):
            for topic in Topic:
                view.record_relay_failure(topic, clock_s[0])
        if role.should_read() and not view.is_source_reachable(Topic.BACKENDS):
            for topic in Topic:
                view.record_source_answer(topic, clock_s[0])
            view.replace(Topic.BACKENDS, [], clock_s[0])
        view.expire(clock_s[0])
    assert not view.backends


def test_share_of_rates_leaves_out_other_routers_that_are_cut_off():
    members = [
        Member(Role.ENTRY, f"10.0.0.{number}", "z1", 1, is_cut_off=number >= 3)
        for number in range(8)
    ]
    assert _peers(members, 0).limit_share(of_reaching=True) == pytest.approx(1 / 3)
    assert _peers(members, 0).limit_share() == pytest.approx(1 / 8)
    peers = _peers(members, 0)
    peers.set_cut_off(True)
    assert peers.limit_share(of_reaching=True) == pytest.approx(1 / 3)


def test_requests_are_forwarded_to_peers_that_reach_servers_and_stay():
    members = [
        Member(Role.ENTRY, "10.0.0.0", "z1", 1),
        Member(Role.ENTRY, "10.0.0.1", "z1", 1, is_cut_off=True),
        Member(Role.ENTRY, "10.0.0.2", "z1", 1, leaving=True),
        Member(Role.ENTRY, "10.0.0.3", "z2", 1, overloaded=True),
        Member(Role.ENTRY, "10.0.0.4", "z2", 1),
        Member(Role.ENTRY, "10.0.0.5", "z2", 1, MemberState.SUSPECT),
    ]
    assert _peers(members, 0).forwarding_targets() == ["10.0.0.4"]


def test_follower_of_before_the_eras_waits_for_changes_in_a_later_era():
    async def follow():
        view = _view()
        for topic in Topic:
            view.advance(topic, ordered_revision(2, 7), ordered_revision(2, 7))
        relay = Relay(view)
        known = relay.known_revision(7, None)
        started_s = asyncio.get_running_loop().time()
        await relay.changes(relay.epoch, 0, known, 2.0)
        return asyncio.get_running_loop().time() - started_s

    assert run(follow()) >= 2.0


def test_older_view_of_a_peer_is_recognised_in_the_same_and_in_an_earlier_era():
    peer, view = _view(), _view()
    for topic in Topic:
        peer.advance(topic, ordered_revision(1, 90), ordered_revision(1, 80))
        view.advance(topic, ordered_revision(1, 90), ordered_revision(1, 90))
    watermarks = Watermarks.from_view(peer)
    assert not watermarks.is_older_than(view, Topic)
    view.advance(Topic.BACKENDS, ordered_revision(1, 91), ordered_revision(1, 91))
    assert watermarks.is_older_than(view, Topic)
    assert not watermarks.is_older_than(view, [Topic.CONFIGURATION])
    view.advance(Topic.CONFIGURATION, ordered_revision(2, 3), ordered_revision(2, 3))
    assert watermarks.is_older_than(view, [Topic.CONFIGURATION])
    assert not msgspec.structs.replace(watermarks, eras={}).is_older_than(view, Topic)
