"""Tests of requests to services whose backend servers name limits, in virtual time."""

from __future__ import annotations

import asyncio

import pytest

from fighinge.router.changes import BackendListed
from tests.router.builders import (
    LOST,
    RouterFixture,
    answer,
    backend_record,
    gather_route,
    route,
    shard_backend_records,
    table,
)
from tests.virtual_time import run

THREE_RECORDS = [backend_record(f"i{number}", zone=f"z{number}") for number in (1, 2, 3)]


def _limited(limit):
    return (0.005, answer(Server_Limit=str(limit)))


async def _send_for(router, duration_s, path="/single/a", interval_s=0.01):
    """Send a request at each interval and return the answers with their durations."""
    answers = []
    end_s = router.clock() + duration_s

    async def send():
        started_s = router.clock()
        answered = await router.send(path)
        answers.append((answered, router.clock() - started_s))

    tasks = []
    while router.clock() < end_s:
        tasks.append(asyncio.create_task(send()))
        await asyncio.sleep(interval_s)
    await asyncio.gather(*tasks)
    return answers


def _calls(router, *names):
    return sum(name in names for name, _ in router.calls.sent)


def test_limited_server_gets_its_part_and_others_get_the_rest():
    async def work():
        router = RouterFixture()
        router.publish(table(route()), *THREE_RECORDS)
        router.calls.script("i1", _limited(10))
        answers = await _send_for(router, 10.0)
        return {answered.status for answered, _ in answers}, _calls(router, "i1")

    statuses, calls = run(work())
    assert statuses == {200}
    assert 80 <= calls <= 115


def test_requests_that_no_server_may_get_are_refused_at_once_with_different_times():
    async def work():
        router = RouterFixture()
        router.publish(table(route()), *THREE_RECORDS)
        for name in ("i1", "i2", "i3"):
            router.calls.script(name, _limited(2))
        return await _send_for(router, 5.0)

    answers = run(work())
    refused = [(answered, took_s) for answered, took_s in answers if answered.status != 200]
    assert len(answers) - len(refused) >= 0.8 * 3 * 2 * 5
    assert {answered.status for answered, _ in refused} == {429}
    assert max(took_s for _, took_s in refused) < 0.05
    assert len({dict(answered.headers)["Retry-After"] for answered, _ in refused}) > 3


def test_query_leaves_out_a_limited_shard_while_its_coverage_allows_it():
    async def work():
        router = RouterFixture()
        router.publish(table(gather_route()), *shard_backend_records())
        for replica in range(3):
            router.calls.script(f"s0-{replica}", _limited(2))
        answers = await _send_for(router, 5.0, "/all/a")
        return [dict(answered.headers)["X-Missing-Parts"] for answered, _ in answers]

    missing = run(work())
    assert set(missing) == {"0", "1"}
    assert missing.count("0") >= 0.7 * 3 * 2 * 5


def test_query_that_limits_leave_too_few_shards_is_refused_without_any_call():
    async def work():
        router = RouterFixture()
        router.publish(table(gather_route()), *shard_backend_records())
        for shard in (0, 1):
            for replica in range(3):
                router.calls.script(f"s{shard}-{replica}", _limited(0))
        await _send_for(router, 1.0, "/all/a")
        router.calls.sent.clear()
        answers = await _send_for(router, 2.0, "/all/a")
        statuses = [answered.status for answered, _ in answers]
        others = [f"s{shard}-{replica}" for shard in (2, 3) for replica in range(3)]
        return statuses, _calls(router, *others)

    statuses, calls_to_others = run(work())
    served = statuses.count(200)
    assert statuses.count(429) == len(statuses) - served
    assert served < 0.1 * len(statuses)
    assert calls_to_others == 2 * served


def test_repeats_count_against_the_limit():
    async def work():
        router = RouterFixture()
        router.publish(table(route()), *THREE_RECORDS)
        for name in ("i1", "i2"):
            router.calls.script(name, _limited(5), (0.005, LOST))
        await _send_for(router, 6.0)
        return _calls(router, "i1"), _calls(router, "i2")

    assert max(run(work())) <= 1.5 * 6 * 5 + 5


def test_new_run_of_a_server_starts_without_a_limit():
    async def work():
        router = RouterFixture()
        router.publish(table(route()), THREE_RECORDS[0])
        router.calls.script("i1", _limited(0))
        await router.send()
        refused = await router.send()
        router.calls.script("i1", (0.005, None))
        again = backend_record("i1", zone="z1", started_ms=2)
        router.view.apply([BackendListed(again)], router.clock())
        return refused.status, (await router.send()).status

    assert run(work()) == (429, 200)


@pytest.mark.parametrize("urgent_priority", [0, 2])
def test_most_urgent_requests_are_served_first_under_a_limit(urgent_priority):
    async def work():
        router = RouterFixture()
        routes = [
            route("urgent", priority=urgent_priority),
            route("other", priority=urgent_priority + 1),
        ]
        router.publish(table(*routes), THREE_RECORDS[0])
        router.calls.script("i1", _limited(12))
        urgent, other = await asyncio.gather(
            _send_for(router, 10.0, "/urgent/a", 0.1), _send_for(router, 10.0, "/other/a", 0.1)
        )
        statuses = {item.status for item, _ in (*urgent, *other)}
        served = [sum(item.status == 200 for item, _ in answers) for answers in (urgent, other)]
        return statuses, *served

    statuses, urgent, other = run(work())
    assert statuses == {200, 429}
    assert urgent > 1.5 * other
    assert other >= 20


def test_limited_server_beside_free_ones_is_promised_to_nobody():
    async def work():
        router = RouterFixture()
        router.publish(table(route()), *THREE_RECORDS)
        router.calls.script("i1", _limited(2))
        await router.send()
        service = router.pool.service("s0")
        limited = next(item for item in service.backends if item.record.instance_id == "i1")
        before_s = limited.wait_s(router.clock())
        router.pool.promise_return(service, router.clock())
        return before_s, limited.wait_s(router.clock())

    before_s, after_s = run(work())
    assert before_s == after_s
