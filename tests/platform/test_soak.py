"""A short run of the soak: one seed, and every seed that ever failed."""

from __future__ import annotations

import asyncio

import pytest

from tests.platform.soak import run_seed

SHORT_SEED = 1
FAILED_SEEDS = (  # (seed, cause) of each seed that ever broke a promise
    (403, "a popular query in flight at one crash was taken for a request that crashes servers"),
)


@pytest.mark.parametrize("seed", [SHORT_SEED, *(seed for seed, _ in FAILED_SEEDS)])
def test_seed_breaks_no_promise(seed, tmp_path):
    outcome = asyncio.run(run_seed(seed, tmp_path))
    assert outcome.violations == []
    assert outcome.is_good, outcome
