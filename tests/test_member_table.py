"""Tests of the precedence of member updates, suspicion timeouts and the overload detector."""

from __future__ import annotations

import msgspec
import pytest

from fighinge.membership.member import Member, MemberState, Role
from fighinge.membership.table import (
    DEAD_RETENTION_S,
    SUSPICION_MAX_S,
    SUSPICION_MIN_S,
    MemberTable,
    Suspicion,
)
from fighinge.overload import WINDOW_TICKS, OverloadDetector

LOCAL_MEMBER = Member(Role.ENTRY, "10.0.0.1", "z1", 10)
OTHER = Member(Role.ENTRY, "10.0.0.2", "z1", 10)


def _update(member=OTHER, incarnation=10, state="ALIVE", accuser="") -> Member:
    return msgspec.structs.replace(
        member, incarnation=incarnation, state=MemberState[state], accuser=accuser
    )


@pytest.mark.parametrize(
    ("known", "received", "expected"),
    [
        ((10, "ALIVE"), (10, "SUSPECT"), (10, "SUSPECT")),
        ((10, "ALIVE"), (9, "DEAD"), (10, "ALIVE")),
        ((10, "SUSPECT"), (10, "ALIVE"), (10, "SUSPECT")),
        ((10, "SUSPECT"), (11, "ALIVE"), (11, "ALIVE")),
        ((10, "DEAD"), (10, "SUSPECT"), (10, "DEAD")),
        ((10, "DEAD"), (10, "ALIVE"), (10, "DEAD")),
        ((10, "DEAD"), (11, "ALIVE"), (11, "ALIVE")),
        ((10, "DEAD"), (11, "SUSPECT"), (11, "SUSPECT")),
    ],
)
def test_newer_incarnation_or_higher_state_takes_precedence(known, received, expected):
    table = MemberTable(LOCAL_MEMBER)
    table.apply(_update(), 0.0, "test")
    table.apply(_update(OTHER, *known), 0.0, "test")
    table.apply(_update(OTHER, *received), 0.0, "test")
    member = table.get(OTHER.name)
    assert (member.incarnation, member.state.name) == expected


@pytest.mark.parametrize(
    ("received", "incarnation"),
    [
        ((10, "ALIVE"), 10),
        ((9, "DEAD"), 10),
        ((10, "SUSPECT"), 11),
        ((10, "DEAD"), 11),
        ((70, "ALIVE"), 71),
    ],
)
def test_process_refutes_updates_about_itself(received, incarnation):
    table = MemberTable(LOCAL_MEMBER)
    table.apply(_update(LOCAL_MEMBER, *received), 0.0, "test")
    assert (table.local_member.incarnation, table.local_member.state) == (
        incarnation,
        MemberState.ALIVE,
    )


@pytest.mark.parametrize(
    ("accusers", "members", "timeout_s"),
    [
        (1, 10, SUSPICION_MAX_S),
        (2, 10, 4.0),
        (4, 10, SUSPICION_MIN_S),
        (1, 3, SUSPICION_MAX_S),
        (2, 3, SUSPICION_MIN_S),
        (1, 2, SUSPICION_MIN_S),
    ],
)
def test_further_accusers_shorten_the_suspicion_timeout(accusers, members, timeout_s):
    suspicion = Suspicion(0.0, "a0")
    suspicion.accusers |= {f"a{number}" for number in range(accusers)}
    assert suspicion.timeout_s(members) == pytest.approx(timeout_s)


def test_suspect_is_declared_dead_and_later_removed():
    table = MemberTable(LOCAL_MEMBER)
    table.apply(_update(), 0.0, "test")
    table.apply(_update(state="SUSPECT", accuser="a"), 1.0, "test")
    table.expire(1.0 + SUSPICION_MIN_S - 0.1)
    assert table.get(OTHER.name).state is MemberState.SUSPECT
    table.extend_suspicions(2.0)
    table.expire(1.0 + SUSPICION_MIN_S)
    assert table.get(OTHER.name).state is MemberState.SUSPECT
    table.expire(2.0 + SUSPICION_MIN_S)
    assert table.dead() == [table.get(OTHER.name)]
    table.expire(2.0 + SUSPICION_MIN_S + DEAD_RETENTION_S)
    assert table.get(OTHER.name) is None


def test_overload_is_signalled_once_and_cleared_once():
    detector = OverloadDetector()
    lags_s = [0.0] * WINDOW_TICKS + [0.2] * WINDOW_TICKS + [0.05] * WINDOW_TICKS
    changes = [detector.observe(lag_s) for lag_s in lags_s]
    assert changes.count(True) == 1
    assert detector.overloaded
    assert [detector.observe(0.0) for _ in range(WINDOW_TICKS)].count(True) == 1
    assert not detector.overloaded
