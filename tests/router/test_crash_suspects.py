"""Tests of the detection of requests that crash backend servers."""

from __future__ import annotations

import pytest

from fighinge.facts import FactBoard
from fighinge.router.crash_suspects import (
    CONFIRM_WINDOW_S,
    CRASHES_TO_QUARANTINE,
    LOSS_TTL_S,
    CrashSuspects,
    request_fingerprint,
)
from tests.router.builders import (
    LOST,
    REFUSED,
    MemoryLog,
    RouterFixture,
    backend_record,
    request,
    route,
    table,
)
from tests.virtual_time import run

NOW_S = 100.0
FINGERPRINT = request_fingerprint(request())


def _crash(suspects, number, now_s=NOW_S):
    suspects.record_lost_connection(f"i{number}", FINGERPRINT, f"r{number}", now_s)
    suspects.record_refused_connection(f"i{number}", now_s + 0.1)


def test_crashes_seen_by_several_routers_are_added_up():
    boards = [FactBoard(), FactBoard()]
    for board, other in zip(boards, reversed(boards), strict=True):
        board.listen(lambda fact, other=other: other.add(fact, NOW_S))
    routers = [CrashSuspects(board, MemoryLog()) for board in boards]
    for number in range(CRASHES_TO_QUARANTINE):
        assert not routers[0].is_quarantined(FINGERPRINT, NOW_S)
        _crash(routers[number % 2], number)
    assert all(router.is_quarantined(FINGERPRINT, NOW_S + 1) for router in routers)


def test_attempt_that_loses_many_servers_counts_once():
    suspects = CrashSuspects(FactBoard(), MemoryLog())
    for number in range(10):
        suspects.record_lost_connection(f"i{number}", FINGERPRINT, "r1", NOW_S)
        suspects.record_refused_connection(f"i{number}", NOW_S + 0.1)
    assert not suspects.is_quarantined(FINGERPRINT, NOW_S + 1)


def test_server_that_crashes_with_many_attempts_counts_once():
    """Many attempts of a popular query are in flight when one server crashes."""
    suspects = CrashSuspects(FactBoard(), MemoryLog())
    for number in range(10):
        suspects.record_lost_connection("i1", FINGERPRINT, f"r{number}", NOW_S)
    suspects.record_refused_connection("i1", NOW_S + 0.1)
    assert not suspects.is_quarantined(FINGERPRINT, NOW_S + 1)


@pytest.mark.parametrize("cleared_by", ["answer", "time"])
def test_lost_connection_alone_is_not_counted_as_a_crash(cleared_by):
    suspects = CrashSuspects(FactBoard(), MemoryLog())
    for number in range(10):
        suspects.record_lost_connection(f"i{number}", FINGERPRINT, f"r{number}", NOW_S)
        if cleared_by == "answer":
            suspects.record_response(f"i{number}", NOW_S)
        suspects.record_refused_connection(f"i{number}", NOW_S + CONFIRM_WINDOW_S + 0.1)
    assert not suspects.is_quarantined(FINGERPRINT, NOW_S + 4)


def test_crashes_expire():
    suspects = CrashSuspects(FactBoard(), MemoryLog())
    for number in range(CRASHES_TO_QUARANTINE):
        _crash(suspects, number, NOW_S + number * LOSS_TTL_S)
    assert not suspects.is_quarantined(FINGERPRINT, NOW_S + 3 * LOSS_TTL_S)


def test_fingerprint_depends_on_body_and_path():
    fingerprints = {
        request_fingerprint(request(body=body, target=target))
        for body in (b"", b"x")
        for target in ("/a", "/b")
    }
    assert len(fingerprints) == 4


def test_crashing_request_is_quarantined_and_others_are_served():
    async def send():
        router = RouterFixture()
        records = [backend_record(f"i{number}") for number in range(12)]
        router.publish(table(route()), *records)
        for item in records:
            router.calls.script(item.instance_id, (0.001, LOST), (0.001, REFUSED))
        for number in range(8):
            await router.send("/single/crash", request_id=f"r{number}")
        for item in records:
            router.calls.script(item.instance_id, (0.001, None))
        sent = len(router.calls.sent)
        refused = await router.send("/single/crash", request_id="again")
        served = await router.send("/single/other", request_id="other")
        return refused.status, served.status, sent, len(router.calls.sent)

    refused, served, before, after = run(send())
    assert (refused, served) == (502, 200)
    assert after == before + 1
