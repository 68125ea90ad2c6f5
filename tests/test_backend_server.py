"""Tests of what an owner concludes about a backend server."""

from __future__ import annotations

import pytest

from fighinge.aggregator.backend_server import connection_quota
from fighinge.aggregator.base import CallFailure, CallFault
from fighinge.aggregator.latency import SlowCallRatio
from fighinge.messages import BackendAnswer, BackendRefusal, ServerState
from tests.backend_builders import answer, server, warm_server


def test_ramp_doubles_after_clean_windows():
    cold = server()
    limits = []
    for number in range(60):
        answer(cold, 0.1 * number)
        limits.append(cold.concurrency_limit())
    assert sorted(set(limits)) == [1, 2, 4]
    assert limits == sorted(limits)


@pytest.mark.parametrize(
    "result",
    [
        BackendRefusal("p1", "shed"),
        BackendRefusal("p1", "cold"),
        CallFailure(CallFault.CONNECTION_LOST, ""),
        CallFailure(CallFault.NOT_CONNECTED, ""),
    ],
)
def test_distress_in_a_cold_start_leads_back_to_one(result):
    cold = server()
    for number in range(20):
        answer(cold, 0.1 * number)
    assert cold.concurrency_limit() == 2
    cold.call_started("f")
    cold.call_finished("f", "desk", result, 0.01, 2.0)
    assert cold.concurrency_limit() == 1


@pytest.mark.parametrize(
    ("reports", "is_cold"),
    [
        ([ServerState("p1")], False),
        ([ServerState("p2")], True),
        ([ServerState("p1", state="cold")], True),
        ([ServerState("p1", in_flight=0, slots=0)], False),
        ([ServerState("p1", in_flight=1_000_000, queued=-5, slots=-1)], False),
    ],
)
def test_reports_that_turn_a_warm_server_cold(reports, is_cold):
    warm = warm_server()
    for report in reports:
        warm.state_reported(report, 101.0)
    assert warm.cold_start.is_cold is is_cold
    assert warm.concurrency_limit() == (1 if is_cold else 4)


def test_stuck_cold_report_is_outlived():
    stuck = server()
    for number in range(400):
        stuck.state_reported(ServerState("p1", state="cold"), 0.1 * number)
        answer(stuck, 0.1 * number)
    assert stuck.concurrency_limit() == 4


def test_all_calls_slow_at_once_is_a_cold_start():
    warm = warm_server()
    for number in range(4):
        answer(warm, 101.0 + number, took_s=0.05)
    assert warm.cold_start.is_cold


def test_slow_calls_to_every_server_are_no_cold_start():
    slow_ratio = SlowCallRatio()
    servers = [warm_server(slow_ratio=slow_ratio) for _number in range(30)]
    for number in range(20):
        for warm in servers:
            answer(warm, 101.0 + number, took_s=0.05)
    assert not any(warm.cold_start.is_cold for warm in servers)


def test_stragglers_are_not_a_cold_start():
    warm = warm_server()
    for number in range(100):
        answer(warm, 101.0 + number, took_s=0.1 if number % 3 else 0.01)
    assert not warm.cold_start.is_cold


def test_slower_class_is_not_a_cold_start():
    warm = warm_server()
    for number in range(50):
        answer(warm, 101.0 + number, took_s=0.1, query_class="batch")
    assert not warm.cold_start.is_cold


def test_back_after_absence_is_cold():
    warm = warm_server()
    warm.mark_unreachable(101.0)
    assert not warm.can_start_call(101.0)
    warm.state_reported(ServerState("p1"), 104.0)
    assert warm.cold_start.is_cold


def test_short_interruption_stays_warm():
    warm = warm_server()
    warm.mark_unreachable(101.0)
    warm.state_reported(ServerState("p1"), 101.5)
    assert not warm.cold_start.is_cold


def test_limit_falls_at_a_lost_connection_and_recovers_gradually():
    warm = warm_server()
    warm.call_started("f")
    warm.call_finished("f", "desk", CallFailure(CallFault.CONNECTION_LOST, ""), 0.01, 101.0)
    assert warm.concurrency_limit() == 2
    warm.state_reported(ServerState("p1"), 101.1)
    answer(warm, 101.2)
    assert warm.concurrency_limit() == 2
    for number in range(40):
        answer(warm, 101.2 + 0.05 * number)
    assert warm.concurrency_limit() == 4


def test_drain_signs():
    warm = warm_server()
    warm.call_started("f")
    warm.call_finished("f", "desk", BackendRefusal("p1", "draining"), 0.01, 101.0)
    warm.state_reported(ServerState("p1"), 110.0)
    assert not warm.is_eligible(), "a stuck report does not undo a refusal"
    warm.state_reported(ServerState("p2"), 111.0)
    assert warm.is_eligible()
    warm.state_reported(ServerState("p2", state="draining"), 112.0)
    assert not warm.is_eligible()
    warm.state_reported(ServerState("p2"), 114.0)
    assert warm.is_eligible()


@pytest.mark.parametrize(
    ("slots", "limit"), [(4, 35), (2, 110), (6, 50), (2, 25), (4, 3), (50, 51)]
)
def test_two_owners_stay_below_the_connection_limit(slots, limit):
    assert connection_quota(slots, limit) >= 1
    assert 2 * connection_quota(slots, limit) < limit


@pytest.mark.parametrize(("state", "is_fresh"), [(ServerState("p1"), True), (None, False)])
def test_only_an_answer_that_tells_the_state_spares_a_poll(state, is_fresh):
    asked = server()
    asked.call_started("f")
    asked.call_finished("f", "desk", BackendAnswer("p1", state=state), 0.01, 5.0)
    assert asked.has_fresh_state(5.4, within_s=0.5) is is_fresh
    assert not asked.has_fresh_state(5.5, within_s=0.5)
