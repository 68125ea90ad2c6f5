"""Tests of the health of backend servers and of load balancing among them."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from fighinge.aggregator.base import CallFailure, CallFault
from fighinge.platform.headers import PlatformCodec
from fighinge.router.addresses import RouterAddress
from fighinge.router.backend import ADOPTED_LEAVING_S, MAX_RECORD_DELAY_S, Backend
from fighinge.router.changes import BackendListed, BackendUnlisted, TablePublished, ZoneEvacuated
from fighinge.router.exchange import ServerStatement
from fighinge.router.limited_calls import CallKind
from fighinge.router.pool import BackendPool
from fighinge.router.retry_budget import RetryBudgetLimits
from fighinge.router.view import View
from tests.router.builders import (
    COLD_LIMITS,
    LOST,
    REFUSED,
    TYPICAL_S,
    MemoryLog,
    answer,
    backend_record,
    refusal,
    request,
    route,
    table,
)

NOW_S = 1000.0


class PoolFixture:
    """A pool with one replica in each of three data centres; this router is in ``z1``."""

    def __init__(self, **changes) -> None:
        self.view = View(MemoryLog())
        self.pool = BackendPool(
            self.view,
            RouterAddress("10.0.0.1", "z1"),
            RetryBudgetLimits(0.2, 10.0, 56.0),
            COLD_LIMITS,
            random.Random(1),
        )
        listed = [BackendListed(backend_record(f"i{zone}", zone=f"z{zone}")) for zone in (1, 2, 3)]
        self.view.apply([TablePublished(table(route(), **changes)), *listed], NOW_S)

    def backend(self, name):
        """Return a backend server by its instance ID."""
        backends = self.pool.service("s0").backends
        return next(backend for backend in backends if backend.record.instance_id == name)

    def most_chosen(self, now_s=NOW_S, tried=(), failure_cost_factor=0.0):
        """Return the server chosen most often in 20 choices."""
        counts: Counter[str] = Counter()
        backends = self.pool.service("s0").backends
        candidates = [backend for backend in backends if backend not in tried]
        for _ in range(20):
            backend = self.pool.choose(candidates, TYPICAL_S, now_s, failure_cost_factor)
            counts[backend.record.instance_id if backend else "none"] += 1
        return counts.most_common(1)[0][0]

    def record(self, name, result, *, took_s=TYPICAL_S, now_s=NOW_S):
        """Record a call from its start to its result."""
        backend = self.backend(name)
        call_number = backend.start_call(TYPICAL_S, now_s)
        if not isinstance(result, CallFailure):
            result = PlatformCodec().decode_response(request(), result)
        backend.finish_call(call_number, result, now_s + took_s)


def test_own_data_centre_is_preferred():
    assert PoolFixture().most_chosen() == "i1"


def test_slow_server_is_avoided_and_tried_again_later():
    pool = PoolFixture()
    for number in range(3):
        pool.record("i1", answer(), took_s=10 * TYPICAL_S, now_s=NOW_S + number)
    assert pool.most_chosen(NOW_S + 3.3) != "i1"
    assert pool.most_chosen(NOW_S + 20) == "i1"


class PatientPool(PoolFixture):
    """A pool whose requests have five times the typical latency until their soft deadline."""

    def choose(self, now_s=NOW_S):
        """Return the server that a request goes to."""
        backends = self.pool.service("s0").backends
        return self.pool.choose(
            backends, TYPICAL_S, now_s, patience_s=5 * TYPICAL_S
        ).record.instance_id


def test_load_that_leaves_enough_time_causes_no_inter_zone_traffic():
    pool = PatientPool()
    slots = pool.backend("i1").record.slots
    for _ in range(slots + 1):
        assert pool.choose() == "i1"
        pool.backend("i1").start_call(TYPICAL_S, NOW_S)


def test_load_that_costs_the_time_that_is_left_goes_to_another_data_centre():
    pool = PatientPool()
    slots = pool.backend("i1").record.slots
    for _ in range(4 * slots):
        pool.backend("i1").start_call(TYPICAL_S, NOW_S)
    assert pool.choose() != "i1"


def test_slow_server_is_left_for_another_data_centre_in_spite_of_time_left():
    pool = PatientPool()
    for number in range(3):
        pool.record("i1", answer(), took_s=6 * TYPICAL_S, now_s=NOW_S + number / 10)
    assert pool.choose(NOW_S + 0.5) != "i1"


def test_server_that_loses_answers_is_left_for_another_data_centre_until_it_is_reliable():
    pool = PatientPool()
    for _ in range(2):
        pool.record("i1", LOST)
    assert pool.choose(NOW_S + 0.1) != "i1"
    assert pool.choose(NOW_S + 10.0) == "i1"


def test_one_slow_call_does_not_cause_inter_zone_traffic():
    pool = PoolFixture()
    pool.record("i1", answer(), took_s=2 * TYPICAL_S)
    assert pool.most_chosen(NOW_S + 0.1) == "i1"


def test_stalled_server_is_avoided_before_its_calls_end():
    pool = PoolFixture()
    pool.backend("i1").start_call(TYPICAL_S, NOW_S)
    assert pool.most_chosen(NOW_S + 0.03) == "i1"
    assert pool.most_chosen(NOW_S + 5 * TYPICAL_S) != "i1"


@pytest.mark.parametrize("failure", [REFUSED, refusal()])
def test_refusing_server_is_avoided_at_once(failure):
    pool = PoolFixture()
    pool.record("i1", failure, took_s=0.001)
    assert pool.most_chosen(NOW_S + 0.002) != "i1"


def test_server_that_loses_answers_is_avoided_after_several_failures():
    pool = PoolFixture()
    for number in range(3):
        pool.record("i1", LOST, now_s=NOW_S + number / 10)
    assert pool.most_chosen(NOW_S + 0.3) != "i1"


def test_server_that_loses_few_answers_is_avoided_if_a_failure_is_costly():
    pool = PoolFixture()
    pool.record("i1", LOST)
    assert pool.most_chosen(NOW_S + 0.1) == "i1"
    assert pool.most_chosen(NOW_S + 0.1, failure_cost_factor=10.0) != "i1"


def test_two_timeouts_mark_a_server_as_down():
    pool = PoolFixture()
    for _ in range(2):
        pool.record("i1", CallFailure(CallFault.TIMEOUT, "silent"))
    assert pool.backend("i1").is_down(NOW_S + 0.1)


def test_connections_of_all_routers_stay_below_the_limit():
    for routers in (1, 8, 11):
        pool = PoolFixture(max_connections=36)
        pool.pool.set_limit_share(1 / routers, frozenset({"10.0.0.1"}), NOW_S)
        quota = pool.backend("i1").connection_quota
        assert quota * routers <= 36
        for _ in range(quota):
            pool.backend("i1").start_call(TYPICAL_S, NOW_S)
        assert pool.most_chosen() != "i1"


def test_new_process_with_the_same_instance_id_starts_without_history():
    pool = PoolFixture()
    pool.record("i1", REFUSED)
    again = backend_record("i1", zone="z1", started_ms=2)
    pool.view.apply([BackendListed(again)], NOW_S)
    assert not pool.backend("i1").is_down(NOW_S)


def test_health_survives_a_newer_record():
    pool = PoolFixture()
    pool.record("i1", REFUSED)
    pool.view.apply([BackendListed(backend_record("i1", zone="z1", cold_left_s=1.0))], NOW_S)
    assert pool.backend("i1").is_down(NOW_S + 0.1)


@pytest.mark.parametrize(
    "change",
    [
        ZoneEvacuated("z1"),
        BackendUnlisted("i1"),
        BackendListed(backend_record("i1", is_draining=True)),
    ],
)
def test_server_out_of_service_is_not_chosen(change):
    pool = PoolFixture()
    pool.view.apply([change], NOW_S)
    pool.view.expire(NOW_S + 60)
    assert pool.most_chosen(NOW_S + 60) in ("i2", "i3")


@pytest.mark.parametrize(
    "changes",
    [
        [],
        [BackendListed(backend_record("i1", zone="z1", cold_left_s=1.0))],
        [BackendUnlisted("i1"), BackendListed(backend_record("i1", zone="z1"))],
        [
            BackendListed(backend_record("i1", zone="z1", is_draining=True)),
            BackendListed(backend_record("i1", zone="z1")),
        ],
    ],
    ids=["same record", "newer record", "unlisted and listed", "draining and ready"],
)
@pytest.mark.parametrize("from_peer", [False, True])
def test_server_that_said_it_leaves_is_not_chosen_whatever_its_record_says(changes, from_peer):
    pool = PoolFixture()
    pool.backend("i1").record_statement(ServerStatement(is_leaving=True), NOW_S)
    for change in changes:
        pool.view.apply([change], NOW_S + 60, from_peer=from_peer)
        pool.view.expire(NOW_S + 120)
    assert pool.most_chosen(NOW_S + 120) in ("i2", "i3")


def test_draining_server_is_not_returned_to_service_by_a_late_write_of_its_record():
    pool = PoolFixture()
    for is_draining in (True, False):
        record = backend_record("i1", zone="z1", is_draining=is_draining)
        pool.view.apply([BackendListed(record)], NOW_S)
    assert pool.most_chosen() in ("i2", "i3")


def test_statement_of_an_unlisted_server_holds_when_it_is_listed_again():
    pool = PoolFixture()
    backend = pool.backend("i1")
    pool.view.apply([BackendUnlisted("i1")], NOW_S, from_peer=True)
    backend.record_statement(ServerStatement(is_leaving=True), NOW_S)
    pool.view.apply([BackendListed(backend_record("i1", zone="z1"))], NOW_S)
    assert pool.most_chosen() in ("i2", "i3")


def test_new_run_of_a_server_that_said_it_leaves_is_chosen():
    pool = PoolFixture()
    pool.backend("i1").record_statement(ServerStatement(is_leaving=True), NOW_S)
    again = backend_record("i1", zone="z1", started_ms=2)
    pool.view.apply([BackendListed(again)], NOW_S)
    assert pool.most_chosen() == "i1"


def _refuse_connection(backend, now_s):
    call_number = backend.start_call(TYPICAL_S, now_s)
    backend.finish_call(call_number, REFUSED, now_s)


@pytest.mark.parametrize("refuse", [_refuse_connection, Backend.record_refused_connection])
def test_new_run_that_said_it_leaves_before_its_record_is_known_is_not_chosen(refuse):
    """The answers of a run count for the one before until its record arrives."""
    pool = PoolFixture()
    refuse(pool.backend("i1"), NOW_S)
    pool.backend("i1").record_statement(ServerStatement(is_leaving=True), NOW_S + 1.0)
    again = backend_record("i1", zone="z1", started_ms=2)
    pool.view.apply([BackendListed(again)], NOW_S + 4.0)
    assert pool.most_chosen(NOW_S + ADOPTED_LEAVING_S) in ("i2", "i3")
    assert pool.most_chosen(NOW_S + ADOPTED_LEAVING_S + 1.1) == "i1"


@pytest.mark.parametrize(
    ("refused_after_s", "is_cut_off"),
    [(0.1, False), (-MAX_RECORD_DELAY_S - 1.0, False), (-0.1, True)],
    ids=["refused later", "refused long before", "refused in a cut"],
)
def test_new_run_of_a_server_that_left_before_its_end_is_chosen(refused_after_s, is_cut_off):
    pool = PoolFixture()
    backend = pool.backend("i1")
    events = [
        (refused_after_s, lambda at_s: backend.record_refused_connection(at_s)),
        (0.0, lambda at_s: backend.record_statement(ServerStatement(is_leaving=True), at_s)),
    ]
    for after_s, record in sorted(events, key=lambda event: event[0]):
        record(NOW_S + after_s)
    if is_cut_off:
        pool.pool.forget_unreachable()
    again = backend_record("i1", zone="z1", started_ms=2)
    pool.view.apply([BackendListed(again)], NOW_S + 1.0)
    assert pool.most_chosen(NOW_S + 1.0) == "i1"


def test_pause_that_a_new_run_wants_before_its_record_is_known_is_kept():
    pool = PoolFixture()
    pool.backend("i1").record_statement(ServerStatement(refusal_s=3.0), NOW_S)
    again = backend_record("i1", zone="z1", started_ms=2)
    pool.view.apply([BackendListed(again)], NOW_S + 0.4)
    assert pool.most_chosen(NOW_S + 2.9) in ("i2", "i3")
    assert pool.most_chosen(NOW_S + 3.1) == "i1"


STATEMENTS = [ServerStatement(refusal_s=3.0), ServerStatement(is_leaving=True)]


def _list_run(pool, started_ms, now_s):
    """List a run of the server in this data centre."""
    record = backend_record("i1", zone="z1", started_ms=started_ms)
    pool.view.apply([BackendListed(record)], now_s)


# Soak seed 10287: a router called a server in its pause after the store had been restored.
@pytest.mark.parametrize("restored_ms", [1, 0], ids=["known run", "unknown run"])
@pytest.mark.parametrize("statement", STATEMENTS)
def test_statement_holds_when_a_restored_copy_lists_an_earlier_run(statement, restored_ms):
    pool = PoolFixture()
    _list_run(pool, 2, NOW_S)
    pool.backend("i1").record_statement(statement, NOW_S)
    _list_run(pool, restored_ms, NOW_S + 0.2)
    assert pool.most_chosen(NOW_S + 1.0) in ("i2", "i3")


@pytest.mark.parametrize("statement", STATEMENTS)
def test_statement_made_while_a_restored_copy_lists_an_earlier_run_holds_after_it(statement):
    pool = PoolFixture()
    _list_run(pool, 2, NOW_S)
    _list_run(pool, 1, NOW_S + 0.2)
    pool.backend("i1").record_statement(statement, NOW_S + 0.3)
    _list_run(pool, 2, NOW_S + 0.5)
    assert pool.most_chosen(NOW_S + 1.0) in ("i2", "i3")


def test_limit_holds_when_a_restored_copy_lists_an_earlier_run():
    pool = PoolFixture()
    pool.view.apply([BackendListed(backend_record("i1", zone="z1", started_ms=2))], NOW_S)
    limit = pool.backend("i1").limit
    limit.record_statement(ServerStatement(max_requests_per_s=0.1), NOW_S)
    for _ in range(10):
        limit.record_call(CallKind.FIRST, NOW_S + 0.1)
    pool.view.apply([BackendListed(backend_record("i1", zone="z1", started_ms=1))], NOW_S + 0.2)
    assert pool.most_chosen(NOW_S + 1.0) in ("i2", "i3")


def test_run_is_used_again_after_a_restored_copy_listed_an_earlier_one_that_left():
    """The earlier run left before a rolling restart, and the copy is from that time."""
    pool = PoolFixture()
    left = backend_record("i1", zone="z1", started_ms=1, is_draining=True)
    run = BackendListed(backend_record("i1", zone="z1", started_ms=2))
    for record in (BackendListed(left), run, BackendListed(left), run):
        pool.view.apply([record], NOW_S)
    assert pool.most_chosen(NOW_S + 1.0) == "i1"


def test_run_that_starts_while_a_restored_copy_lists_an_earlier_one_is_used():
    pool = PoolFixture()
    pool.view.apply([BackendListed(backend_record("i1", zone="z1", started_ms=2))], NOW_S)
    pool.backend("i1").record_statement(ServerStatement(is_leaving=True), NOW_S)
    for started_ms in (1, 3):
        record = backend_record("i1", zone="z1", started_ms=started_ms)
        pool.view.apply([BackendListed(record)], NOW_S + 0.2 * started_ms)
    assert pool.most_chosen(NOW_S + 1.0) == "i1"


def test_run_that_starts_after_one_that_left_is_used():
    pool = PoolFixture()
    pool.view.apply([BackendListed(backend_record("i1", zone="z1", started_ms=2))], NOW_S)
    pool.backend("i1").record_statement(ServerStatement(is_leaving=True), NOW_S)
    pool.view.apply([BackendListed(backend_record("i1", zone="z1", started_ms=3))], NOW_S + 0.2)
    assert pool.most_chosen(NOW_S + 1.0) == "i1"


def test_tried_servers_are_not_chosen_again():
    pool = PoolFixture()
    tried = pool.pool.service("s0").backends
    assert pool.most_chosen(tried=tried) == "none"
