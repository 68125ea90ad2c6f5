"""Tests of calls of requests that crash backend servers, in virtual time."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from fighinge.aggregator.base import Address
from fighinge.facts import Fact, FactKind
from fighinge.router.crash_evidence import POSSIBLE_CRASH_TTL_S
from fighinge.router.crash_ledger import CRASHES_TO_QUARANTINE
from fighinge.router.crash_suspects import (
    SETTLE_S,
    request_fingerprint,
)
from tests.router.builders import (
    LOST,
    REFUSED,
    RouterFixture,
    backend_record,
    gather_route,
    refusal,
    request,
    route,
    shard_backend_records,
    table,
)
from tests.router.crash_builders import (
    FINGERPRINT,
    NOW_S,
    crash,
    crash_suspects,
    linked_routers,
    lose,
    start_call,
)
from tests.virtual_time import run


def _crashing_router(instances=12):
    """Return a router all of whose servers end under each call."""
    router = RouterFixture()
    records = [
        backend_record(f"i{number}", address=Address("127.0.0.1", 9000 + number))
        for number in range(instances)
    ]
    router.publish(table(route()), *records)
    router.calls.refusing = {item.address for item in records}
    for item in records:
        router.calls.script(item.instance_id, (0.001, LOST), (0.001, REFUSED))
    return router, records


def test_crashing_request_is_quarantined_and_others_are_served():
    async def send():
        router, records = _crashing_router()
        for number in range(8):
            await router.send("/single/crash", request_id=f"r{number}")
            await asyncio.sleep(0.1)
        for item in records:
            router.calls.script(item.instance_id, (0.001, None))
        await asyncio.sleep(1.0)
        sent = len(router.calls.sent)
        refused = await router.send("/single/crash", request_id="again")
        served = await router.send("/single/other", request_id="other")
        return refused.status, served.status, sent, len(router.calls.sent)

    refused, served, before, after = run(send())
    assert (refused, served) == (502, 200)
    assert after == before + 1


def test_request_is_not_sent_to_a_fourth_server_after_three_have_ended():
    async def send():
        router, _ = _crashing_router()
        for number in range(8):
            await router.send("/single/crash", request_id=f"r{number}")
            await asyncio.sleep(0.1)
        return {name for name, _ in router.calls.sent}

    assert len(run(send())) == CRASHES_TO_QUARANTINE


@pytest.mark.parametrize("refuses", [True, False])
def test_server_that_lost_a_connection_is_checked_without_waiting_for_another_call(refuses):
    async def send():
        router, records = _crashing_router(2)
        if not refuses:
            router.calls.refusing.clear()
        for name in ("i0", "i1"):
            router.calls.script(name, (0.001, LOST))
        await router.send("/single/crash")
        await asyncio.sleep(1.0)
        facts = router.board.values(FactKind.LOSS, request_fingerprint(request("/single/crash")), 0)
        return len(facts), {item.address for item in records} == set(router.calls.checked)

    assert run(send()) == (2 if refuses else 0, True)


def test_request_quarantined_while_its_first_call_is_slow_is_not_hedged():
    async def send():
        router = RouterFixture()
        records = [backend_record(f"i{number}") for number in range(3)]
        router.publish(table(route()), *records)
        router.set_typical_latency("single")
        for item in records:
            router.calls.script(item.instance_id, (1.0, None))
        call = asyncio.create_task(router.send("/single/crash"))
        await asyncio.sleep(0.001)
        fingerprint = request_fingerprint(request("/single/crash"))
        now_s = router.clock()
        router.board.add(Fact(FactKind.QUARANTINE, fingerprint, "", now_s + 60), now_s)
        await call
        return len(router.calls.sent)

    assert run(send()) == 1


@pytest.mark.parametrize("has_losses", [True, False])
def test_calls_cancelled_by_a_failed_request_count_if_their_servers_end(has_losses):
    """A request to four shards fails once two of them have lost or refused it."""

    async def send():
        router = RouterFixture()
        records = [
            msgspec.structs.replace(record, address=Address("127.0.0.1", 9000 + number))
            for number, record in enumerate(shard_backend_records(4))
        ]
        router.publish(table(gather_route(4)), *records)
        failure = LOST if has_losses else refusal()
        for record in records:
            is_failed = record.service in ("s0", "s1")
            router.calls.script(record.instance_id, (0.005, failure) if is_failed else (0.03, None))
        answered = await router.send("/all/crash")
        router.calls.refusing |= {record.address for record in records}
        await asyncio.sleep(1.0)
        facts = router.board.values(FactKind.LOSS, request_fingerprint(request("/all/crash")), 0)
        cancelled = set(router.calls.cancelled_calls)
        return answered.status, {fact.split("\t")[0].split("@")[0] for fact in facts} & cancelled

    status, ended = run(send())
    assert status == 502
    assert len(ended) == (2 if has_losses else 0)


def _refuse_unclearly(suspects, *servers):
    """Lose a call at each server, all of which then refuse connections as in a cut."""
    for server in servers:
        lose(suspects, start_call(suspects, server))
        suspects.record_unclear_refusal(server, NOW_S + 0.02)


def test_losses_that_may_be_due_to_a_cut_make_a_request_suspect_at_all_routers():
    losing, other = linked_routers()
    _refuse_unclearly(losing, "i1")
    assert not other.suspect_services(FINGERPRINT, NOW_S + 1)
    _refuse_unclearly(losing, "i2", "i3", "i4")
    assert other.suspect_services(FINGERPRINT, NOW_S + 1) == {"s0"}
    assert not other.suspect_services(FINGERPRINT, NOW_S + POSSIBLE_CRASH_TTL_S + 1)


def test_losses_that_may_be_due_to_a_cut_never_quarantine_a_request():
    suspects = crash_suspects()
    _refuse_unclearly(suspects, *(f"i{number}" for number in range(10)))
    crash(suspects, "last", now_s=NOW_S + SETTLE_S + 1)
    assert not suspects.is_quarantined(FINGERPRINT, NOW_S + SETTLE_S + 2)


@pytest.mark.parametrize("answering", [0, 1])
def test_answer_outweighs_losses_that_may_be_due_to_a_cut_at_all_routers(answering):
    routers = linked_routers()
    _refuse_unclearly(routers[0], "i1", "i2", "i3")
    answered = start_call(routers[answering], "i9", now_s=NOW_S + 1)
    routers[answering].record_response(answered, NOW_S + 1.1, was_run=True)
    assert not any(router.suspect_services(FINGERPRINT, NOW_S + 2) for router in routers)


def test_log_tells_why_a_request_is_probed():
    async def send():
        router, _ = _crashing_router()
        for number in range(2):
            await router.send("/single/crash", request_id=f"r{number}")
            await asyncio.sleep(0.1)
        return [line for line in router.log.lines if line["event"] == "suspect request probed"]

    (line,) = run(send())
    assert (line["request"], line["unanswered"], line["probes"], line["services"]) == (
        "r1",
        2,
        0,
        1,
    )
