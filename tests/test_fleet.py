"""Tests of the selection of aggregators and entries for new work."""

from __future__ import annotations

import collections

import msgspec
import pytest

from fighinge.configuration.base import ListedHost
from fighinge.facts import FactBoard
from fighinge.membership.entry_selection import EntryCandidate, choose_entries
from fighinge.membership.fleet import Fleet, Ports
from fighinge.membership.member import Member, MemberState, Role
from fighinge.membership.table import MemberTable
from fighinge.membership.zone_ramp_up import RAMP_DURATION_S, RAMP_STEP_S, ZoneRampUp, ramp_fraction
from fighinge.model import Document, Zone
from tests.builders import document

HOSTS = {f"10.0.{zone}.{number}": f"z{zone}" for zone in (1, 2, 3) for number in range(1, 9)}
CALLERS = [f"caller-{number}" for number in range(4000)]


def _document(evacuated: tuple[str, ...] = ()) -> Document:
    zones = {zone: Zone(in_service=zone not in evacuated) for zone in ("z1", "z2", "z3")}
    return msgspec.structs.replace(document(), zones=zones)


def _candidates(hosts=HOSTS, overloaded=()) -> list[EntryCandidate]:
    return [EntryCandidate(host, zone, host in overloaded) for host, zone in hosts.items()]


def _preferred_host(candidates, caller, zone, evacuated=()) -> str:
    return choose_entries(candidates, _document(evacuated), caller, zone)[0].host


def _fleet(*updates: Member, now_s: float = 0.0) -> tuple[Fleet, FactBoard]:
    table = MemberTable(Member(Role.ENTRY, "10.0.1.1", "z1", 1))
    for update in updates:
        table.apply(update, now_s, "test")
    board = FactBoard()
    clock = lambda: now_s  # noqa: E731
    return Fleet(Ports(1, 2), table, board, ZoneRampUp(board, clock), 10.0, clock), board


# z9 is not in the configuration: its callers use the entries of all data centres.
@pytest.mark.parametrize("zone", ["z1", "z9"])
def test_callers_are_balanced_over_entries(zone):
    counts = collections.Counter(_preferred_host(_candidates(), caller, zone) for caller in CALLERS)
    expected = 8 if zone == "z1" else 24
    assert len(counts) == expected
    assert max(counts.values()) < 1.25 * len(CALLERS) / expected


def test_caller_gets_two_entries_of_its_zone_and_one_of_another():
    zones = [entry.zone for entry in choose_entries(_candidates(), _document(), "c", "z2")]
    assert zones[:2] == ["z2", "z2"]
    assert zones[2] != "z2"


def test_few_selections_change_when_an_entry_is_removed():
    hosts = dict(HOSTS)
    del hosts["10.0.1.3"]
    moved = sum(
        _preferred_host(_candidates(), caller, "z1")
        != _preferred_host(_candidates(hosts), caller, "z1")
        for caller in CALLERS
    )
    assert 0 < moved < 0.2 * len(CALLERS)


@pytest.mark.parametrize(
    ("hosts", "evacuated", "overloaded", "zones"),
    [
        (HOSTS, ("z1",), (), {"z2", "z3"}),
        (HOSTS, ("z1", "z2"), (), {"z3"}),
        (HOSTS, ("z1", "z2", "z3"), (), set()),
        (HOSTS, (), [host for host in HOSTS if HOSTS[host] == "z1"], {"z2", "z3"}),
        (HOSTS, (), list(HOSTS), {"z1", "z2", "z3"}),
        ({host: zone for host, zone in HOSTS.items() if zone != "z1"}, (), (), {"z2", "z3"}),
        ({"10.0.3.1": "z3"}, (), (), {"z3"}),
    ],
)
def test_entries_are_excluded_in_evacuated_zones_and_if_overloaded_unless_all_are(
    hosts, evacuated, overloaded, zones
):
    chosen = set()
    for caller in CALLERS[:200]:
        entries = choose_entries(_candidates(hosts, overloaded), _document(evacuated), caller, "z1")
        chosen |= {entry.zone for entry in entries}
    assert chosen == zones


@pytest.mark.parametrize(
    ("changes", "accepts_work"),
    [
        ({}, True),
        ({"state": MemberState.SUSPECT, "accuser": "x"}, True),
        ({"state": MemberState.DEAD}, False),
        ({"leaving": True}, False),
    ],
)
def test_only_dead_and_leaving_members_get_no_new_work(changes, accepts_work):
    alive = Member(Role.AGGREGATOR, "10.0.2.2", "z2", 5)
    fleet, _board = _fleet(alive, msgspec.structs.replace(alive, incarnation=6, **changes))
    assert [candidate.name for candidate in fleet.aggregators()] == ["10.0.2.2"] * accepts_work


@pytest.mark.parametrize(
    ("members", "listed", "expected"),
    [
        ([], {"10.0.2.2": "live"}, ["10.0.2.2"]),
        ([], {"10.0.2.2": "leaving"}, []),
        (["10.0.2.2"], {}, ["10.0.2.2"]),
        (["10.0.2.2"], {"10.0.2.2": "leaving"}, []),
        (["10.0.2.2"], {"10.0.2.2": "live", "10.0.2.3": "live"}, ["10.0.2.2"]),
    ],
)
def test_host_list_is_authoritative_only_for_leaving_hosts(members, listed, expected):
    fleet, _board = _fleet(*(Member(Role.AGGREGATOR, host, "z2", 5) for host in members))
    fleet.update_hosts([ListedHost(host, "z2", state) for host, state in listed.items()])
    assert [candidate.name for candidate in fleet.aggregators()] == expected


def test_host_list_is_used_until_a_member_of_the_role_is_known():
    fleet, _board = _fleet(Member(Role.ENTRY, "10.0.2.2", "z2", 5))
    fleet.update_hosts([ListedHost("10.0.2.2", "z2", "live"), ListedHost("10.0.2.3", "z2", "live")])
    assert len(fleet.aggregators()) == 2


@pytest.mark.parametrize(
    ("elapsed_s", "fraction"),
    [(0.0, 0.125), (RAMP_STEP_S, 0.25), (2 * RAMP_STEP_S, 0.5), (RAMP_DURATION_S, 1.0), (1e6, 1.0)],
)
def test_zone_ramps_up_in_steps(elapsed_s, fraction):
    assert ramp_fraction(elapsed_s) == fraction
