"""Tests of which hosts carry callers, by load and without network."""

from __future__ import annotations

import random
from itertools import pairwise

import msgspec
import pytest

from fighinge.membership.member import Member, Role
from fighinge.router.addresses import RouterAddress
from fighinge.router.host_load import HostLoad, HostUse
from fighinge.router.host_selection import (
    LIMIT_MEMORY_S,
    SHRINK_DELAY_S,
    HostSelection,
    announced_utilisation,
)
from fighinge.router.peers import Peers
from tests.router.builders import router_settings

ZONES = ("z1", "z2", "z3")


def _hosts(zone="z1", large=2, medium=8, utilisation=0.1, missing=()):
    """Return routers on large and medium hosts of a data centre."""
    hosts = [
        RouterAddress(f"{zone}-{number:02}", zone, capacity_cores=2.15, utilisation=utilisation)
        for number in range(large)
    ]
    hosts += [
        RouterAddress(f"{zone}-{number:02}", zone, capacity_cores=1.25, utilisation=utilisation)
        for number in range(large, large + medium)
    ]
    return [host for host in hosts if host.host not in missing]


def _names(routers):
    return [router.host for router in routers]


def test_few_large_hosts_carry_a_low_load_in_each_data_centre():
    """Guards against callers spread over so many routers that none knows the backend servers."""
    routers = [host for zone in ZONES for host in _hosts(zone)]
    random.Random(3).shuffle(routers)
    selected = HostSelection(2).select(routers, 0.0)
    assert sorted(_names(selected)) == [f"{zone}-0{n}" for zone in ZONES for n in range(3)]


def test_all_hosts_serve_where_there_are_no_more_than_may_fail_and_one():
    """Guards the deployments with two or three high-capacity hosts in each data centre."""
    routers = [host for zone in ZONES for host in _hosts(zone, large=3, medium=0, utilisation=0.0)]
    selection = HostSelection(2)
    assert len(selection.select(routers, 0.0)) == 9
    assert not any(selection.has_choice(zone) for zone in ZONES)


@pytest.mark.parametrize(("utilisation", "expected"), [(0.25, 3), (0.5, 3), (0.75, 6), (1.0, 8)])
def test_hosts_are_added_at_once_as_the_load_rises(utilisation, expected):
    selection = HostSelection(2)
    carrying = _names(selection.select(_hosts(), 0.0))
    loaded = [
        msgspec.structs.replace(host, utilisation=utilisation if host.host in carrying else 0.0)
        for host in _hosts()
    ]
    assert len(selection.select(loaded, 0.1)) == expected


def test_hosts_are_removed_one_by_one_after_the_load_has_been_low():
    selection = HostSelection(2)
    assert len(selection.select(_hosts(utilisation=0.3), 0.0)) > 5
    before = len(selection.select(_hosts(utilisation=0.0), 0.1))
    counts = [len(selection.select(_hosts(utilisation=0.0), 0.1 + n)) for n in range(200)]
    assert counts[int(SHRINK_DELAY_S) - 1] == before
    assert counts[int(SHRINK_DELAY_S)] == before - 1
    assert counts[-1] == 3
    assert all(first - second in (0, 1) for first, second in pairwise(counts))


