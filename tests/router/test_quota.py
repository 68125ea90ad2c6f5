"""Tests of the sums that the quota gates of several routers admit, in virtual time."""

from __future__ import annotations

import asyncio
import itertools

import pytest

from fighinge.ownership import rendezvous_weight
from fighinge.router.owned_quotas import QuotaRequest
from fighinge.router.quota import QuotaLimits
from tests.router.quota_fleet import BOUNDS, QuotaFleet, account, bound
from tests.virtual_time import run

USUAL_PART = 1 / 1.6  # of the quota
SIZES = [(11.0, 11.0), (40.0, 40.0), (1.0, 1.0)]
DESK = account()


def _play(work, *accounts, routers=6, seed=1):
    """Run a coroutine function on a fleet of gates and return the fleet."""

    async def play():
        fleet = QuotaFleet(routers, *accounts, seed=seed)
        await fleet.start()
        await work(fleet)
        return fleet

    return run(play())


def _admitted(fleet, name):
    return sum(ok for _, asked, ok, _ in fleet.requests if asked == name)


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("spread", ["one router", "owner", "all", "moving"])
def test_no_request_within_the_quota_is_refused_in_calm(size, spread):
    """Guards against shares of the quota that do not follow the callers."""
    desk = account("desk", *size)

    def choose(fleet):
        if spread == "one router":
            return next(host for host in fleet.hosts if host != fleet.owner("desk"))
        if spread == "owner":
            return fleet.owner("desk")
        if spread == "moving":
            return fleet.hosts[int(fleet.now_s / 2) % len(fleet.hosts)]
        return fleet.random.choice(fleet.hosts)

    async def work(fleet):
        rate_per_s = desk.rate_per_s * 1.2  # at times beyond the quota, which is refused
        await fleet.load("desk", rate_per_s, 30.0, lambda: choose(fleet))

    fleet = _play(work, desk)
    assert fleet.refused_within_quota("desk") == 0
    assert fleet.max_window("desk") <= bound(desk)


def test_burst_of_the_whole_quota_at_one_router_is_admitted():
    async def work(fleet):
        host = next(host for host in fleet.hosts if host != fleet.owner("desk"))
        await asyncio.gather(*(fleet.ask("desk", host) for _ in range(11)))

    assert _admitted(_play(work, DESK), "desk") == 11


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("factor", [3.0, 5.0, 8.0])
def test_flood_is_held_to_the_quota_and_others_are_served(size, factor):
    flooding, other = account("flooding", *size), account("other")

    async def work(fleet):
        await asyncio.gather(
            fleet.load("flooding", flooding.rate_per_s * USUAL_PART * factor, 16.0),
            fleet.load("other", other.rate_per_s * USUAL_PART, 16.0),
        )

    fleet = _play(work, flooding, other)
    assert fleet.max_window("flooding") <= bound(flooding)
    assert _admitted(fleet, "flooding") >= flooding.rate_per_s * 15.0, "the quota is used"
    assert fleet.refused_within_quota("other") == 0


