"""Tests of the selection of router addresses for a caller."""

from __future__ import annotations

import pytest

from fighinge.router.addresses import (
    MIN_ADDRESSES,
    RouterAddress,
    choose_routers,
    zones_with_servers,
)
from tests.router.builders import backend_record

REGIONS = {"z1": "r1", "z2": "r1", "z3": "r2"}


def _routers(*zones, suspect=()):
    return [
        RouterAddress(f"10.0.0.{number}", zone, number in suspect)
        for number, zone in enumerate(zones)
    ]


def _zones(routers, zone):
    return [router.zone for router in choose_routers(routers, zone, REGIONS)]


def test_only_own_data_centre_is_used_if_it_has_enough_routers():
    assert _zones(_routers("z1", "z1", "z1", "z2"), "z1") == ["z1", "z1", "z1"]


def test_too_few_near_routers_are_supplemented_by_the_next_nearest():
    assert _zones(_routers("z3", "z1", "z2", "z2"), "z1") == ["z1", "z2", "z2"]


def test_suspected_routers_are_returned_only_if_there_are_no_others():
    routers = _routers("z1", "z1", suspect={0})
    assert [router.host for router in choose_routers(routers, "z1", REGIONS)] == ["10.0.0.1"]
    assert len(choose_routers(_routers("z1", suspect={0}), "z1", REGIONS)) == 1


def test_unknown_data_centre_gets_the_minimum_of_routers():
    assert len(_zones(_routers("z1", "z2", "z3", "z3"), "nowhere")) == MIN_ADDRESSES


def test_number_of_addresses_is_limited():
    assert len(choose_routers(_routers(*["z1"] * 100), "z1", REGIONS)) == 64


def test_router_that_is_cut_off_is_left_out_unless_all_are():
    routers = [RouterAddress(f"h{number}", "z1", is_cut_off=number < 2) for number in range(5)]
    chosen = choose_routers(routers, "z1", {"z1": "r"})
    assert {router.host for router in chosen} == {"h2", "h3", "h4"}
    assert len(choose_routers(routers[:2], "z1", {"z1": "r"})) == 2


@pytest.mark.parametrize(
    ("zone", "server_zones", "expected"),
    [
        ("z1", {"z2", "z4"}, {"z2", "z4"}),
        ("z2", {"z2", "z4"}, {"z2"}),
        ("z1", {"z3"}, {"z1"}),
        ("z1", set(), {"z1"}),
    ],
    ids=["no servers", "servers", "servers in another region", "unknown servers"],
)
def test_caller_whose_data_centre_has_no_servers_gets_the_routers_beside_them(
    zone, server_zones, expected
):
    routers = _routers("z1", "z1", "z1", "z2", "z2", "z2", "z3", "z3", "z3", "z4", "z4", "z4")
    regions = {"z1": "r1", "z2": "r1", "z3": "r2", "z4": "r1"}
    chosen = choose_routers(routers, zone, regions, server_zones)
    assert {router.zone for router in chosen} == expected
    assert len(chosen) == 3 * len(expected)


def test_data_centre_with_servers_of_few_services_counts_as_one_without():
    records = [
        backend_record(f"{zone}-{number}", service=f"s{number}", zone=zone)
        for zone, services in (("z1", 10), ("z2", 9), ("z3", 1))
        for number in range(services)
    ]
    assert zones_with_servers(records) == {"z1", "z2"}
