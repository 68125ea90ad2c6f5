"""Tests of which routers a caller is told to use."""

from __future__ import annotations

from fighinge.router.addresses import MIN_ADDRESSES, RouterAddress, choose_routers

REGIONS = {"z1": "r1", "z2": "r1", "z3": "r2"}


def _routers(*zones, suspect=()):
    return [
        RouterAddress(f"10.0.0.{number}", zone, number in suspect)
        for number, zone in enumerate(zones)
    ]


def _zones(routers, zone):
    return [router.zone for router in choose_routers(routers, zone, REGIONS)]


def test_own_data_centre_is_enough_where_it_outlives_the_loss_of_two():
    assert _zones(_routers("z1", "z1", "z1", "z2"), "z1") == ["z1", "z1", "z1"]


def test_few_near_routers_are_filled_up_with_the_nearest_others():
    assert _zones(_routers("z3", "z1", "z2", "z2"), "z1") == ["z1", "z2", "z2"]


def test_suspects_are_named_only_where_nobody_else_is_left():
    routers = _routers("z1", "z1", suspect={0})
    assert [router.host for router in choose_routers(routers, "z1", REGIONS)] == ["10.0.0.1"]
    assert len(choose_routers(_routers("z1", suspect={0}), "z1", REGIONS)) == 1


def test_unknown_data_centre_gets_some_routers():
    assert len(_zones(_routers("z1", "z2", "z3", "z3"), "nowhere")) == MIN_ADDRESSES


def test_no_more_than_callers_take():
    assert len(choose_routers(_routers(*["z1"] * 100), "z1", REGIONS)) == 64
