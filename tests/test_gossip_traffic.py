"""Tests of how much gossip crosses between data centres, in a simulated network."""

from __future__ import annotations

import asyncio

import pytest

from fighinge.facts import Fact, FactKind
from tests.fleets import ProcessFleet, until
from tests.virtual_time import run

ZONES = 3
OBSERVED_S = 10.0
SPREAD_S = 2.0
MAX_CROSSING_RATIO = 0.45  # probes for failures go to all members alike


async def _observe(hosts_per_zone):
    """Spread facts; return the share of datagrams that cross, and whether all know the last."""
    fleet = ProcessFleet(ZONES, hosts_per_zone)
    await until(fleet.all_alive, 30.0)
    crossing = []

    def count(sender, receiver):
        crossing.append(fleet.hosts[sender] != fleet.hosts[receiver])
        return False

    fleet.network.is_blocked = count
    first = next(iter(fleet.processes.values()))
    for number in range(int(OBSERVED_S)):
        fact = Fact(FactKind.LOSS, f"f{number}", "v", first.clock() + 60.0)
        first.board.add(fact, first.clock())
        await asyncio.sleep(1.0)
    await asyncio.sleep(SPREAD_S)
    knows_last = [
        bool(process.board.facts(FactKind.LOSS, f"f{number}", process.clock()))
        for process in fleet.processes.values()
    ]
    for process in fleet.processes.values():
        process.crash()
    return sum(crossing) / len(crossing), all(knows_last)


def test_most_gossip_of_a_large_fleet_stays_in_its_data_centre_and_reaches_all():
    ratio, all_know = run(_observe(12))
    assert all_know
    assert ratio <= MAX_CROSSING_RATIO


@pytest.mark.parametrize("hosts_per_zone", [2, 4])
def test_gossip_of_a_small_fleet_reaches_all(hosts_per_zone):
    assert run(_observe(hosts_per_zone))[1]