def test_refused_callers_are_told_different_times_at_which_there_is_room():
    """Guards against refused callers that return together, and are refused again."""

    async def work(fleet):
        waits = await asyncio.gather(*(fleet.ask("desk", fleet.hosts[0]) for _ in range(40)))
        refused = sorted(wait_s for wait_s in waits if wait_s is not None)
        assert len(refused) >= 20
        assert refused[-1] <= BOUNDS.window_s
        gaps = [after - before for before, after in itertools.pairwise(refused)]
        assert min(gaps) >= 0.5 / DESK.rate_per_s

        async def come_back(wait_s):
            await asyncio.sleep(wait_s + 0.001)
            return await fleet.ask("desk", fleet.random.choice(fleet.hosts))

        assert set(await asyncio.gather(*map(come_back, refused))) == {None}

    _play(work, DESK)


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("seed", range(3))
def test_bound_holds_while_routers_join_and_end(size, seed):
    desk = account("desk", *size)

    async def work(fleet):
        load = asyncio.create_task(fleet.load("desk", desk.rate_per_s * 4.0, 24.0))
        for _ in range(5):
            await asyncio.sleep(fleet.random.uniform(0.5, 4.0))
            host = fleet.random.choice([fleet.owner("desk"), *sorted(fleet.routers)])
            if host in fleet.routers:
                fleet.kill(host)
            await asyncio.sleep(fleet.random.uniform(1.0, 3.0))
            if host not in fleet.routers:
                await fleet.start_router(host)
        await load

    fleet = _play(work, desk, seed=seed)
    assert fleet.max_window("desk") <= bound(desk)


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("joining", [1, 6])
def test_bound_holds_while_new_routers_join(size, joining):
    """Guards against two owners, as routers learn of the new ones at different times."""
    desk = account("desk", *size)

    async def work(fleet):
        load = asyncio.create_task(fleet.load("desk", desk.rate_per_s * 5.0, 9.0))
        await asyncio.sleep(2.0)
        for number in range(joining):
            await fleet.start_router(f"10.0.1.{number}")
            await asyncio.sleep(0.3)
        await load

    for seed in range(2):
        fleet = _play(work, desk, seed=seed)
        assert fleet.max_window("desk") <= bound(desk), f"seed {seed}"


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("down_s", [0.3, 1.0, 3.0])
def test_bound_holds_while_all_routers_are_killed_and_start_again(size, down_s):
    desk = account("desk", *size)

    async def work(fleet):
        load = asyncio.create_task(fleet.load("desk", desk.rate_per_s * 4.0, 15.0))
        for _ in range(2):
            await asyncio.sleep(2.0)
            fleet.kill(*fleet.hosts)
            await asyncio.sleep(down_s)
            for host in fleet.hosts:
                await fleet.start_router(host)
        await load

    for seed in range(2):
        fleet = _play(work, desk, seed=seed)
        assert fleet.max_window("desk") <= bound(desk), f"seed {seed}"


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("split", [(2, 4), (3, 3), (2, 2, 2), (1, 5), (1, 1, 1, 1, 1, 1)])
def test_bound_holds_in_partitions_and_after_them(size, split):
    """Guards against owners on both sides that each issue the whole quota."""
    desk = account("desk", *size)

    async def work(fleet):
        load = asyncio.create_task(fleet.load("desk", desk.rate_per_s * 3.0, 30.0))
        await asyncio.sleep(3.0)
        hosts = iter(fleet.hosts)
        fleet.partition(*({next(hosts) for _ in range(size)} for size in split))
        await asyncio.sleep(15.0)
        fleet.partition()
        await load

    fleet = _play(work, desk)
    assert fleet.max_window("desk") <= bound(desk)


@pytest.mark.parametrize("part", [1 / 3, 2 / 3])
def test_both_sides_of_a_partition_serve_the_usual_rate(part):
    """Callers of the account are spread over all routers, each side has its part of them."""

    async def work(fleet):
        fleet.partition(set(fleet.hosts[:2]), set(fleet.hosts[2:]))
        await asyncio.sleep(15.0)
        hosts = fleet.hosts[:2] if part < 0.5 else fleet.hosts[2:]
        await fleet.load("desk", 11.0 * USUAL_PART * part, 20.0, lambda: fleet.random.choice(hosts))

    fleet = _play(work, DESK)
    assert all(is_admitted for _, _, is_admitted, _ in fleet.requests)


@pytest.mark.parametrize("seed", range(3))
def test_bound_holds_with_lost_late_and_repeated_messages(seed):
    async def work(fleet):
        fleet.network.loss, fleet.network.duplicates = 0.2, 0.2
        fleet.network.extra_delay_s = 0.03
        await fleet.load("desk", 11.0 * 5.0, 20.0)

    fleet = _play(work, DESK, seed=seed)
    assert fleet.max_window("desk") <= bound(DESK)


def test_one_lost_message_refuses_nobody():
    async def work(fleet):
        host = next(host for host in fleet.hosts if host != fleet.owner("desk"))
        fleet.network.loss = 1.0
        asyncio.get_running_loop().call_later(0.005, setattr, fleet.network, "loss", 0.0)
        assert await fleet.ask("desk", host) is None

    _play(work, DESK)


