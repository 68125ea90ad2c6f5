"""Tests that versions are in force in time at all routers after faults of the store."""

from __future__ import annotations

import asyncio

import pytest

from tests.platform.version_rounds import play

ROUTERS, SHARDS = 6, 2
DUE_S = 3.0


# All routers answered 404 on an added route for 29 s, as their watches were lost in a silence.
@pytest.mark.parametrize(
    "fault", ["silence after a change", "older copy beside restarts", "silence beside frozen hosts"]
)
def test_version_after_a_fault_is_in_force_in_time_and_kept(fault, tmp_path):
    (outcome,) = asyncio.run(play(tmp_path, ROUTERS, SHARDS, DUE_S, 1, [fault]))
    assert outcome.is_good, outcome
    assert outcome.requests > 0
