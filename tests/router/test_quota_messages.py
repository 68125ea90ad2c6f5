"""Tests of the parts of a quota: the bucket, the owners, and what routers tell each other."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from fighinge.ownership import rendezvous_weight
from fighinge.router.metrics import MAX_ACCOUNT_LABELS, QUOTA_REQUESTS, QuotaMetrics
from fighinge.router.owned_quotas import QuotaGrant, QuotaRequest
from fighinge.router.quota import Decision, Lease, LocalAllowance, QuotaLimits, TokenBucket
from fighinge.router.quota_owners import (
    GROWTH_DELAY_S,
    LEVEL_RATIO,
    QuotaOwners,
    RouterSet,
    start_level,
)
from tests.router.quota_fleet import BOUNDS, QuotaFleet, account
from tests.virtual_time import run

LIMITS = QuotaLimits.from_account(account(), BOUNDS)
HOSTS = frozenset(f"10.0.0.{number}" for number in range(6))
OWN = "10.0.0.0"


def _owners(*steps, until_s=0.0):
    """Return owners after the sets of routers of some times, with an update each 0.1 s."""
    owners = QuotaOwners(OWN, BOUNDS.window_s, 0.0)
    ends_s = [step[0] for step in steps[1:]] + [until_s]
    for (start_s, alive), end_s in zip(steps, ends_s, strict=True):
        for tick in range(int(start_s * 10), int(end_s * 10) + 1):
            owners.update(RouterSet(frozenset(alive), len(HOSTS), 1 / 6), tick / 10)
    return owners


def test_reserve_is_divided():
    assert (LIMITS.quota, LIMITS.reserve) == (66.0, 36.5)
    assert LIMITS.lease_s * LIMITS.rate_per_s <= LIMITS.reserve / 8


def test_grants_ahead_come_out_of_what_exceeds_the_burst():
    """Guards against unused grants that cost another router requests within the quota."""
    bucket = TokenBucket(LIMITS, 0.0)
    decision = bucket.take(0, 100, 0.0)
    assert decision.ahead == 4
    assert bucket.take(0, 100, 0.0).ahead == 0
    assert bucket.take(100, 0, 0.0).granted == 11


def test_bucket_without_slack_and_burst_still_admits_the_rate():
    limits = QuotaLimits(2.0, 0.0, 5.0, 0.0)
    bucket = TokenBucket(limits, 0.0)
    granted = sum(bucket.take(1, 1, tick / 10).granted for tick in range(51))
    assert granted in (10, 11)
    assert limits.lease_s == 0.0


def test_lower_limit_applies_to_what_the_bucket_holds():
    bucket = TokenBucket(LIMITS, 0.0)
    bucket.set_limits(QuotaLimits.from_account(account("desk", 2.0, 2.0), BOUNDS), 0.0)
    assert bucket.take(100, 0, 0.0).granted <= 6


def test_lease_ends():
    lease = Lease(0.0)
    lease.add(2, 1.0)
    assert [lease.use(0.5), lease.use(1.0)] == [True, False]


def test_allowance_has_room_again_after_a_window():
    allowance = LocalAllowance()
    assert allowance.use(1.5, 5.0, 10.0) is None
    assert allowance.use(1.5, 5.0, 12.0) == 3.0
    assert allowance.use(1.5, 5.0, 15.0) is None
    assert LocalAllowance().use(0.5, 5.0, 0.0) == 5.0


def test_accounts_are_spread_over_owners_and_move_only_from_a_router_that_is_gone():
    before, after = _owners((0.0, HOSTS), until_s=4.0), _owners((0.0, HOSTS), until_s=4.0)
    gone = "10.0.0.3"
    assert after.update(RouterSet(HOSTS - {gone}, 6, 1 / 6), 4.1)
    names = [f"account-{number}" for number in range(100)]
    assert {before.owner(name) for name in names} == HOSTS
    moved = [name for name in names if before.owner(name) != after.owner(name)]
    assert moved == [name for name in names if before.owner(name) == gone]


def test_no_owner_is_known_before_membership_is_complete():
    assert _owners((0.0, HOSTS), until_s=1.0).owner("desk") is None


def test_new_owners_start_with_levels_that_have_a_bounded_sum():
    owners = _owners((0.0, HOSTS), until_s=20.0)
    others = HOSTS - {OWN}
    name = next(
        name
        for name in map(str, range(1000))
        if all(rendezvous_weight(host, name) > rendezvous_weight(OWN, name) for host in others)
    )
    assert owners.takeovers_here(name, 3, 5.0, 20.0) == 0
    alive, levels = set(HOSTS), []
    for number in range(5):
        at_s = 20.0 + number / 10
        alive.remove(owners.owner(name))
        owners.update(RouterSet(frozenset(alive), 6, 1 / 6), at_s)
        count = owners.takeovers_here(name, 0, 5.0, at_s)
        levels.append(start_level(LIMITS, count))
    assert owners.owner(name) == OWN
    assert levels[0] == LIMITS.takeover_level
    assert sum(levels) <= LIMITS.takeover_level / (1 - LEVEL_RATIO)


def test_account_that_has_not_moved_keeps_its_whole_burst():
    owners = _owners((0.0, HOSTS), until_s=20.0)
    gone = min(HOSTS - {OWN, owners.owner("desk")})
    owners.update(RouterSet(HOSTS - {gone}, 6, 1 / 6), 20.1)
    assert owners.takeovers_here("desk", 0, 5.0, 20.1) == 0


def test_owner_that_was_paused_starts_like_a_new_one():
    owners = _owners((0.0, HOSTS), until_s=20.0)
    owners.record_pause(20.0)
    assert owners.takeovers_here("desk", 0, 5.0, 20.0) == 1


@pytest.mark.parametrize("reached", range(1, 7))
def test_parts_of_separated_groups_add_up(reached):
    group = {OWN, *sorted(HOSTS)[:reached]}
    others = 6 - len(group)
    owners = _owners((0.0, HOSTS), (10.0, group), until_s=30.0)
    part = owners.scale(LIMITS, 30.0)
    whole = (LIMITS.quota + LIMITS.allowance) / LIMITS.quota
    assert part <= 1.0
    assert part + others / 6 * whole <= whole + 1e-9


def test_part_of_a_minority_is_small_at_first_and_grows_late_after_the_partition():
    group = {OWN, "10.0.0.1"}
    owners = _owners((0.0, HOSTS), (10.0, group), until_s=11.0)
    reserve_only = owners.scale(LIMITS, 11.0)
    assert reserve_only * LIMITS.quota <= LIMITS.allowance / 3 + 1e-9
    later = _owners((0.0, HOSTS), (10.0, group), until_s=17.0).scale(LIMITS, 17.0)
    assert later > 2 * reserve_only
    healed = _owners((0.0, HOSTS), (10.0, group), (20.0, HOSTS), until_s=20.1)
    assert healed.scale(LIMITS, 20.1) == later
    assert healed.scale(LIMITS, 20.1 + GROWTH_DELAY_S) == 1.0


def test_router_that_starts_without_the_others_issues_little():
    assert _owners((0.0, {OWN}), until_s=4.0).scale(LIMITS, 4.0) < 0.1


def test_messages_have_a_form_that_other_builds_can_read():
    """Guards against a change of fields that an older router drops."""
    encode = msgspec.msgpack.encode
    asked = QuotaRequest(7, "desk", 2, 3)
    assert msgspec.msgpack.decode(encode(asked)) == ["quota-request", 7, "desk", 2, 3, 0]
    granted = QuotaGrant(7, "desk", Decision(1, 0, 0.5, 0.25, 0.1))
    expected = ["quota-grant", 7, "desk", [1, 0, 0.5, 0.25, 0.1], ""]
    assert msgspec.msgpack.decode(encode(granted)) == expected
    longer = encode([*msgspec.msgpack.decode(encode(asked)), "later field"])
    assert msgspec.msgpack.decode(longer, type=QuotaRequest) == asked


def test_request_that_is_sent_again_gets_the_same_answer():
    """Guards against a lost answer that costs the account its requests twice."""

    async def check():
        fleet = QuotaFleet(6, account())
        await fleet.start()
        gate = fleet.routers[fleet.owner("desk")].gate
        first = gate._owned.answer(QuotaRequest(1, "desk", 5, 0), "10.0.0.9", fleet.now_s)
        assert gate._owned.answer(QuotaRequest(1, "desk", 5, 0), "10.0.0.9", fleet.now_s) == first
        assert first.decision.granted == 5
        rest = gate._owned.answer(QuotaRequest(2, "desk", 100, 0), "10.0.0.9", fleet.now_s)
        assert 5 + rest.decision.granted >= 11

    run(check())


def test_router_that_is_not_the_owner_names_it():
    async def check():
        fleet = QuotaFleet(6, account())
        await fleet.start()
        owner = fleet.owner("desk")
        other = next(host for host in fleet.hosts if host != owner)
        answer = fleet.routers[other].gate._owned.answer(
            QuotaRequest(1, "desk", 1, 0), "10.0.0.9", fleet.now_s
        )
        assert (answer.decision, answer.owner) == (None, owner)

    run(check())


def test_state_of_accounts_without_requests_is_forgotten():
    async def check():
        names = [f"account-{number}" for number in range(200)]
        fleet = QuotaFleet(3, *(account(name) for name in names))
        await fleet.start()
        for name in names:
            assert await fleet.ask(name, fleet.hosts[0]) is None
        await asyncio.sleep(11.0)
        for router in fleet.routers.values():
            assert (router.gate._states, len(router.gate._owned)) == ({}, 0)

    run(check())


def test_refusal_is_logged_with_who_decided_at_a_bounded_rate():
    async def check():
        fleet = QuotaFleet(6, account())
        await fleet.start()
        owner = fleet.owner("desk")
        host = next(host for host in fleet.hosts if host != owner)
        for _ in range(60):
            await fleet.ask("desk", host)
        lines = [line for line in fleet.routers[host].log.lines if line["event"] == "quota used up"]
        assert 1 <= len(lines) <= 2
        line = lines[0]
        assert (line["account"], line["decided_by"], line["rate_per_s"]) == ("desk", owner, 11.0)
        assert line["level"] < 1

    run(check())


def test_metrics_name_only_the_largest_accounts():
    metrics = QuotaMetrics()
    accounts = [account(f"metric-{n}", rate_per_s=n + 1.0) for n in range(MAX_ACCOUNT_LABELS + 30)]
    metrics.set_accounts(accounts)
    for each in accounts:
        metrics.observe(each.name, is_admitted=True)
    labels = {
        sample.labels["account"]
        for family in QUOTA_REQUESTS.collect()
        for sample in family.samples
        if sample.labels["account"].startswith("metric-")
    }
    assert labels == {f"metric-{n}" for n in range(30, MAX_ACCOUNT_LABELS + 30)}


@pytest.mark.parametrize("counts", [(3,), (0, 3)])
def test_new_owner_heeds_how_often_the_asking_routers_saw_the_owner_change(counts):
    """Guards against routers that join in a row and each start with the whole level."""

    async def check():
        fleet = QuotaFleet(1, account())
        await fleet.start_router(fleet.hosts[0])
        owned = fleet.routers[fleet.hosts[0]].gate._owned
        await asyncio.sleep(2.0)  # asked before it counts itself
        owned.set_accounts(fleet.accounts, fleet.now_s)
        owned._owners.update(RouterSet(frozenset(fleet.hosts), 1, 1.0), fleet.now_s)
        for number, count in enumerate(counts):
            asked = QuotaRequest(number, "desk", 0, 0, count)
            level = owned.answer(asked, "10.0.0.9", fleet.now_s).decision.level
        assert level == start_level(LIMITS, 3)

    run(check())
