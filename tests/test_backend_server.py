"""Tests of cold starts, concurrency limits, drains and connection quotas of backend servers."""

from __future__ import annotations

import pytest

from fighinge.aggregator.backend_server import connection_quota
from fighinge.aggregator.base import CallFailure, CallFault
from fighinge.aggregator.latency import SlowCallFraction
from fighinge.messages import BackendAnswer, BackendRefusal, ServerState
from tests.backend_builders import answer, server, warm_server


def test_cold_start_doubles_limit_after_each_window_without_failures():
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
def test_overload_in_cold_start_resets_limit_to_one(result):
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
def test_only_new_process_or_cold_report_starts_cold_start(reports, is_cold):
    warm = warm_server()
    for report in reports:
        warm.state_reported(report, 101.0)
    assert warm.cold_start.is_cold is is_cold
    assert warm.concurrency_limit() == (1 if is_cold else 4)


def test_stuck_cold_report_does_not_limit_server_forever():
    stuck = server()
    for number in range(400):
        stuck.state_reported(ServerState("p1", state="cold"), 0.1 * number)
        answer(stuck, 0.1 * number)
    assert stuck.concurrency_limit() == 4


def test_run_of_slow_calls_starts_cold_start():
    warm = warm_server()
    for number in range(4):
        answer(warm, 101.0 + number, took_s=0.05)
    assert warm.cold_start.is_cold


def test_slow_calls_to_all_servers_start_no_cold_start():
    slow_fraction = SlowCallFraction()
    servers = [warm_server(slow_fraction=slow_fraction) for _number in range(30)]
    for number in range(20):
        for warm in servers:
            answer(warm, 101.0 + number, took_s=0.05)
    assert not any(warm.cold_start.is_cold for warm in servers)


def test_stragglers_start_no_cold_start():
    warm = warm_server()
    for number in range(100):
        answer(warm, 101.0 + number, took_s=0.1 if number % 3 else 0.01)
    assert not warm.cold_start.is_cold


def test_slower_query_class_starts_no_cold_start():
    warm = warm_server()
    for number in range(50):
        answer(warm, 101.0 + number, took_s=0.1, query_class="batch")
    assert not warm.cold_start.is_cold


def test_outage_starts_cold_start():
    warm = warm_server()
    warm.mark_unreachable(101.0)
    assert not warm.can_start_call(101.0)
    warm.state_reported(ServerState("p1"), 104.0)
    assert warm.cold_start.is_cold


def test_short_outage_starts_no_cold_start():
    warm = warm_server()
    warm.mark_unreachable(101.0)
    warm.state_reported(ServerState("p1"), 101.5)
    assert not warm.cold_start.is_cold


def test_limit_halves_after_lost_connection_and_recovers_gradually():
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


def test_state_report_revokes_no_drain_shown_by_refusal():
    warm = warm_server()
    warm.call_started("f")
    warm.call_finished("f", "desk", BackendRefusal("p1", "draining"), 0.01, 101.0)
    warm.state_reported(ServerState("p1"), 110.0)
    assert not warm.is_eligible(), "a stuck report must not revoke a drain that a refusal has shown"
    warm.state_reported(ServerState("p2"), 111.0)
    assert warm.is_eligible()
    warm.state_reported(ServerState("p2", state="draining"), 112.0)
    assert not warm.is_eligible()
    warm.state_reported(ServerState("p2"), 114.0)
    assert warm.is_eligible()


@pytest.mark.parametrize(
    ("slots", "limit"), [(4, 35), (2, 110), (6, 50), (2, 25), (4, 3), (50, 51)]
)
def test_quotas_of_two_owners_stay_below_connection_limit(slots, limit):
    assert connection_quota(slots, limit) >= 1
    assert 2 * connection_quota(slots, limit) < limit


@pytest.mark.parametrize(("state", "is_fresh"), [(ServerState("p1"), True), (None, False)])
def test_only_answer_with_state_makes_poll_unnecessary(state, is_fresh):
    asked = server()
    asked.call_started("f")
    asked.call_finished("f", "desk", BackendAnswer("p1", state=state), 0.01, 5.0)
    assert asked.has_fresh_state(5.4, within_s=0.5) is is_fresh
    assert not asked.has_fresh_state(5.5, within_s=0.5)
