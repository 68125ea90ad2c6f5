"""Tests of the budget that all routers share, by what all of them together send."""

from __future__ import annotations

import random

import pytest

from fighinge.router.retry_budget import RetryBudget, RetryBudgetLimits

TERMS = RetryBudgetLimits(share=0.2, window_s=10.0, slack=56.0)


@pytest.mark.parametrize("requests_per_s", [0.5, 5.0, 50.0])
@pytest.mark.parametrize("routers", [1, 8, 79])
def test_sum_of_all_routers_stays_within_the_window(routers, requests_per_s):
    """Every router takes as much as it gets; any span of a window holds the bound."""
    random_source = random.Random(7)
    budgets = [RetryBudget(TERMS) for _ in range(routers)]
    requests: list[float] = []
    extras: list[float] = []
    now_s = 1000.0
    while now_s < 1040.0:
        now_s += random_source.expovariate(requests_per_s)
        budget = random_source.choice(budgets)
        budget.requested(now_s)
        requests.append(now_s)
        while budget.take_retry(1 / routers, now_s):
            extras.append(now_s)
    assert extras or requests_per_s * 10 * TERMS.share < 1 or routers > TERMS.slack
    for start_s in extras:
        spent = sum(start_s <= at_s < start_s + TERMS.window_s for at_s in extras)
        asked = max(
            sum(start_s - back_s <= at_s < start_s - back_s + TERMS.window_s for at_s in requests)
            for back_s in (0.0, TERMS.window_s / 2, TERMS.window_s)
        )
        assert spent <= TERMS.share * asked + TERMS.slack


def test_hedges_leave_a_part_to_retries():
    budget = RetryBudget(TERMS)
    budget.requested(1000.0)
    hedges = 0
    while budget.take_hedge(1, 1000.0):
        hedges += 1
    assert budget.take_retry(1, 1000.0)
    assert hedges > 0


def test_old_calls_leave_the_window():
    budget = RetryBudget(TERMS)
    while budget.take_retry(1, 1000.0):
        pass
    assert not budget.take_retry(1, 1009.0)
    assert budget.take_retry(1, 1011.0)


def test_spent_share_grows_with_the_calls_and_falls_as_the_window_moves():
    budget = RetryBudget(TERMS)
    shares = [budget.spent_share(1, 1000.0)]
    while budget.take_retry(1, 1000.0):
        shares.append(budget.spent_share(1, 1000.0))
    assert shares[0] == 0.0
    assert shares == sorted(shares)
    assert 0.9 < shares[-1] <= 1.0
    assert budget.spent_share(1, 1011.0) == 0.0
