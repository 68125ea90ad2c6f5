"""Tests that of several requests at crashing backend servers the harmful ones are quarantined."""

from __future__ import annotations

import pytest

from fighinge.facts import FactBoard
from fighinge.router.crash_evidence import Crash, SentCall
from fighinge.router.crash_ledger import CRASHES_TO_QUARANTINE
from fighinge.router.crash_suspects import (
    SETTLE_S,
)
from tests.router.crash_builders import (
    FINGERPRINT,
    NOW_S,
    crash_suspects,
    lose,
    start_call,
)


@pytest.mark.parametrize("is_seen_first", [True, False])
def test_new_request_beside_one_that_crashes_more_servers_is_not_quarantined(is_seen_first):
    """The evidence against the other request may arrive later."""
    suspects = crash_suspects()
    servers = [f"i{number}" for number in range(2 * CRASHES_TO_QUARANTINE)]
    beside = servers[:CRASHES_TO_QUARANTINE]

    def crash(fingerprint, ended):
        for server in ended:
            call = SentCall(fingerprint, "r", "s0", server, NOW_S, False, follows_loss=True)
            suspects.record_lost_connection(call, NOW_S + 0.01)
            suspects.record_end(server, NOW_S + 0.02)

    if is_seen_first:
        crash(FINGERPRINT, beside)
        assert suspects.is_quarantined(FINGERPRINT, NOW_S + 0.1)
    crash("other", servers)
    if not is_seen_first:
        crash(FINGERPRINT, beside)
    assert suspects.is_quarantined("other", NOW_S + 1)
    assert not suspects.is_quarantined(FINGERPRINT, NOW_S + 1)


@pytest.mark.parametrize("is_lost_first", [True, False])
@pytest.mark.parametrize("extra_servers", [0, 2])
@pytest.mark.parametrize("harmless_s", [None, 3.0])
def test_popular_request_at_the_servers_that_another_one_crashes_is_not_quarantined(
    harmless_s, extra_servers, is_lost_first
):
    """The other request has crashed as many servers or fewer, and was answered long before."""
    suspects = crash_suspects()
    answered = [(FINGERPRINT, 0.1)] + ([("other", harmless_s)] if harmless_s else [])
    for fingerprint, before_s in answered:
        call = SentCall(fingerprint, "r", "s0", "i9", NOW_S - before_s, False)
        suspects.record_response(call, call.started_s + 0.01, was_run=True)
    fingerprints = [FINGERPRINT, "other"] if is_lost_first else ["other", FINGERPRINT]
    for number in range(CRASHES_TO_QUARANTINE + extra_servers):
        at_s, is_shared = NOW_S + number * SETTLE_S, number < CRASHES_TO_QUARANTINE
        for fingerprint in fingerprints if is_shared else [FINGERPRINT]:
            call = SentCall(fingerprint, "r", "s0", f"i{number}", at_s, number > 1)
            suspects.record_lost_connection(call, at_s + 0.01)
        suspects.record_end(f"i{number}", at_s + 0.02)
        assert not suspects.is_quarantined(FINGERPRINT, at_s + 0.03)
    assert suspects.is_quarantined("other", at_s + 0.03)


def _crash_beside(suspects, server, other, at_s):
    """Let a server end under a call of another request, with one of this request in flight."""
    calls = [SentCall(other, "r", "s0", server, at_s, False)] if other else []
    calls.append(start_call(suspects, server, now_s=at_s))
    lose(suspects, *calls, now_s=at_s)
    suspects.record_end(server, at_s + 0.02)


# KNOWN-RED 16: none of the others had crashed enough servers to be found as the cause.
@pytest.mark.parametrize("others", ["abca", "abcab", "abacbc"])
def test_popular_request_at_the_servers_that_several_others_crash_is_not_quarantined(others):
    suspects = crash_suspects()
    suspects.record_response(start_call(suspects, "i9", now_s=NOW_S - 1), NOW_S, was_run=True)
    for number, other in enumerate(others):
        at_s = NOW_S + number * SETTLE_S / 2
        _crash_beside(suspects, f"i{number}", other, at_s)
        assert not suspects.is_quarantined(FINGERPRINT, at_s + 0.03)


@pytest.mark.parametrize(
    ("others", "crashes"),
    [("abcad", 5), ("abcd", 4), (("a", "b", "c", None), 4), ((None,) * 3, 3)],
)
def test_popular_request_that_turns_harmful_is_quarantined_beside_others(others, crashes):
    """Two probes beside other requests prove it, or one without any."""
    suspects = crash_suspects()
    suspects.record_response(start_call(suspects, "i9", now_s=NOW_S - 1), NOW_S, was_run=True)
    quarantined = []
    for number, other in enumerate(others):
        at_s = NOW_S + number * SETTLE_S / 2
        _crash_beside(suspects, f"i{number}", other, at_s)
        quarantined.append(suspects.is_quarantined(FINGERPRINT, at_s + 0.03))
    assert quarantined == [False] * (crashes - 1) + [True]


def test_quarantine_is_lifted_once_another_cause_of_its_probe_is_known():
    """The crash under the other request was seen by another router and is known later."""
    board = FactBoard()
    suspects = crash_suspects(board)
    suspects.record_response(start_call(suspects, "i9", now_s=NOW_S - 1), NOW_S, was_run=True)
    for number in range(CRASHES_TO_QUARANTINE):
        at_s = NOW_S + number * SETTLE_S
        _crash_beside(suspects, f"i{number}", None, at_s)
    assert suspects.is_quarantined(FINGERPRINT, at_s + 0.03)
    crash = Crash(f"i{number}", "s0", is_probe=False, sent_s=at_s)
    board.add(crash.to_fact("other"), at_s + 0.2)
    assert not suspects.is_quarantined(FINGERPRINT, at_s + 0.3)
