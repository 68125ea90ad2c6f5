"""Tests of the calls of one request, in virtual time, by what backend servers get."""

from __future__ import annotations

import pytest

from tests.router.builders import (
    LOST,
    REFUSED,
    RouterFixture,
    answer,
    entry,
    error,
    refusal,
    route,
    table,
)
from tests.virtual_time import run

THREE_ENTRIES = [entry(f"i{number}", zone=f"z{number}") for number in (1, 2, 3)]


def _send(*steps, repeatable=True, entries=THREE_ENTRIES, max_attempts=2, **changes):
    """Return the answer, the calls and the router where ``i1`` plays the steps."""

    async def send():
        router = RouterFixture(**changes)
        router.publish(table(route(repeatable=repeatable, max_attempts=max_attempts)), *entries)
        router.set_typical_latency("single")
        router.calls.script("i1", *steps)
        return await router.send(), router

    return run(send())


@pytest.mark.parametrize("failure", [LOST, REFUSED, refusal(), error()])
def test_repeatable_request_goes_to_another_server_after_a_failure(failure):
    answered, router = _send((0.001, failure))
    assert answered.status == 200
    assert len(router.calls.sent) == 2


@pytest.mark.parametrize(
    ("failure", "status", "calls"),
    [(LOST, 502, 1), (error(), 500, 1), (REFUSED, 200, 2), (refusal(), 200, 2)],
)
def test_request_that_is_not_repeatable_is_sent_again_only_if_it_did_not_run(
    failure, status, calls
):
    answered, router = _send((0.001, failure), repeatable=False)
    assert answered.status == status
    assert len(router.calls.sent) == calls


def test_slow_call_gets_one_hedge_and_the_loser_is_broken_off():
    answered, router = _send((1.0, answer()))
    assert answered.status == 200
    assert router.calls.sent[0][0] == "i1"
    assert len(router.calls.sent) == 2
    assert router.calls.cancelled_calls["i1"] == 1


def test_request_that_is_not_repeatable_gets_no_hedge():
    answered, router = _send((1.0, answer()), repeatable=False)
    assert answered.status == 200
    assert len(router.calls.sent) == 1


def test_no_more_servers_than_allowed_get_a_request():
    async def send():
        router = RouterFixture()
        router.publish(table(route()), *THREE_ENTRIES)
        for item in THREE_ENTRIES:
            router.calls.script(item.instance_id, (0.001, LOST))
        return await router.send(), router

    answered, router = run(send())
    assert answered.status == 502
    assert len({name for name, _ in router.calls.sent}) == 2
    assert len(router.calls.sent) == 4


def test_server_that_lost_an_answer_is_asked_again_where_no_other_may_be():
    async def send():
        router = RouterFixture()
        router.publish(table(route()), *THREE_ENTRIES)
        for item in THREE_ENTRIES:
            router.calls.script(item.instance_id, (0.001, LOST), (0.001, None))
        return await router.send(), router

    answered, router = run(send())
    assert answered.status == 200
    assert len({name for name, _ in router.calls.sent}) == 2


def test_refused_everywhere_is_told_as_not_run_with_a_time_to_come_back():
    async def send():
        router = RouterFixture()
        router.publish(table(route(repeatable=False)), *THREE_ENTRIES)
        for item in THREE_ENTRIES:
            router.calls.script(item.instance_id, (0.001, refusal()))
        return await router.send()

    answered = run(send())
    assert answered.status == 429
    assert float(dict(answered.headers)["Retry-After"]) > 0


def test_lost_once_and_refused_once_is_not_told_as_not_run():
    async def send():
        router = RouterFixture()
        router.publish(table(route()), *THREE_ENTRIES)
        router.calls.script("i1", (0.001, LOST))
        for name in ("i2", "i3"):
            router.calls.script(name, (0.001, refusal()))
        return await router.send()

    assert run(send()).status == 502


def test_without_budget_a_failed_call_is_not_repeated():
    answered, router = _send((0.001, LOST), extra_slack=0.0, extra_ratio=0.0)
    assert answered.status == 502
    assert len(router.calls.sent) == 1


def test_answer_without_signature_is_no_success():
    answered, _ = _send((0.001, answer(signature="")), repeatable=False)
    assert answered.status == 502


def test_failure_of_a_server_is_passed_on_unchanged_where_no_other_call_is_left():
    answered, _ = _send((0.001, error("own")), entries=THREE_ENTRIES[:1])
    assert (answered.status, answered.body) == (500, b"broken")
    assert dict(answered.headers)["X-Server-Stamp"] == "own"


def test_server_that_leaves_gets_nothing():
    leaving = [entry("i1", is_draining=True), THREE_ENTRIES[1]]
    _, router = _send((0.001, None), entries=leaving)
    assert [name for name, _ in router.calls.sent] == ["i2"]


def test_deadline_ends_the_request_with_its_calls():
    async def send():
        router = RouterFixture()
        router.publish(table(route(timeout_s=0.5)), THREE_ENTRIES[0])
        router.calls.script("i1", (5.0, None))
        started_s = router.clock()
        answered = await router.send()
        return answered, router.clock() - started_s

    answered, took_s = run(send())
    assert answered.status == 504
    assert took_s <= 0.5
