"""Tests of when a scatter-gather query is answered and when it fails."""

from __future__ import annotations

import pytest

from fighinge.router.coverage_rule import CoverageRule, Verdict

SOFT_DEADLINE_S, HARD_DEADLINE_S = 10.0, 20.0


@pytest.mark.parametrize(
    ("total", "min_coverage", "required"),
    [(10, 0.89, 9), (10, 0.75, 8), (36, 0.95, 35), (36, 0.85, 31), (15, 0.89, 14), (4, 0.75, 3)],
)
def test_minimum_coverage_is_rounded_up_to_whole_shards(total, min_coverage, required):
    assert CoverageRule(total, min_coverage, SOFT_DEADLINE_S, HARD_DEADLINE_S).required == required


@pytest.mark.parametrize(
    ("included", "pending", "now_s", "expected"),
    [
        (10, 0, 1.0, Verdict.ANSWER),
        (9, 1, 1.0, Verdict.WAIT),
        (9, 1, SOFT_DEADLINE_S, Verdict.ANSWER),
        (9, 0, 1.0, Verdict.ANSWER),
        (8, 2, SOFT_DEADLINE_S, Verdict.WAIT),
        (8, 1, 1.0, Verdict.WAIT),
        (8, 0, 1.0, Verdict.FAIL),
        (7, 1, 1.0, Verdict.FAIL),
        (8, 2, HARD_DEADLINE_S, Verdict.FAIL),
        (9, 1, HARD_DEADLINE_S, Verdict.ANSWER),
    ],
)
def test_partial_answer_is_neither_sent_too_early_nor_too_late(included, pending, now_s, expected):
    rule = CoverageRule(10, 0.89, SOFT_DEADLINE_S, HARD_DEADLINE_S)
    assert rule.verdict(included, pending, now_s) is expected
