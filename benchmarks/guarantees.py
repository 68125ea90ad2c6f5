"""Checks of the guarantees on each answer, against the generated records."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

import msgspec

from fighinge.messages import Search
from fighinge.queries import QueryError
from standins.records import search_shard

if TYPE_CHECKING:
    from benchmarks.load import Sample
    from fighinge.model import Document, Snapshot
    from fighinge.queries import QueryAnswer, QueryRequest

COLLECTION = "records"


def violated_guarantees(sample: Sample, document: Document) -> list[str]:
    """Return the guarantees that an answer breaks."""
    result, request = sample.result, sample.request
    if result.request_id != request.request_id:
        return ["whole_answer"]
    if isinstance(result, QueryError):
        return []
    snapshot = document.collections[COLLECTION].snapshot(result.snapshot.index_version)
    if snapshot is None:
        return ["one_snapshot"]
    return [
        *([] if _is_one_snapshot(result) else ["one_snapshot"]),
        *([] if _is_coverage_true(request, result, snapshot) else ["true_coverage"]),
        *([] if _is_whole(request, result, snapshot) else ["whole_answer"]),
    ]


def _is_one_snapshot(answer: QueryAnswer) -> bool:
    return all(
        _version_of(bytes(record.fields)) == answer.snapshot.index_version
        for record in answer.records
    )


@functools.lru_cache(maxsize=1 << 16)
def _version_of(fields: bytes) -> int:
    return msgspec.json.decode(fields)["version"]


def _is_coverage_true(request: QueryRequest, answer: QueryAnswer, snapshot: Snapshot) -> bool:
    coverage = answer.coverage
    named = sorted([*coverage.included, *(missing.shard for missing in coverage.missing)])
    share = len(coverage.included) / len(snapshot.shards)
    expected = sum(
        _shard_total(shard, snapshot, bytes(request.filter)) for shard in coverage.included
    )
    return (
        named == sorted(snapshot.shards)
        and abs(share - coverage.share) < 1e-9
        and answer.total == expected
    )


def _is_whole(request: QueryRequest, answer: QueryAnswer, snapshot: Snapshot) -> bool:
    """Check that the records are the first ones of the included shards, each once."""
    expected: list[str] = []
    for shard in sorted(answer.coverage.included):
        if len(expected) >= request.limit:
            break
        expected.extend(_shard_keys(shard, snapshot, bytes(request.filter)))
    return [record.key for record in answer.records] == expected[: request.limit]


def _shard_total(shard: str, snapshot: Snapshot, wanted: bytes) -> int:
    return len(_shard_keys(shard, snapshot, wanted))


def _shard_keys(shard: str, snapshot: Snapshot, wanted: bytes) -> tuple[str, ...]:
    return _keys(shard, snapshot.index_version, snapshot.shards[shard].from_key, wanted)


@functools.lru_cache(maxsize=1 << 14)
def _keys(shard: str, index_version: int, from_key: str, wanted: bytes) -> tuple[str, ...]:
    source = _SingleShardSnapshot(index_version, {shard: _KeyRange(from_key)})
    part = search_shard(shard, source, Search(filter=msgspec.Raw(wanted), limit=10_000))
    return tuple(record.key for record in part.records)


class _KeyRange(msgspec.Struct, frozen=True):
    from_key: str


class _SingleShardSnapshot(msgspec.Struct, frozen=True):
    """As much of a snapshot as the generator of records reads."""

    index_version: int
    shards: dict[str, _KeyRange]
