"""Each promise, broken on purpose in the real code, is caught in a history that it ran."""

from __future__ import annotations

import msgspec
import pytest

from fighinge.aggregator.backend_server import BackendServer
from fighinge.configuration.store import ConfigurationStore
from fighinge.entry import query_errors, query_service
from fighinge.entry.merge import PartCollector
from fighinge.entry.query_run import QueryRun
from fighinge.in_flight import InFlightWork
from tests.histories.faults import Fault, FaultKind
from tests.histories.schedules import Schedule, violations


def _mix_snapshots(monkeypatch):
    add_part = PartCollector.add_part

    def add_any_part(self, part):
        part.index_version = self._snapshot.index_version
        return add_part(self, part)

    monkeypatch.setattr(PartCollector, "add_part", add_any_part)


def _claim_all(monkeypatch):
    coverage = PartCollector.coverage

    def claimed(self):
        answer = coverage(self)
        answer.included, answer.missing = sorted(self._snapshot.shards), []
        answer.share = 1.0
        return answer

    monkeypatch.setattr(PartCollector, "coverage", claimed)


def _trust_cold_servers(monkeypatch):
    monkeypatch.setattr(BackendServer, "concurrency_limit", lambda server: server.slots)
    monkeypatch.setattr(BackendServer, "_record_refusal", lambda *_arguments: None)


def _ignore_zones(monkeypatch):
    for module in ("fighinge.aggregator.service", "fighinge.ownership", "fighinge.admission"):
        monkeypatch.setattr(f"{module}.zone_in_service", lambda *_arguments: True)


def _drop_a_record(monkeypatch):
    merge = PartCollector.merge

    def shorter(self):
        merged = merge(self)
        del merged.records[1:2]
        return merged

    monkeypatch.setattr(PartCollector, "merge", shorter)


def _always_not_run(monkeypatch):
    run_error = query_errors.run_error

    def claimed(*arguments, **options):
        return msgspec.structs.replace(run_error(*arguments, **options), not_run=True)

    monkeypatch.setattr(query_service, "run_error", claimed)


def _run_twice(monkeypatch):
    send_sub_query = QueryRun._send_sub_query

    def send_twice(self, owner, groups, *, takeover):
        send_sub_query(self, owner, groups, takeover=takeover)
        send_sub_query(self, owner, groups, takeover=takeover)

    monkeypatch.setattr(QueryRun, "_send_sub_query", send_twice)


def _ignore_drains(monkeypatch):
    monkeypatch.setattr(BackendServer, "_begin_drain", lambda *_arguments: None)


def _stop_at_once(monkeypatch):
    async def not_waiting(_self, _limit_s):
        return True

    monkeypatch.setattr(InFlightWork, "wait_until_idle", not_waiting)


def _revert(monkeypatch):
    activate = ConfigurationStore._activate

    def activate_and_revert(self, accepted, cause):
        before = self.active
        activate(self, accepted, cause)
        if before is not None:
            activate(self, before, "reverted")

    monkeypatch.setattr(ConfigurationStore, "_activate", activate_and_revert)


def _faults(kind, *targets, at_s=1.0, duration_s=3.0):
    return tuple(Fault(kind, at_s, duration_s, target) for target in targets)


@pytest.mark.parametrize(
    ("guarantee", "break_guarantee", "faults"),
    [
        ("single snapshot", _mix_snapshots, _faults(FaultKind.WRONG_VERSION, 3, 4, 5)),
        ("accurate coverage", _claim_all, _faults(FaultKind.SERVER_RESTART, 0, 1, 2)),
        ("cold start", _trust_cold_servers, _faults(FaultKind.COLD_START, 0, 1, 2)),
        ("evacuated data centre", _ignore_zones, _faults(FaultKind.ZONE_EVACUATION, 0)),
        ("correct answers", _drop_a_record, ()),
        ("not-run errors", _always_not_run, _faults(FaultKind.CRASHING_REQUEST, 0)),
        ("at most once", _run_twice, ()),
        ("draining servers", _ignore_drains, _faults(FaultKind.SERVER_DRAIN, 0)),
        (
            "graceful shutdown",
            _stop_at_once,
            (
                *_faults(FaultKind.STRAGGLER, 0, 1, 2, 3, 4, 5),
                *_faults(FaultKind.GRACEFUL_SHUTDOWN, 0),
            ),
        ),
        ("configuration versions", _revert, _faults(FaultKind.ZONE_EVACUATION, 0)),
    ],
)
def test_broken_variant_is_caught(monkeypatch, guarantee, break_guarantee, faults):
    schedule = Schedule(1, faults)
    assert violations(schedule) == []
    break_guarantee(monkeypatch)
    assert guarantee in {violation.guarantee for violation in violations(schedule)}