def test_requests_do_not_wait_anew_for_an_owner_that_does_not_answer():
    """Guards against a delay of each request while an owner is paused."""

    async def work(fleet):
        owner = fleet.owner("desk")
        fleet.network.silent.add(owner)
        host = next(host for host in fleet.hosts if host != owner)
        await fleet.load("desk", 50.0, 2.0, lambda: host)
        assert sum(wait_s > 0.0 for wait_s in fleet.waits_s) <= 2
        assert max(fleet.waits_s) <= 0.026
        fleet.network.silent.clear()
        await asyncio.sleep(0.3)
        await fleet.ask("desk", host)
        await asyncio.sleep(0.3)
        assert await fleet.ask("desk", host) is None, "the owner is asked again"

    fleet = _play(work, DESK)
    assert fleet.max_window("desk") <= bound(DESK)


def test_owner_that_was_paused_does_not_grant_a_second_burst():
    """Guards against a bucket that fills in a pause, in which another router owns the account."""

    async def work(fleet):
        gate = fleet.routers[fleet.owner("desk")].gate
        limits = QuotaLimits.from_account(DESK, BOUNDS)
        asked = QuotaRequest(1, "desk", 100, 0)
        assert gate._owned.answer(asked, "10.0.0.9", fleet.now_s).decision.granted >= 11
        del fleet.routers[gate._own_host]  # no updates
        await asyncio.sleep(4.0)
        asked = QuotaRequest(2, "desk", 100, 0)
        assert (
            gate._owned.answer(asked, "10.0.0.9", fleet.now_s).decision.granted
            <= limits.takeover_level
        )

    _play(work, DESK)


@pytest.mark.parametrize("size", SIZES)
def test_bound_holds_while_the_owner_changes_again_and_again(size):
    """Guards against new owners that start with a full bucket each."""
    desk = account("desk", *size)

    def weight(host):
        return rendezvous_weight(host, "desk")

    async def work(fleet):
        load = asyncio.create_task(fleet.load("desk", desk.rate_per_s * 5.0, 12.0))
        await asyncio.sleep(2.0)
        heavier = [f"10.0.1.{n}" for n in range(250) if weight(f"10.0.1.{n}") > weight(owner)]
        for host in sorted(heavier, key=weight)[:4]:
            await fleet.start_router(host)
            await asyncio.sleep(0.8)
        await load
        assert weight(fleet.owner("desk")) > weight(owner)

    owner = max((f"10.0.0.{n + 1}" for n in range(6)), key=weight)
    for seed in range(2):
        fleet = _play(work, desk, seed=seed)
        assert fleet.max_window("desk") <= bound(desk), f"seed {seed}"


def test_lowered_limit_binds_after_a_window():
    lower = account("desk", 3.0, 3.0)

    async def work(fleet):
        load = asyncio.create_task(fleet.load("desk", 60.0, 20.0))
        await asyncio.sleep(5.0)
        fleet.apply_accounts(lower)
        fleet.lowered_s = fleet.now_s
        await load

    fleet = _play(work, DESK)
    assert fleet.max_window("desk", fleet.lowered_s) <= bound(lower)


def test_grants_ahead_save_round_trips():
    """Guards against a round trip for each request of an account that sends steadily or little."""

    async def work(fleet):
        host = next(host for host in fleet.hosts if host != fleet.owner("desk"))
        await fleet.load("desk", 7.0, 30.0, lambda: host)

    fleet = _play(work, DESK)
    waited = sum(wait_s > 0 for wait_s in fleet.waits_s)
    assert waited <= 0.6 * len(fleet.waits_s)
    assert max(fleet.waits_s) <= 0.0021


def test_account_without_a_rate_is_not_limited():
    free = account("free", 0.0, 0.0)

    async def work(fleet):
        await asyncio.gather(*(fleet.ask("free", fleet.hosts[0]) for _ in range(500)))

    fleet = _play(work, free)
    assert _admitted(fleet, "free") == 500
    assert fleet.network.sent == 0
