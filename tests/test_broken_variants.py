"""The checkers detect a deliberate violation of each guarantee in the production code."""

from __future__ import annotations

import msgspec
import pytest

from fighinge.aggregator.backend_server import BackendServer
from fighinge.configuration.store import ConfigurationStore
from fighinge.entry import query_errors, query_service
from fighinge.entry.merge import ShardResultCollector
from fighinge.entry.query_run import QueryRun
from fighinge.in_flight import InFlightWork
from tests.histories.faults import Fault, FaultKind
from tests.histories.schedules import Schedule, violations


def _mix_snapshots(monkeypatch):
    add_result = ShardResultCollector.add_result

    def add_relabelled_result(self, result):
        result.index_version = self._snapshot.index_version
        return add_result(self, result)

    monkeypatch.setattr(ShardResultCollector, "add_result", add_relabelled_result)


def _claim_full_coverage(monkeypatch):
    coverage = ShardResultCollector.coverage

    def full_coverage(self):
        result = coverage(self)
        result.included, result.missing = sorted(self._snapshot.shards), []
        result.share = 1.0
        return result

    monkeypatch.setattr(ShardResultCollector, "coverage", full_coverage)


def _ignore_cold_starts(monkeypatch):
    monkeypatch.setattr(BackendServer, "concurrency_limit", lambda server: server.slots)
    monkeypatch.setattr(BackendServer, "_record_refusal", lambda *_arguments: None)


def _ignore_evacuations(monkeypatch):
    for module in ("fighinge.aggregator.service", "fighinge.ownership", "fighinge.admission"):
        monkeypatch.setattr(f"{module}.zone_in_service", lambda *_arguments: True)


def _drop_record(monkeypatch):
    merge = ShardResultCollector.merge

    def merge_without_second_record(self):
        merged = merge(self)
        del merged.records[1:2]
        return merged

    monkeypatch.setattr(ShardResultCollector, "merge", merge_without_second_record)


def _report_always_not_run(monkeypatch):
    run_error = query_errors.run_error

    def not_run_error(*arguments, **options):
        return msgspec.structs.replace(run_error(*arguments, **options), not_run=True)

    monkeypatch.setattr(query_service, "run_error", not_run_error)


def _send_sub_queries_twice(monkeypatch):
    send_sub_query = QueryRun._send_sub_query

    def send_twice(self, owner, groups, *, takeover):
        send_sub_query(self, owner, groups, takeover=takeover)
        send_sub_query(self, owner, groups, takeover=takeover)

    monkeypatch.setattr(QueryRun, "_send_sub_query", send_twice)


def _ignore_drains(monkeypatch):
    monkeypatch.setattr(BackendServer, "_begin_drain", lambda *_arguments: None)


def _shut_down_without_waiting(monkeypatch):
    async def return_at_once(_self, _limit_s):
        return True

    monkeypatch.setattr(InFlightWork, "wait_until_idle", return_at_once)


def _revert_configuration(monkeypatch):
    activate = ConfigurationStore._activate

    def activate_and_revert(self, accepted, cause):
        previous = self.active
        activate(self, accepted, cause)
        if previous is not None:
            activate(self, previous, "reverted")

    monkeypatch.setattr(ConfigurationStore, "_activate", activate_and_revert)


def _faults(kind, *targets, at_s=1.0, duration_s=3.0):
    return tuple(Fault(kind, at_s, duration_s, target) for target in targets)


@pytest.mark.parametrize(
    ("guarantee", "break_guarantee", "faults"),
    [
        ("single snapshot", _mix_snapshots, _faults(FaultKind.WRONG_VERSION, 3, 4, 5)),
        ("accurate coverage", _claim_full_coverage, _faults(FaultKind.SERVER_RESTART, 0, 1, 2)),
        ("cold start", _ignore_cold_starts, _faults(FaultKind.COLD_START, 0, 1, 2)),
        ("evacuated data centre", _ignore_evacuations, _faults(FaultKind.ZONE_EVACUATION, 0)),
        ("correct answers", _drop_record, ()),
        ("not-run errors", _report_always_not_run, _faults(FaultKind.CRASHING_REQUEST, 0)),
        ("at most once", _send_sub_queries_twice, ()),
        ("draining servers", _ignore_drains, _faults(FaultKind.SERVER_DRAIN, 0)),
        (
            "graceful shutdown",
            _shut_down_without_waiting,
            (
                *_faults(FaultKind.STRAGGLER, 0, 1, 2, 3, 4, 5),
                *_faults(FaultKind.GRACEFUL_SHUTDOWN, 0),
            ),
        ),
        ("configuration versions", _revert_configuration, _faults(FaultKind.ZONE_EVACUATION, 0)),
    ],
)
def test_checker_detects_violation_in_production_code(
    monkeypatch, guarantee, break_guarantee, faults
):
    schedule = Schedule(1, faults)
    assert violations(schedule) == []
    break_guarantee(monkeypatch)
    assert guarantee in {violation.guarantee for violation in violations(schedule)}
