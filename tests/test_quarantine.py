"""Tests of the quarantine of requests that crash backend servers."""

from __future__ import annotations

from fighinge.aggregator.quarantine import Quarantine, Verdict
from fighinge.facts import FactBoard, FactKind


def test_losses_on_two_servers_quarantine_request():
    quarantine = Quarantine()
    quarantine.record_loss("b0", "p0", ["crash", "other"], 0.0)
    assert quarantine.verdict("crash", 0.0) is Verdict.SUSPECT
    assert quarantine.lost_servers("crash", 0.0) == {"b0"}
    quarantine.record_loss("b1", "p1", ["crash"], 0.2)
    assert quarantine.verdict("crash", 0.2) is Verdict.QUARANTINED
    assert quarantine.verdict("other", 0.2) is Verdict.SUSPECT


def test_two_losses_of_same_server_count_once():
    quarantine = Quarantine()
    for now_s in (0.0, 5.0):
        quarantine.record_loss("b0", "p0", ["f"], now_s)
        quarantine.resolve_loss("b0", None, now_s + 0.1)
    assert quarantine.verdict("f", 6.0) is Verdict.SUSPECT


def test_answer_of_another_replica_clears_suspect():
    quarantine = Quarantine()
    quarantine.record_loss("b0", "p0", ["f"], 0.0)
    quarantine.clear("f", ["b0", "b1", "b2"])
    assert quarantine.verdict("f", 0.1) is Verdict.CLEAR


def test_loss_is_withdrawn_when_same_process_answers_again():
    quarantine = Quarantine()
    for name in ("b0", "b1"):
        quarantine.record_loss(name, f"p-{name}", ["popular"], 0.0)
    for name in ("b0", "b1"):
        quarantine.resolve_loss(name, f"p-{name}", 0.5)
    assert quarantine.verdict("popular", 0.6) is Verdict.CLEAR


def test_partition_quarantines_no_request():
    quarantine = Quarantine()
    for number in range(5):
        quarantine.record_loss(f"b{number}", f"p{number}", [f"f{number}", f"f{number + 1}"], 0.0)
    for number in range(6):
        assert quarantine.verdict(f"f{number}", 0.1) is not Verdict.QUARANTINED


def test_losses_published_by_peers_count():
    board = FactBoard()
    here, peer = Quarantine(), Quarantine(board.add)
    board.listen(lambda fact: here.apply_fact(fact, 1.0))
    peer.record_loss("b0", "p0", ["f"], 0.0)
    peer.resolve_loss("b0", "new", 0.5)
    assert here.verdict("f", 1.0) is Verdict.SUSPECT
    here.record_loss("b7", "p7", ["f"], 1.0)
    assert here.verdict("f", 1.0) is Verdict.QUARANTINED
    peer.record_loss("b1", "p1", ["f"], 1.0)
    peer.resolve_loss("b1", None, 1.1)
    assert board.values(FactKind.QUARANTINE, "f", 1.2)


def test_quarantine_expires():
    quarantine = Quarantine()
    for name in ("b0", "b1"):
        quarantine.record_loss(name, "p", ["f"], 0.0)
        quarantine.resolve_loss(name, None, 0.1)
    assert quarantine.verdict("f", 299.0) is Verdict.QUARANTINED
    assert quarantine.verdict("f", 301.0) is Verdict.CLEAR
