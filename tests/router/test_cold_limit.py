"""Tests of the rate limit of requests to cold backend servers."""

from __future__ import annotations

import random

import pytest

from fighinge.router.changes import BackendListed, TablePublished
from fighinge.router.cold_limit import ColdCallWindow, ColdLimits, cold_quota
from tests.router.builders import backend_record, route, table
from tests.router.test_pool import NOW_S, PoolFixture

LIMITS = ColdLimits(factor=1.5, slack=5.0)


@pytest.mark.parametrize("cold_per_s", [0.5, 2.0, 40.0])
@pytest.mark.parametrize("routers", [1, 3, 8, 79])
def test_sum_of_all_routers_stays_below_the_bound_in_any_second(routers, cold_per_s):
    """Every router uses its full quota."""
    random_source = random.Random(3)
    names = [f"10.0.0.{number}" for number in range(routers)]
    quotas = {name: cold_quota(cold_per_s, LIMITS, names, name, "i1") for name in names}
    calls = {name: ColdCallWindow() for name in names}
    sent = []
    now_s = NOW_S
    while now_s < NOW_S + 5:
        now_s += random_source.expovariate(300)
        name = random_source.choice(names)
        if not calls[name].is_full(quotas[name], now_s):
            calls[name].record_call(now_s)
            sent.append(now_s)
    assert sent
    for start_s in sent:
        within = sum(start_s <= at_s < start_s + 1.0 for at_s in sent)
        assert within <= cold_per_s * LIMITS.factor + LIMITS.slack


def _cold_pool(cold_requests_per_s):
    pool = PoolFixture(cold_requests_per_s=cold_requests_per_s)
    cold = backend_record("i1", zone="z1", cold_left_s=3.0)
    pool.view.apply([BackendListed(cold)], NOW_S)
    return pool


def test_other_servers_are_chosen_when_the_cold_quota_is_used_up():
    pool = _cold_pool(2.0)
    backend = pool.backend("i1")
    backend.connection_quota = 1000
    sent = 0
    while backend.is_usable(NOW_S) and sent < 100:
        backend.start_call(0.02, NOW_S)
        sent += 1
    assert 0 < sent <= 8
    assert pool.most_chosen(NOW_S) in ("i2", "i3")
    assert not backend.is_at_cold_limit(NOW_S + 1.5)
    assert not backend.is_at_cold_limit(NOW_S + 4.0)


def test_service_without_a_cold_rate_has_no_cold_quota():
    assert _cold_pool(0.0).backend("i1").cold_quota is None


def test_limit_follows_the_configuration():
    pool = _cold_pool(0.0)
    pool.view.apply([TablePublished(table(route(), version=2, cold_requests_per_s=2.0))], NOW_S)
    assert pool.backend("i1").cold_quota is not None
