"""Tests of the retry budget that all routers share."""

from __future__ import annotations

import random

import pytest

from fighinge.router.retry_budget import RetryBudget, RetryBudgetLimits

LIMITS = RetryBudgetLimits(ratio=0.2, window_s=10.0, slack=56.0)


@pytest.mark.parametrize("requests_per_s", [0.5, 5.0, 50.0])
@pytest.mark.parametrize("routers", [1, 8, 79])
def test_sum_of_all_routers_stays_within_the_limit_in_any_window(routers, requests_per_s):
    """Every router spends its full budget; the bound applies to any window."""
    random_source = random.Random(7)
    budgets = [RetryBudget(LIMITS) for _ in range(routers)]
    requests_s: list[float] = []
    extra_calls_s: list[float] = []
    now_s = 1000.0
    while now_s < 1040.0:
        now_s += random_source.expovariate(requests_per_s)
        budget = random_source.choice(budgets)
        budget.record_request(now_s)
        requests_s.append(now_s)
        while budget.acquire_retry(1 / routers, now_s):
            extra_calls_s.append(now_s)
    assert extra_calls_s or requests_per_s * 10 * LIMITS.ratio < 1 or routers > LIMITS.slack
    for start_s in extra_calls_s:
        extra_calls = sum(start_s <= at_s < start_s + LIMITS.window_s for at_s in extra_calls_s)
        requests = max(
            sum(
                start_s - back_s <= at_s < start_s - back_s + LIMITS.window_s for at_s in requests_s
            )
            for back_s in (0.0, LIMITS.window_s / 2, LIMITS.window_s)
        )
        assert extra_calls <= LIMITS.ratio * requests + LIMITS.slack


def test_hedges_leave_budget_for_retries():
    budget = RetryBudget(LIMITS)
    budget.record_request(1000.0)
    hedges = 0
    while budget.acquire_hedge(1, 1000.0):
        hedges += 1
    assert budget.acquire_retry(1, 1000.0)
    assert hedges > 0


def test_old_calls_expire_from_the_window():
    budget = RetryBudget(LIMITS)
    while budget.acquire_retry(1, 1000.0):
        pass
    assert not budget.acquire_retry(1, 1009.0)
    assert budget.acquire_retry(1, 1011.0)


def test_spent_fraction_rises_with_calls_and_falls_as_the_window_moves():
    budget = RetryBudget(LIMITS)
    fractions = [budget.spent_fraction(1, 1000.0)]
    while budget.acquire_retry(1, 1000.0):
        fractions.append(budget.spent_fraction(1, 1000.0))
    assert fractions[0] == 0.0
    assert fractions == sorted(fractions)
    assert 0.9 < fractions[-1] <= 1.0
    assert budget.spent_fraction(1, 1011.0) == 0.0
