"""Tests that the benchmarks' checks report answers that violate a guarantee."""

from __future__ import annotations

import msgspec
import pytest

from benchmarks.guarantees import violated_guarantees
from benchmarks.load import QueryStream, Sample
from benchmarks.results import fit_line
from benchmarks.scenarios import SCENARIOS
from benchmarks.shapes import FleetShape
from fighinge.messages import Search
from fighinge.model import decode_document
from fighinge.queries import Coverage, QueryAnswer, QueryRequest, SnapshotName
from standins.records import search_shard

DOCUMENT = decode_document(FleetShape(groups=2, shards_per_group=1).document())


def changed_sample(**changes: object) -> Sample:
    """Return a sample of a correct answer in which some fields are replaced."""
    snapshot = DOCUMENT.collections["records"].snapshots[0]
    shard_results = [search_shard(shard, snapshot, Search(limit=30)) for shard in snapshot.shards]
    answer = QueryAnswer(
        request_id="r1",
        snapshot=SnapshotName("records", 1),
        records=shard_results[0].records,
        total=sum(shard_result.total for shard_result in shard_results),
        facets={},
        coverage=Coverage(1.0, list(snapshot.shards), [], "all"),
    )
    request = QueryRequest(request_id="r1", limit=30)
    return Sample(QueryStream(), request, 0.0, 1.0, msgspec.structs.replace(answer, **changes))


def test_correct_answer_violates_no_guarantee():
    assert violated_guarantees(changed_sample(), DOCUMENT) == []


@pytest.mark.parametrize(
    ("changes", "guarantee"),
    [
        ({"request_id": "r2"}, "whole_answer"),
        ({"total": 41}, "true_coverage"),
        ({"coverage": Coverage(1.0, ["s0000"], [], "")}, "true_coverage"),
        ({"records": []}, "whole_answer"),
        ({"snapshot": SnapshotName("records", 9)}, "one_snapshot"),
    ],
)
def test_violated_guarantee_is_reported(changes, guarantee):
    assert guarantee in violated_guarantees(changed_sample(**changes), DOCUMENT)


def test_fit_line_returns_slope_and_intercept():
    slope, intercept = fit_line([(1, 5.0), (2, 7.0), (4, 11.0)])
    assert (round(slope, 9), round(intercept, 9)) == (2.0, 3.0)


def test_every_scenario_has_a_valid_document():
    for scenario in SCENARIOS:
        for step in scenario.steps:
            assert decode_document(step.shape.document()).backend_servers, scenario.name
