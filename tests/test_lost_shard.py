"""Test of the coverage while all backend servers of one shard are stopped."""

from __future__ import annotations

import pytest

from fighinge.errors import ErrorKind
from fighinge.queries import QueryRequest
from tests import virtual_time
from tests.builders import raw_document
from tests.systems import whole_system

REPLICAS = {"s0000": ["b0", "b1"], "s0001": ["b2", "b3"], "s0002": ["b4", "b5"]}


def _raw_document() -> dict:
    raw = raw_document(servers=6, shards=3)
    shards = raw["collections"]["c"]["snapshots"][0]["shards"]
    for name, replicas in REPLICAS.items():
        shards[name]["replicas"] = replicas
    return raw


@pytest.mark.parametrize("lost", sorted(REPLICAS))
def test_only_the_lost_shard_is_missing_with_a_reason(lost):
    async def run():
        async with whole_system(_raw_document(), stopped=REPLICAS[lost]) as service:
            return await service.query("desk", QueryRequest(limit=1000))

    answer = virtual_time.run(run())
    assert [missing.shard for missing in answer.coverage.missing] == [lost]
    assert answer.coverage.missing[0].kind in (ErrorKind.NO_REPLICA, ErrorKind.BACKEND_LOST)
    assert answer.coverage.missing[0].reason
    others = sorted(set(REPLICAS) - {lost})
    assert answer.coverage.included == others
    assert {record.key[:4] for record in answer.records} == {name[1:] for name in others}
    assert answer.total == len(answer.records) == 80
