"""Tests of the retry budget of a query class and of the hedge delay."""

from __future__ import annotations

import random

import pytest

from fighinge.aggregator.hedging import HedgeDelay
from fighinge.aggregator.query_class_budgets import ClassRetryBudget


@pytest.mark.parametrize("ratio", [0.0, 0.01, 0.05, 0.2])
def test_extra_calls_never_exceed_budget_ratio(ratio):
    budget = ClassRetryBudget(ratio)
    for _number in range(2000):
        budget.earn()
        while budget.spend():
            pass
        assert budget.extra_calls <= ratio * budget.first_calls + 1e-6


def test_budget_balance_is_bounded():
    budget = ClassRetryBudget(0.05)
    for _number in range(100_000):
        budget.earn()
    spent = 0
    while budget.spend():
        spent += 1
    assert spent == 50


def test_hedge_delay_follows_latency_quantile():
    source = random.Random(1)
    delay = HedgeDelay(0.05)
    assert delay.delay_s is None
    for _number in range(2000):
        delay.record(source.uniform(0.01, 0.02))
    assert 0.0190 < delay.delay_s < 0.0215
    for _number in range(20_000):
        delay.record(source.uniform(0.1, 0.2))
    assert 0.190 < delay.delay_s < 0.215
