"""Tests of the bench's own checks: what breaks a guarantee is found."""

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


def answered(**changes: object) -> Sample:
    """Return a sample with a right answer, but for some changed fields."""
    snapshot = DOCUMENT.collections["records"].snapshots[0]
    parts = [search_shard(shard, snapshot, Search(limit=30)) for shard in snapshot.shards]
    answer = QueryAnswer(
        request_id="r1",
        snapshot=SnapshotName("records", 1),
        records=parts[0].records,
        total=sum(part.total for part in parts),
        facets={},
        coverage=Coverage(1.0, list(snapshot.shards), [], "all"),
    )
    request = QueryRequest(request_id="r1", limit=30)
    return Sample(QueryStream(), request, 0.0, 1.0, msgspec.structs.replace(answer, **changes))


def test_a_right_answer_breaks_nothing():
    assert violated_guarantees(answered(), DOCUMENT) == []


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
def test_a_wrong_answer_is_found(changes, guarantee):
    assert guarantee in violated_guarantees(answered(**changes), DOCUMENT)


def test_slope_of_a_line():
    slope, intercept = fit_line([(1, 5.0), (2, 7.0), (4, 11.0)])
    assert (round(slope, 9), round(intercept, 9)) == (2.0, 3.0)


def test_every_scenario_has_a_valid_document():
    for scenario in SCENARIOS:
        for step in scenario.steps:
            assert decode_document(step.shape.document()).backend_servers, scenario.name
