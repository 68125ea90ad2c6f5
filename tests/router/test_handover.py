"""Tests of which requests go to a peer while a router is cut off, in virtual time."""

from __future__ import annotations

import asyncio

import pytest

from fighinge.errors import ErrorKind, Failure
from fighinge.router.exchange import Answer
from tests.router.builders import (
    LOST,
    REFUSED,
    RouterFixture,
    answer,
    backend_record,
    gather_route,
    route,
    shard_backend_records,
    table,
)
from tests.virtual_time import run

PEER_ANSWER = Answer(200, (("X-Server-Stamp", "peer"),), b"of a peer")
THREE_RECORDS = [backend_record(f"i{number}", zone=f"z{number}") for number in (1, 2, 3)]


def _router(*routes, records=THREE_RECORDS, has_peer=True):
    router = RouterFixture()
    router.publish(table(*(routes or (route(),))), *records)
    router.forwarder.answer = PEER_ANSWER if has_peer else None
    return router


async def _cut_off(router):
    router.calls.is_cut_off = True
    assert await router.reachability.causes_refusal()


async def _send_and_cut_off(router, work_s):
    """Cut the router off while a request is in flight, and return the answer."""
    for record in THREE_RECORDS:
        router.calls.script(record.instance_id, (work_s, None))
    sending = asyncio.create_task(router.send())
    await asyncio.sleep(0.1)
    await _cut_off(router)
    return await sending


def test_request_at_a_router_that_is_cut_off_goes_to_a_peer_without_any_call():
    async def work():
        router = _router()
        await _cut_off(router)
        return await router.send(), len(router.calls.sent), router.forwarder.forwarded

    answered, calls, forwarded = run(work())
    assert (answered, calls) == (PEER_ANSWER, 0)
    assert [reached for _, reached in forwarded] == [{}]


def test_request_that_a_peer_has_forwarded_is_not_forwarded_again():
    async def work():
        router = _router()
        await _cut_off(router)
        await router.send(is_forwarded=True)
        return len(router.calls.sent), router.forwarder.forwarded

    assert run(work()) == (1, [])


def test_request_is_served_here_while_no_peer_reaches_servers():
    async def work():
        router = _router(has_peer=False)
        await _cut_off(router)
        return (await router.send()).status, router.forwarder.forwarded

    assert run(work()) == (200, [])


@pytest.mark.parametrize("is_idempotent", [True, False])
def test_request_whose_connections_are_refused_by_a_cut_goes_to_a_peer(is_idempotent):
    async def work():
        router = _router(route(is_idempotent=is_idempotent))
        router.calls.is_cut_off = True
        for record in THREE_RECORDS:
            router.calls.script(record.instance_id, (0.001, REFUSED))
        return await router.send(), router.forwarder.forwarded

    answered, forwarded = run(work())
    assert answered == PEER_ANSWER
    assert [reached for _, reached in forwarded] == [{}]


@pytest.mark.parametrize(("is_idempotent", "expected"), [(True, (200, [2])), (False, (502, []))])
def test_request_that_may_have_run_goes_to_a_peer_only_if_it_is_idempotent(is_idempotent, expected):
    async def work():
        router = _router(route(is_idempotent=is_idempotent))
        router.calls.is_cut_off = True
        for record in THREE_RECORDS:
            router.calls.script(record.instance_id, (0.001, LOST))
        for backend in router.pool.service("s0").backends:
            router.reachability.record_failure(backend, router.clock())
        answered = await router.send()
        reached = [set(servers["s0"]) for _, servers in router.forwarder.forwarded]
        assert all(names == _called(router) for names in reached)
        return answered.status, [len(names) for names in reached]

    assert run(work()) == expected


def test_request_in_flight_when_the_cut_is_found_goes_to_a_peer():
    async def work():
        router = _router(gather_route(), records=shard_backend_records())
        for record in shard_backend_records():
            router.calls.script(record.instance_id, (10.0, None))
        sending = asyncio.create_task(router.send("/all/a"))
        await asyncio.sleep(0.1)
        await _cut_off(router)
        answered = await asyncio.wait_for(sending, 0.05)
        [(_, reached)] = router.forwarder.forwarded
        return answered, {name for names in reached.values() for name in names} == _called(router)

    assert run(work()) == (PEER_ANSWER, True)


def test_peer_learns_of_each_server_that_a_request_in_flight_has_reached():
    """The first call is slow, so that a hedge follows before the cut is found."""

    async def work():
        router = _router()
        router.set_typical_latency("single")
        for record in THREE_RECORDS:
            router.calls.script(record.instance_id, (10.0, None))
        sending = asyncio.create_task(router.send())
        await asyncio.sleep(0.3)
        await _cut_off(router)
        await sending
        [(_, reached)] = router.forwarder.forwarded
        return sorted(reached["s0"]), sorted(_called(router))

    reached, called = run(work())
    assert len(called) == 2
    assert reached == called


