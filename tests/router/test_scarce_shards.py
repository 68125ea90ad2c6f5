"""Tests of the choice of shards that queries leave out."""

from __future__ import annotations

from collections import Counter
from itertools import pairwise

import pytest

from fighinge.router.scarce_shards import (
    MAX_RETURN_S,
    PROBE_INTERVAL_S,
    QueryNeeds,
    ScarceShards,
    ShardLoad,
)

WORK_S = 0.02
SLOW_CALL_S = 0.13  # nearly all of the time until the soft deadline


def _load(name: str, capacity: float = 10.0, call_s: float = WORK_S) -> ShardLoad:
    return ShardLoad(name, capacity, call_s, call_s)


def _needs(max_left_out: int, soft_patience_s: float = 0.15) -> QueryNeeds:
    return QueryNeeds(WORK_S, max_left_out, soft_patience_s, 1.0)


def _shards(*capacities: float) -> list[ShardLoad]:
    """Return shards with these capacities in calls a second, slow if they are low."""
    return [
        _load(f"s{number}", calls_per_s * WORK_S, SLOW_CALL_S if calls_per_s < 50 else WORK_S)
        for number, calls_per_s in enumerate(capacities)
    ]


def _plans(shards, max_left_out, *, queries=200, interval_s=0.1, scarce=None):
    scarce = scarce or ScarceShards()
    return [
        scarce.plan(shards, _needs(max_left_out), number * interval_s) for number in range(queries)
    ]


def test_nothing_is_left_out_while_the_capacity_suffices():
    """Guards against partial answers of a load that all shards can serve."""
    plans = _plans(_shards(100, 100, 100), 1)
    assert not any(plan.left_out or plan.refused_wait_s is not None for plan in plans)


def test_queries_leave_out_different_shards_in_balance():
    """Guards against all queries leaving out the same one of three shards that lack capacity."""
    plans = _plans(_shards(7, 7, 7, 500), 1)
    assert sum(plan.refused_wait_s is not None for plan in plans) <= 10  # 20 of 21 calls are used
    counts = Counter(name for plan in plans for name in plan.left_out)
    assert set(counts) == {"s0", "s1", "s2"}
    assert max(counts.values()) - min(counts.values()) <= 4


def test_shards_are_left_out_in_proportion_to_what_they_lack():
    """Guards against an even split that overloads the shard with the least capacity."""
    plans = _plans(_shards(4, 8, 500), 1)
    counts = Counter(name for plan in plans for name in plan.left_out)
    calls = {name: len(plans) - counts[name] for name in ("s0", "s1")}
    assert calls["s0"] < 0.7 * calls["s1"]
    assert calls["s0"] <= 4 * 0.1 * len(plans) + 5


def test_query_that_may_leave_out_all_of_them_takes_no_capacity_with_a_backlog():
    """Guards against urgent queries taking calls that whole searches cannot do without."""
    scarce = ScarceShards()
    shards = _shards(2, 2, 2, 500)
    _plans(shards, 1, queries=20, scarce=scarce)
    plan = scarce.plan(shards, _needs(5), 1.91)
    assert set(plan.left_out) == {"s0", "s1", "s2"}


def test_calls_stay_within_the_capacity_and_the_rest_is_refused_with_a_spread_return():
    """Guards against queues that make every query late, and against returns in step."""
    plans = _plans(_shards(2, 2, 2, 500), 1)
    refused = [plan.refused_wait_s for plan in plans if plan.refused_wait_s is not None]
    called = Counter(
        f"s{number}"
        for plan in plans
        if plan.refused_wait_s is None
        for number in range(3)
        if f"s{number}" not in plan.left_out
    )
    assert all(count <= 2 * 20 + 3 for count in called.values())
    assert len(refused) > 100
    assert all(0 < wait_s <= MAX_RETURN_S for wait_s in refused)


def test_refused_queries_are_told_different_times():
    """Guards against queries that are refused together and return together."""
    scarce = ScarceShards()
    shards = _shards(5, 500)
    plans = [scarce.plan(shards, _needs(0), 1.0) for _ in range(12)]
    waits_s = [plan.refused_wait_s for plan in plans if plan.refused_wait_s is not None]
    assert len(waits_s) >= 5
    gaps_s = [later - earlier for earlier, later in pairwise(sorted(waits_s))]
    assert min(gaps_s) > 0.01


def test_refused_query_takes_no_capacity():
    """Guards against refusals that keep a shard's backlog from being worked off."""
    scarce = ScarceShards()
    shards = _shards(5, 500)
    for number in range(100):
        scarce.plan(shards, _needs(0), number / 100)
    admitted = [scarce.plan(shards, _needs(0), 1 + number / 100) for number in range(100)]
    assert 3 <= sum(plan.refused_wait_s is None for plan in admitted) <= 7


@pytest.mark.parametrize("call_s", [0.3, 0.6])
def test_shard_that_is_too_slow_answers_late_within_its_capacity(call_s):
    """Guards against refusing all queries where a late answer is the best that is possible."""
    slow = ShardLoad("s0", 5 * WORK_S, call_s, call_s)
    plans = _plans([slow, _load("s1")], 0)
    admitted = sum(plan.refused_wait_s is None for plan in plans)
    assert 80 <= admitted <= 105


def test_unreachable_shard_is_left_out_and_probed_by_few():
    """Guards against each query waiting for an unreachable shard anew, and against none trying."""
    gone = ShardLoad("s0", 0.0, float("inf"), WORK_S)
    plans = _plans([gone, _load("s1"), _load("s2")], 1, interval_s=0.01)
    assert all(plan.left_out == ("s0",) for plan in plans)
    probes = sum(bool(plan.probed) for plan in plans)
    assert probes == pytest.approx(2.0 / PROBE_INTERVAL_S, abs=1)


def test_recovered_shard_is_called_by_all():
    """Guards against a shard that stays left out after its recovery."""
    scarce = ScarceShards()
    gone = ShardLoad("s0", 0.0, float("inf"), WORK_S)
    _plans([gone, _load("s1")], 1, scarce=scarce)
    plan = scarce.plan([_load("s0"), _load("s1")], _needs(1), 21.0)
    assert not plan.left_out


def test_query_that_needs_an_unreachable_shard_is_refused_unless_it_probes():
    """Guards against queries that wait for their deadline, and against refusing for ever."""
    gone = ShardLoad("s0", 0.0, float("inf"), WORK_S)
    plans = _plans([gone, _load("s1")], 0, interval_s=0.01)
    sent = sum(plan.refused_wait_s is None for plan in plans)
    assert sent == pytest.approx(2.0 / PROBE_INTERVAL_S, abs=1)


def test_nothing_is_refused_at_a_shard_that_answers_well_in_time():
    """Guards against refusals by a share that is too small while other routers need less."""
    fast_enough = ShardLoad("s0", 5 * WORK_S, 0.06, 0.06)
    plans = _plans([fast_enough, _load("s1")], 0)
    assert all(plan.refused_wait_s is None for plan in plans)
