"""Tests of servers that do not accept connections, in virtual time.

A request must not wait for the time-out of a connection while another server can answer it, and
must still be sent to no more servers than the route, the budget and its own nature allow.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter

import pytest

from fighinge.aggregator.base import Address
from fighinge.router.connection_doubt import SLOW_CONNECTION_S
from tests.router.builders import (
    LOST,
    TYPICAL_S,
    RouterFixture,
    answer,
    backend_record,
    route,
    table,
)
from tests.virtual_time import run

NAMES = ("i0", "i1", "i2")
PAUSE_S = 0.01  # between requests; a refusal takes no time
UNREACHABLE_S = 60.0  # longer than the time-out of a connection
ADDRESSES = {name: Address("127.0.0.1", 9000 + number) for number, name in enumerate(NAMES)}


def _router(*, is_managed: bool = True, servers: int = 3, **changes) -> RouterFixture:
    """Return a router of a service whose first server is preferred.

    :param is_managed: whether load management is on
    """
    fixture_changes = {key: changes.pop(key) for key in ("budget_slack",) if key in changes}
    router = RouterFixture(**fixture_changes, budget_ratio=0.0)
    records = [
        backend_record(name, zone=f"z{number + 1}", address=ADDRESSES[name])
        for number, name in enumerate(NAMES[:servers])
    ]
    routes = (route(**changes), route("urgent", priority=0 if is_managed else 1))
    router.publish(table(*routes), *records)
    router.set_typical_latency("single")
    return router


def _set_unreachable(router: RouterFixture, *names: str) -> None:
    for name in NAMES:
        router.calls.connect_delays_s[name] = UNREACHABLE_S if name in names else 0.0
        (router.calls.ended.add if name in names else router.calls.ended.discard)(ADDRESSES[name])


async def _timed(router: RouterFixture, **changes):
    started_s = router.clock()
    answered = await router.send(**changes)
    return answered.status, router.clock() - started_s


@pytest.mark.parametrize("is_idempotent", [True, False])
@pytest.mark.parametrize("max_attempts", [1, 2])
def test_another_server_is_tried_without_the_budget_before_a_connection_times_out(
    is_idempotent, max_attempts
):
    async def scenario(*, is_managed):
        router = _router(
            is_managed=is_managed,
            is_idempotent=is_idempotent,
            max_attempts=max_attempts,
            budget_slack=0.0,
        )
        _set_unreachable(router, "i0")
        return *await _timed(router), [name for name, _ in router.calls.sent]

    status, took_s, sent = run(scenario(is_managed=True))
    assert (status, len(sent)) == (200, 1)
    assert took_s < SLOW_CONNECTION_S + 1.5 * TYPICAL_S
    status, took_s, sent = run(scenario(is_managed=False))
    assert (status, len(sent)) == (200, 1)
    assert took_s > 0.4, "without load management, requests are served as before"


@pytest.mark.parametrize("is_idempotent", [True, False])
@pytest.mark.parametrize(("other_delay_s", "sender"), [(0.1, "i0"), (0.001, "i1")])
def test_only_the_server_that_connects_first_gets_the_request(is_idempotent, other_delay_s, sender):
    async def scenario():
        router = _router(is_idempotent=is_idempotent, budget_slack=0.0, servers=2)
        router.calls.connect_delays_s |= {"i0": SLOW_CONNECTION_S + 0.01, "i1": other_delay_s}
        router.calls.default_delay_s = 0.3
        status, _ = await _timed(router)
        return status, [name for name, _ in router.calls.sent]

    assert run(scenario()) == (200, [sender])


def test_server_that_refuses_leaves_the_request_to_the_one_that_connects_slowly():
    async def scenario():
        router = _router(servers=2, budget_slack=0.0)
        router.calls.connect_delays_s["i0"] = 0.1
        router.calls.connect_delays_s["i1"] = UNREACHABLE_S
        status, took_s = await _timed(router)
        return status, took_s, [name for name, _ in router.calls.sent]

    status, took_s, sent = run(scenario())
    assert (status, sent) == (200, ["i0"])
    assert took_s < 0.15


def test_request_that_no_server_connects_for_is_refused_as_not_run():
    async def scenario():
        router = _router(budget_slack=0.0)
        _set_unreachable(router, *NAMES)
        return *await _timed(router), router.calls.sent

    status, took_s, sent = run(scenario())
    assert status in (429, 503)
    assert sent == []
    assert took_s < 0.6


def test_hedge_that_is_slow_to_connect_goes_to_a_third_server_and_is_paid_once():
    async def scenario():
        router = _router(budget_slack=1.5)
        router.calls.script("i0", (1.0, answer()))
        router.calls.connect_delays_s |= {"i1": UNREACHABLE_S}
        router.pool.service("s0").backends[2].connection_doubt.record_slow(router.clock())
        status, took_s = await _timed(router)
        return status, took_s, [name for name, _ in router.calls.sent]

    status, took_s, sent = run(scenario())
    assert (status, sent) == (200, ["i0", "i2"])
    assert took_s < 0.2


def test_following_calls_pass_over_the_server_until_a_trial_beside_them_connects():
    async def scenario():
        router = _router()
        _set_unreachable(router, "i0")
        times_s = []
        loop_end_s = router.clock() + 4.0
        while router.clock() < loop_end_s:
            times_s.append((await _timed(router))[1])
            await asyncio.sleep(PAUSE_S)
        sent_meanwhile = Counter(name for name, _ in router.calls.sent)
        _set_unreachable(router)
        router.calls.sent.clear()
        loop_end_s = router.clock() + 3.0
        while router.clock() < loop_end_s:
            times_s.append((await _timed(router))[1])
            await asyncio.sleep(PAUSE_S)
        return times_s, sent_meanwhile, Counter(name for name, _ in router.calls.sent)

    times_s, sent_meanwhile, sent_after = run(scenario())
    assert sent_meanwhile["i0"] == 0
    assert sum(took_s > SLOW_CONNECTION_S for took_s in times_s) == 1
    assert sent_after["i0"] > 50, "the server is used again"


def test_callers_of_a_shard_with_two_unreachable_servers_and_a_slow_one():
    """Two of three servers do not accept connections; the third takes 140 ms (A, trouble-3)."""

    async def scenario(*, is_managed):
        router = _router(is_managed=is_managed)
        _set_unreachable(router, "i0", "i1")
        router.calls.script("i2", (0.14, None))
        results = []
        loop_end_s = router.clock() + 6.0
        while router.clock() < loop_end_s:
            results.append(await _timed(router))
            await asyncio.sleep(PAUSE_S)
        in_time = sum(status == 200 and took_s <= 0.3 for status, took_s in results)
        return in_time / len(results), max(took_s for _, took_s in results)

    before, longest_before_s = run(scenario(is_managed=False))
    after, longest_after_s = run(scenario(is_managed=True))
    assert longest_before_s > 0.4
    assert longest_after_s < 0.3
    assert after == 1.0
    assert before < 0.95


@pytest.mark.parametrize("seed", range(40))
def test_requests_reach_at_most_the_allowed_servers_whatever_connects_when(seed):
    async def scenario():
        source = random.Random(seed)
        max_attempts = source.choice((1, 2))
        is_idempotent = source.random() < 0.6
        has_budget = source.random() < 0.6
        router = _router(
            is_idempotent=is_idempotent,
            max_attempts=max_attempts,
            budget_slack=100.0 if has_budget else 0.0,
        )
        for number in range(30):
            for name in NAMES:
                delay_s = source.choice((0.0, 0.006, 0.02, 0.03, 0.05, 0.1, 0.5))
                router.calls.connect_delays_s[name] = delay_s
                result = source.choice((None, None, LOST))
                router.calls.script(name, (source.choice((0.001, 0.02, 0.2)), result))
            router.calls.sent.clear()
            await router.send(request_id=f"r{number}")
            sent = [name for name, _ in router.calls.sent]
            assert len(set(sent)) <= max_attempts, sent
            if not (is_idempotent and has_budget):
                assert len(sent) <= 1, sent

    run(scenario())