def test_non_idempotent_request_in_flight_is_not_run_again_by_a_peer():
    async def work():
        router = _router(route(is_idempotent=False))
        answered = await _send_and_cut_off(router, work_s=0.5)
        return answered.status, len(router.calls.sent), router.forwarder.forwarded

    assert run(work()) == (200, 1, [])


def test_servers_that_fail_without_a_cut_send_no_request_to_a_peer():
    async def work():
        router = _router()
        for record in THREE_RECORDS:
            router.calls.script(record.instance_id, (0.001, REFUSED))
        answers = [await router.send() for _ in range(5)]
        return {answered.status for answered in answers}, router.forwarder.forwarded

    assert run(work()) == ({503}, [])


def _called(router):
    """Return the runs of the servers that a router has called."""
    return {f"{name}@1" for name, _ in router.calls.sent}


@pytest.mark.parametrize(
    ("earlier", "calls"),
    [((), 4), (("i9@1",), 3), (("i1@1",), 3), (("i1@1", "i2@1"), 2), (("i1@1",) * 6, 1)],
    ids=["none", "one unknown here", "one", "two", "many calls"],
)
def test_peer_runs_a_request_on_fewer_servers_if_some_may_have_run_it(earlier, calls):
    async def work():
        router = _router(has_peer=False)
        for record in THREE_RECORDS:
            router.calls.script(record.instance_id, (0.001, LOST))
        await router.send(is_forwarded=True, reached_servers={"s0": earlier})
        return _called(router), len(router.calls.sent)

    called, sent = run(work())
    assert len(called.union(earlier)) <= 2
    assert sent == calls


def test_peer_is_answered_by_a_server_that_the_request_has_reached_before():
    async def work():
        router = _router(has_peer=False)
        earlier = {"s0": ("i1@1", "i2@1")}
        answered = await router.send(is_forwarded=True, reached_servers=earlier)
        return answered.status, _called(router)

    status, called = run(work())
    assert status == 200
    assert called < {"i1@1", "i2@1"}


def test_peer_refuses_a_request_that_has_reached_servers_which_are_gone():
    async def work():
        router = _router(has_peer=False)
        earlier = {"s0": ("i8@1", "i9@1")}
        answered = await router.send(is_forwarded=True, reached_servers=earlier)
        return answered.is_not_run, router.calls.sent

    assert run(work()) == (True, [])


def test_peer_runs_a_request_on_fewer_servers_if_another_peer_may_have_run_it():
    async def work():
        router = _router(has_peer=False)
        for record in THREE_RECORDS:
            router.calls.script(record.instance_id, (0.001, LOST))
        await router.send(is_forwarded=True, lost_peers=1)
        return len(_called(router))

    assert run(work()) == 1


def test_refusal_of_peers_is_passed_on_with_its_promise():
    async def work():
        router = _router()
        await _cut_off(router)
        router.forwarder.answer = Failure(ErrorKind.NO_REPLICA, "no peer takes requests")
        answered = await router.send()
        return answered.status, "Retry-After" in dict(answered.headers)

    assert run(work()) == (503, True)


def test_request_that_all_peers_refuse_is_served_here_once_the_links_work_again():
    async def work():
        router = _router()
        await _cut_off(router)
        router.forwarder.answer = Failure(ErrorKind.NO_REPLICA, "no peer takes requests")
        router.calls.is_cut_off = False
        await router.reachability.causes_refusal(0.0)
        checking = asyncio.create_task(router.reachability.run())
        await asyncio.sleep(0.1)
        is_returning = router.reachability.is_returning
        answered = await router.send()
        checking.cancel()
        return is_returning, answered.status, len(router.calls.sent)

    assert run(work()) == (True, 200, 1)


def test_refusal_of_peers_promises_nothing_for_a_request_that_may_have_run_here():
    async def work():
        router = _router()
        router.forwarder.answer = Failure(ErrorKind.NO_REPLICA, "no peer takes requests")
        answered = await _send_and_cut_off(router, work_s=10.0)
        return answered.status, "Retry-After" in dict(answered.headers), answered.is_not_run

    assert run(work()) == (502, False, False)


def test_peer_tells_which_servers_said_that_they_leave():
    async def work():
        router = _router(has_peer=False)
        router.calls.script("i1", (0.001, answer(Server_Leaving="1")))
        return (await router.send(is_forwarded=True)).leaving_servers

    assert run(work()) == ("i1@1",)


def test_server_that_told_a_peer_that_it_leaves_gets_no_calls_after_the_cut():
    async def work():
        router = _router()
        router.forwarder.answer = Answer(200, (), b"x", leaving_servers=("i1@1",))
        await _cut_off(router)
        await router.send()
        router.calls.is_cut_off = False
        for _ in range(20):
            await router.send(is_forwarded=True)
        return {name for name, _ in router.calls.sent}

    assert "i1" not in run(work())
