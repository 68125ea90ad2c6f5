"""Tests of the deadlines of requests, in virtual time."""

from __future__ import annotations

import pytest

from tests.router.builders import RouterFixture, gather_route, shard_backend_records, table
from tests.virtual_time import run

LATENCY_TARGET_S = 0.08
CALLER_TIMEOUT_S = 0.4
RTT_S = 0.006


def _answer_s(typical_s, spent_s):
    """Return the time from a caller's start to its partial answer, in seconds.

    One of four shards does not answer. An earlier request has had the full caller timeout.
    """

    async def send():
        router = RouterFixture()
        router.publish(
            table(gather_route(4, latency_target_s=LATENCY_TARGET_S)), *shard_backend_records(4)
        )
        router.set_typical_latency("all", typical_s)
        router.calls.default_delay_s = typical_s
        await router.send("/all/a", caller_timeout_s=CALLER_TIMEOUT_S, rtt_s=RTT_S)
        for replica in range(3):
            router.calls.script(f"s0-{replica}", (9.0, None))
        started_s = router.clock()
        answered = await router.send(
            "/all/b", caller_timeout_s=CALLER_TIMEOUT_S - spent_s, rtt_s=RTT_S
        )
        assert dict(answered.headers)["X-Missing-Parts"] == "1"
        return spent_s + RTT_S + router.clock() - started_s

    return run(send())


@pytest.mark.parametrize("spent_s", [0.0, 0.021, 0.04])
def test_partial_answer_meets_the_latency_target_of_a_caller_that_had_to_connect(spent_s):
    """Callers spend 21 ms on name resolution and connecting before they send."""
    answer_s = _answer_s(0.012, spent_s)
    assert LATENCY_TARGET_S - 0.012 <= answer_s <= LATENCY_TARGET_S


def test_answer_that_misses_the_latency_target_waits_for_most_calls():
    answer_s = _answer_s(0.012, spent_s=0.07)
    assert 0.07 + 3 * 0.012 <= answer_s <= 0.07 + 6 * 0.012
