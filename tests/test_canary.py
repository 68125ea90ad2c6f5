"""Tests of canary requests."""

from __future__ import annotations

import asyncio

import pytest

from fighinge.entry.canary import (
    MAX_SAFE_FINGERPRINTS,
    SAFE_FINGERPRINT_TTL_S,
    CanaryDecision,
    CanaryRun,
    CanarySchedule,
    SafeFingerprints,
    canary_order,
)
from fighinge.errors import ErrorKind
from fighinge.messages import Attempt, GroupOutcome, ShardResult, failed_group
from tests import virtual_time


def answered(group):
    return GroupOutcome(group=group, parts=[ShardResult("s", 1, [], 0)], sent=True)


def lost(group):
    outcome = failed(group, ErrorKind.BACKEND_LOST)
    outcome.attempts.append(Attempt("b", 1, "first", 0.0, 1.0, "connection_lost"))
    return outcome


def failed(group, kind):
    return failed_group(group, ["s"], kind, "", sent=True)


@pytest.mark.parametrize(
    ("outcomes", "expected_groups", "decision"),
    [
        ([answered], ["g1"], CanaryDecision.RELEASED),
        ([lambda group: failed(group, ErrorKind.QUARANTINED)], ["g1"], CanaryDecision.STOPPED),
        (
            [lambda group: failed(group, ErrorKind.NO_REPLICA), answered],
            ["g1", "g2"],
            CanaryDecision.RELEASED,
        ),
        ([lost, answered], ["g1", "g2"], CanaryDecision.RELEASED),
        ([lost, lost], ["g1", "g2"], CanaryDecision.STOPPED),
        ([lost, None], ["g1", "g2"], CanaryDecision.STOPPED),
        ([None, answered], ["g1", "g2"], CanaryDecision.RELEASED),
        ([None, None], ["g1", "g2"], CanaryDecision.RELEASED),
        (
            [None, lambda group: failed(group, ErrorKind.QUARANTINED)],
            ["g1", "g2"],
            CanaryDecision.STOPPED,
        ),
    ],
)
def test_canary_stops_crashing_requests_and_releases_others(outcomes, expected_groups, decision):
    async def run():
        clock = asyncio.get_running_loop().time
        schedule = CanarySchedule.from_deadline(clock(), clock() + 1.0)
        canary = CanaryRun(["g1", "g2", "g3"], schedule, clock)
        sent_groups = []

        def send(group):
            outcome = outcomes[len(sent_groups)] if len(sent_groups) < len(outcomes) else None
            sent_groups.append(group)
            if outcome is not None:
                canary.on_outcome(outcome(group))

        return await canary.run(send), sent_groups

    assert virtual_time.run(run()) == (decision, expected_groups)


def test_canary_order_does_not_depend_on_the_entry():
    groups = [f"g{number}" for number in range(20)]
    assert canary_order("f", groups) == canary_order("f", reversed(groups))
    assert len({canary_order(f"f{number}", groups)[0] for number in range(100)}) > 10


def test_safe_fingerprint_expires():
    safe = SafeFingerprints()
    safe.add("f", 10.0)
    assert safe.contains("f", 10.0 + SAFE_FINGERPRINT_TTL_S - 1)
    assert not safe.contains("f", 10.0 + SAFE_FINGERPRINT_TTL_S)


def test_safe_fingerprints_are_bounded():
    safe = SafeFingerprints()
    for number in range(MAX_SAFE_FINGERPRINTS + 1):
        safe.add(f"f{number}", 10.0)
    assert not safe.contains("f0", 10.0)
    assert safe.contains(f"f{MAX_SAFE_FINGERPRINTS}", 10.0)
