"""Tests of when load management is on: deployments that do not ask for it must not change."""

from __future__ import annotations

import pytest

from fighinge.router.load_policy import LoadPolicy
from tests.router.builders import MemoryLog, RouterFixture, client_account, route, table
from tests.virtual_time import run


@pytest.mark.parametrize(
    ("active", "is_on"),
    [
        (None, False),
        (table(route(priority=1)), False),
        (table(route(priority=1), accounts=None), False),
        (table(route(priority=1), accounts=(client_account("desk"),)), False),
        (table(route(priority=1), accounts=(client_account("desk", priority=2),)), False),
        (table(route(priority=1), route("urgent", priority=0)), True),
        (table(route(priority=1), accounts=(client_account("desk", priority=0),)), True),
    ],
)
def test_follows_the_priorities_of_the_active_table(active, is_on):
    policy = LoadPolicy(MemoryLog())
    policy.update(active)
    assert policy.is_on is is_on


def test_turns_off_with_a_table_without_the_highest_priority():
    log = MemoryLog()
    policy = LoadPolicy(log)
    policy.update(table(route(priority=0), version=7))
    policy.update(table(route(priority=1), version=8))
    assert not policy.is_on
    assert [(line["is_on"], line["configuration_version"]) for line in log.lines] == [
        (True, 7),
        (False, 8),
    ]


@pytest.mark.parametrize(
    ("priority", "may_balance_shards", "balances_shards"),
    [(0, False, False), (0, True, True), (1, True, False)],
)
def test_shards_are_balanced_only_if_the_setting_and_a_priority_ask_for_it(
    priority, may_balance_shards, balances_shards
):
    policy = LoadPolicy(MemoryLog(), may_balance_shards=may_balance_shards)
    policy.update(table(route(priority=priority)))
    assert policy.balances_shards is balances_shards


def test_the_pool_follows_the_table_that_is_published():
    async def scenario():
        router = RouterFixture()
        before = router.pool.load_policy.is_on
        router.publish(table(route(priority=0)))
        return before, router.pool.load_policy.is_on

    assert run(scenario()) == (False, True)