def test_wave_of_load_does_not_make_the_selection_flap():
    """Demand of a data centre that swings by a half each 15 s moves no caller."""
    selection = HostSelection(2)
    counts = set()
    for tick in range(600):
        utilisation = 0.25 if (tick // 75) % 2 else 0.5
        carrying = 3 if not counts else max(counts)
        hosts = [
            msgspec.structs.replace(host, utilisation=utilisation if place < carrying else 0.0)
            for place, host in enumerate(_hosts())
        ]
        counts.add(len(selection.select(hosts, tick / 10)))
    assert counts == {3}


def test_place_of_a_host_that_fails_is_filled():
    selection = HostSelection(2)
    selection.select(_hosts(), 0.0)
    selected = _names(selection.select(_hosts(missing=("z1-00", "z1-02")), 0.1))
    assert selected == ["z1-01", "z1-03", "z1-04"]


def test_surplus_host_that_has_carried_callers_counts_until_its_calls_have_expired():
    """Guards against a sum of shares above the limit while routers hear of a change."""
    selection = HostSelection(2)
    selection.select(_hosts(missing=("z1-00",)), 0.0)
    assert "z1-03" in _names(selection.select(_hosts(missing=("z1-00",)), 5.0))
    selection.select(_hosts(), 5.1)
    assert not selection.is_surplus("z1-03", 5.2)
    assert not selection.has_full_share("z1-03", 5.2)
    assert selection.is_surplus("z1-03", 5.1 + LIMIT_MEMORY_S)


def test_host_that_joins_the_selection_waits_until_the_others_know():
    selection = HostSelection(2)
    selection.select(_hosts(), 0.0)
    assert selection.is_surplus("z1-03", 0.0)
    selection.select(_hosts(missing=("z1-00",)), 20.0)
    assert not selection.is_surplus("z1-03", 20.0)
    assert not selection.has_full_share("z1-03", 20.9)
    assert selection.has_full_share("z1-03", 21.1)


def _peers(own, hosts, now_s):
    peers = Peers(
        router_settings(own.host, zone=own.zone, capacity_cores=own.capacity_cores),
        lambda: now_s[0],
        lambda: 1.0,
        random.Random(1),
    )
    for host in hosts:
        if host.host != own.host:
            member = Member(Role.ENTRY, host.host, host.zone, 1, capacity_cores=host.capacity_cores)
            peers.membership.table.apply(member, now_s[0], "test")
    return peers


def test_shares_of_all_routers_stay_within_the_limits():
    """Guards the retry budget and the connections, also while a host that carried is lost."""
    hosts = [host for zone in ZONES for host in _hosts(zone)]
    now_s = [0.0]
    fleet = [_peers(own, hosts, now_s) for own in hosts]
    for tick in range(100):
        now_s[0] = tick / 4
        for peers in fleet:
            peers.update_selection(now_s[0])
        assert sum(peers.limit_share() for peers in fleet) <= 1.0 + 1e-9
    shares = sorted(peers.limit_share() for peers in fleet)
    assert shares[-9] == pytest.approx(0.85 / 9)
    assert all(share == pytest.approx(0.15 / 21) for share in shares[:21])


def test_utilisation_is_announced_in_steps_that_seldom_change():
    announced, changes = 0.0, 0
    for value in (0.1, 0.2, 0.26, 0.24, 0.3, 0.27, 0.23, 0.26, 0.1, 0.2):
        following = announced_utilisation(value, announced)
        changes += following != announced
        announced = following
    assert changes <= 3
    assert announced_utilisation(9.0, 0.0) == 1.0


@pytest.mark.parametrize(
    ("use", "announced"),
    [
        (HostUse(0.6, 0, 10), 0.5),
        (HostUse(0.9, 1_000_000, 10), 1.0),
        (HostUse(0.9, 1000, 3000), 0.75),
    ],
    ids=["processor", "link", "descriptors"],
)
def test_scarcest_resource_counts(use, announced):
    load = HostLoad(8e6, 4100, HostUse(0.0, 0, 0), 0.0)
    assert not load.is_due(0.5)
    assert load.is_due(1.0)
    assert load.record(use, 1.0)
    assert load.announced == announced


def test_idle_hosts_are_no_load():
    """Guards against many idle hosts, each rounded up to a quarter, that keep others selected."""
    assert announced_utilisation(0.03, 0.0) == 0.0
    assert announced_utilisation(0.12, 0.0) == 0.0
    assert announced_utilisation(0.13, 0.0) == 0.25
    assert announced_utilisation(0.07, 0.25) == 0.25
    assert announced_utilisation(0.05, 0.25) == 0.0


def test_load_of_overloaded_hosts_is_served_by_more_hosts():
    """Guards against a few hosts after another that each collapse under the same load."""
    hosts = _hosts(utilisation=0.0)
    loaded = [msgspec.structs.replace(host, utilisation=1.0) for host in hosts[:3]]
    selected = HostSelection(2).select(hosts[3:], 0.0, [*loaded, *hosts[3:]])
    assert len(selected) == 7


@pytest.mark.parametrize("state", [{"overloaded": True}, {"is_cut_off": True}, {"leaving": True}])
def test_shares_stay_within_the_limits_while_only_the_host_knows_its_state(state):
    """Guards against a surplus host that counts itself as one that carries callers."""
    hosts = [host for zone in ZONES for host in _hosts(zone)]
    now_s = [0.0]
    fleet = {own.host: _peers(own, hosts, now_s) for own in hosts}
    for tick in range(40):
        now_s[0] = tick / 2
        if tick == 30:
            fleet["z1-09"].membership.table.update_local_member(**state)
            fleet["z2-08"].membership.table.update_local_member(**state)
        for peers in fleet.values():
            peers.update_selection(now_s[0])
        assert sum(peers.limit_share() for peers in fleet.values()) <= 1.0 + 1e-9


def test_router_that_leaves_is_not_named_before_the_next_selection():
    """Guards a planned stop, in which callers have to stop using an address in time."""
    hosts = _hosts()
    peers = _peers(hosts[0], hosts, [0.0])
    peers.update_selection(0.0)
    assert _names(peers.routers_for_callers()) == ["z1-00", "z1-01", "z1-02"]
    peers.membership.table.update_local_member(leaving=True)
    assert _names(peers.routers_for_callers()) == ["z1-01", "z1-02"]
