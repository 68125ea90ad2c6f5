"""Tests that new requests prove themselves at one shard while others end servers."""

from __future__ import annotations

import asyncio

import pytest

from fighinge.router.crash_evidence import Crash
from fighinge.router.crash_suspects import CANARY_DURATION_S
from fighinge.router.hedge_delay import hedge_delay_s
from tests.router.builders import (
    LOST,
    TYPICAL_S,
    RouterFixture,
    gather_route,
    shard_backend_records,
    table,
)
from tests.virtual_time import run

SHARDS = 6
TARGET_S = 0.3


def _router(crashes=2):
    """Return a router that has learned of crashes under a request."""
    router = RouterFixture()
    router.publish(table(gather_route(SHARDS)), *shard_backend_records(SHARDS))
    router.set_typical_latency("all")
    for number in range(crashes):
        crash = Crash(f"gone{number}", f"s{number}", is_probe=False, sent_s=router.clock())
        router.board.add(crash.to_fact("crashing"), router.clock())
    return router


def _lose_all(router):
    for record in shard_backend_records(SHARDS):
        router.calls.script(record.instance_id, *[(0.005, LOST)] * 5)


def _starts_s(router):
    """Return when each call was sent, in seconds after the first one."""
    return [at_s - router.calls.sent[0][1] for _, at_s in router.calls.sent]


def _send_crashing(crashes):
    """Send a request that ends its servers; return the status and the servers that it reached."""

    async def work():
        router = _router(crashes)
        _lose_all(router)
        answered = await router.send("/all/new")
        return answered.status, {name for name, _ in router.calls.sent}

    return run(work())


def test_request_that_ends_servers_reaches_one_shard_if_another_has_just_done_so():
    status, called = _send_crashing(crashes=2)
    assert status == 502
    assert len(called) <= 2  # of one shard


@pytest.mark.parametrize("crashes", [0, 1])
def test_request_goes_to_all_shards_at_once_without_a_suspect_request(crashes):
    status, called = _send_crashing(crashes)
    assert status == 502
    assert len(called) >= SHARDS


def test_other_shards_are_called_as_soon_as_one_has_answered():
    async def work():
        router = _router()
        answered = await router.send("/all/new")
        return dict(answered.headers)["X-Missing-Parts"], _starts_s(router)

    missing, starts_s = run(work())
    assert missing == "0"
    assert starts_s == pytest.approx([0.0, *[TYPICAL_S] * (SHARDS - 1)])


def test_slow_server_holds_the_other_shards_up_only_until_a_hedge_would_be_sent():
    async def work():
        router = _router()
        for record in shard_backend_records(SHARDS):
            router.calls.script(record.instance_id, (0.2, None))
        answered = await router.send("/all/new")
        return dict(answered.headers)["X-Missing-Parts"], _starts_s(router)

    missing, starts_s = run(work())
    assert missing == "0"
    assert starts_s[1] <= hedge_delay_s(TYPICAL_S, TARGET_S)


def test_request_that_was_answered_before_goes_to_all_shards_at_once():
    async def work():
        router = _router(crashes=0)
        await router.send("/all/popular")
        for number in range(2):
            crash = Crash(f"gone{number}", f"s{number}", is_probe=False, sent_s=router.clock())
            router.board.add(crash.to_fact("crashing"), router.clock())
        router.calls.sent.clear()
        await router.send("/all/popular")
        return _starts_s(router)

    assert run(work()) == pytest.approx([0.0] * SHARDS)


def test_requests_go_to_all_shards_at_once_some_time_after_the_crashes():
    async def work():
        router = _router()
        await asyncio.sleep(CANARY_DURATION_S + 0.1)
        await router.send("/all/new")
        return _starts_s(router)

    assert run(work()) == pytest.approx([0.0] * SHARDS)
