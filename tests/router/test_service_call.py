"""Tests of retries, hedges and deadlines of one request, in virtual time."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest

from tests.router.builders import (
    LOST,
    REFUSED,
    RouterFixture,
    answer,
    backend_record,
    error,
    refusal,
    route,
    table,
)
from tests.virtual_time import run

THREE_RECORDS = [backend_record(f"i{number}", zone=f"z{number}") for number in (1, 2, 3)]


def _send(*steps, is_idempotent=True, records=THREE_RECORDS, max_attempts=2, **changes):
    """Send a request while ``i1`` follows ``steps``; return the answer and the router."""

    async def send():
        router = RouterFixture(**changes)
        router.publish(
            table(route(is_idempotent=is_idempotent, max_attempts=max_attempts)), *records
        )
        router.set_typical_latency("single")
        router.calls.script("i1", *steps)
        return await router.send(), router

    return run(send())


@pytest.mark.parametrize("failure", [LOST, REFUSED, refusal(), error()])
def test_idempotent_request_is_retried_on_another_server(failure):
    answered, router = _send((0.001, failure))
    assert answered.status == 200
    assert len(router.calls.sent) == 2


@pytest.mark.parametrize(
    ("failure", "status", "calls"),
    [(LOST, 502, 1), (error(), 500, 1), (REFUSED, 200, 2), (refusal(), 200, 2)],
)
def test_non_idempotent_request_is_retried_only_if_it_did_not_run(failure, status, calls):
    answered, router = _send((0.001, failure), is_idempotent=False)
    assert answered.status == status
    assert len(router.calls.sent) == calls


def test_slow_call_gets_one_hedge_and_the_slower_call_is_cancelled():
    answered, router = _send((1.0, answer()))
    assert answered.status == 200
    assert router.calls.sent[0][0] == "i1"
    assert len(router.calls.sent) == 2
    assert router.calls.cancelled_calls["i1"] == 1


def test_non_idempotent_request_is_not_hedged():
    answered, router = _send((1.0, answer()), is_idempotent=False)
    assert answered.status == 200
    assert len(router.calls.sent) == 1


def test_request_is_sent_to_at_most_max_attempts_servers():
    async def send():
        router = RouterFixture()
        router.publish(table(route()), *THREE_RECORDS)
        for item in THREE_RECORDS:
            router.calls.script(item.instance_id, (0.001, LOST))
        return await router.send(), router

    answered, router = run(send())
    assert answered.status == 502
    assert len({name for name, _ in router.calls.sent}) == 2
    assert len(router.calls.sent) == 4


def test_server_that_lost_an_answer_is_retried_if_no_other_is_allowed():
    async def send():
        router = RouterFixture()
        router.publish(table(route()), *THREE_RECORDS)
        for item in THREE_RECORDS:
            router.calls.script(item.instance_id, (0.001, LOST), (0.001, None))
        return await router.send(), router

    answered, router = run(send())
    assert answered.status == 200
    assert len({name for name, _ in router.calls.sent}) == 2


def test_request_refused_by_all_servers_is_reported_as_not_run_with_retry_after():
    async def send():
        router = RouterFixture()
        router.publish(table(route(is_idempotent=False)), *THREE_RECORDS)
        for item in THREE_RECORDS:
            router.calls.script(item.instance_id, (0.001, refusal()))
        return await router.send()

    answered = run(send())
    assert answered.status == 429
    assert float(dict(answered.headers)["Retry-After"]) > 0


def test_request_lost_once_and_refused_once_is_not_reported_as_not_run():
    async def send():
        router = RouterFixture()
        router.publish(table(route()), *THREE_RECORDS)
        router.calls.script("i1", (0.001, LOST))
        for name in ("i2", "i3"):
            router.calls.script(name, (0.001, refusal()))
        return await router.send()

    assert run(send()).status == 502


def test_failed_call_is_not_retried_without_budget():
    answered, router = _send((0.001, LOST), budget_slack=0.0, budget_ratio=0.0)
    assert answered.status == 502
    assert len(router.calls.sent) == 1


def test_answer_without_signature_is_not_a_success():
    answered, _ = _send((0.001, answer(signature="")), is_idempotent=False)
    assert answered.status == 502


def test_server_error_is_forwarded_unchanged_if_no_call_is_left():
    answered, _ = _send((0.001, error("own")), records=THREE_RECORDS[:1])
    assert (answered.status, answered.body) == (500, b"broken")
    assert dict(answered.headers)["X-Server-Stamp"] == "own"


def test_draining_server_gets_no_request():
    records = [backend_record("i1", is_draining=True), THREE_RECORDS[1]]
    _, router = _send((0.001, None), records=records)
    assert [name for name, _ in router.calls.sent] == ["i2"]


def test_deadline_ends_the_request_and_its_calls():
    async def send():
        router = RouterFixture()
        router.publish(table(route(timeout_s=0.5)), THREE_RECORDS[0])
        router.calls.script("i1", (5.0, None))
        started_s = router.clock()
        answered = await router.send()
        return answered, router.clock() - started_s

    answered, took_s = run(send())
    assert answered.status == 504
    assert took_s <= 0.5


@pytest.mark.parametrize("failure", [LOST, refusal(), error()])
def test_server_that_said_it_leaves_gets_no_retry(failure):
    async def send():
        router = RouterFixture()
        router.publish(table(route()), *THREE_RECORDS[:2])
        for name in ("i1", "i2"):
            router.calls.script(name, (0.001, answer(Server_Leaving=1)), (0.001, failure))
        for number in range(4):
            await router.send(request_id=f"r{number}")
        return Counter(name for name, _ in router.calls.sent)

    assert run(send()) == {"i1": 1, "i2": 1}


def test_request_is_refused_at_once_if_all_servers_said_that_they_leave():
    async def send():
        router = RouterFixture()
        router.publish(table(route()), *THREE_RECORDS)
        for item in THREE_RECORDS:
            router.calls.script(item.instance_id, (0.001, answer(Server_Leaving=1)))
        for number in range(3):
            await router.send(request_id=f"r{number}")
        started_s = router.clock()
        return await router.send(request_id="late"), router.clock() - started_s

    answered, took_s = run(send())
    assert answered.status == 503
    assert float(dict(answered.headers)["Retry-After"]) > 0
    assert took_s < 0.01


def test_request_that_waits_for_a_connection_is_not_sent_to_a_server_that_leaves_meanwhile():
    async def send():
        router = RouterFixture()
        router.publish(table(route(), max_connections=1), THREE_RECORDS[0])
        router.calls.script("i1", (0.1, answer(Server_Leaving=1)))
        first = asyncio.create_task(router.send(request_id="r0"))
        await asyncio.sleep(0.01)
        waiting = await asyncio.gather(*(router.send(request_id=f"r{n}") for n in (1, 2)))
        answers = [await first, *waiting]
        return [item.status for item in answers], len(router.calls.sent)

    assert run(send()) == ([200, 503, 503], 1)


@pytest.mark.parametrize("other_connections", [1, 36])
def test_server_that_wants_a_pause_gets_no_call_until_its_end(other_connections):
    async def send():
        router = RouterFixture()
        router.publish(table(route(), max_connections=other_connections), *THREE_RECORDS[:2])
        router.calls.script("i1", (0.001, refusal(Retry_After="2.5")), (0.001, None))
        router.calls.default_delay_s = 0.05
        await router.send(request_id="r0")
        refused_s = router.clock()
        while router.clock() < refused_s + 6.0:
            await asyncio.gather(*(router.send(request_id=f"r{n}") for n in range(3)))
        return [at_s - refused_s for name, at_s in router.calls.sent[1:] if name == "i1"]

    calls_s = run(send())
    assert calls_s
    assert min(calls_s) >= 2.4


def test_caller_is_told_when_the_servers_end_their_pause():
    async def send():
        router = RouterFixture()
        router.publish(table(route()), *THREE_RECORDS)
        for item, pause_s in zip(THREE_RECORDS, ("4", "2", "3"), strict=True):
            router.calls.script(item.instance_id, (0.001, refusal(Retry_After=pause_s)))
        for number in range(2):
            await router.send(request_id=f"r{number}")
        started_s, sent = router.clock(), len(router.calls.sent)
        answered = await router.send(request_id="late")
        return answered, router.clock() - started_s, len(router.calls.sent) - sent

    answered, took_s, calls = run(send())
    assert answered.status == 429
    assert float(dict(answered.headers)["Retry-After"]) == pytest.approx(2.0, abs=0.1)
    assert took_s < 0.01
    assert calls == 0


def test_request_reaches_no_further_server_after_a_refused_retry_at_a_reached_one():
    async def send():
        router = RouterFixture()
        records = [backend_record(f"i{number}") for number in range(6)]
        router.publish(table(route(max_attempts=2)), *records)
        for item in records:
            router.calls.script(item.instance_id, (0.001, LOST), (0.001, REFUSED))
        await router.send()
        return {name for name, _ in router.calls.sent}

    assert len(run(send())) == 2


def test_simultaneous_requests_do_not_exceed_the_connection_quota():
    async def send():
        router = RouterFixture()
        router.publish(table(route(), max_connections=1), THREE_RECORDS[0])
        router.calls.script("i1", (0.1, None))
        await asyncio.gather(*(router.send(request_id=f"r{n}") for n in range(3)))
        return sorted(at_s for _, at_s in router.calls.sent)

    starts_s = run(send())
    assert starts_s[1] - starts_s[0] == pytest.approx(0.1, abs=0.01)
