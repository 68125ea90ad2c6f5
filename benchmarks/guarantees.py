"""Checks each answer against the generated records for violated guarantees."""

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
    """Return the guarantees that an answer violates, by their keys in the results."""
    result, request = sample.result, sample.request
    if result.request_id != request.request_id:
        return ["whole_answer"]
    if isinstance(result, QueryError):
        return []
    snapshot = document.collections[COLLECTION].snapshot(result.snapshot.index_version)
    if snapshot is None:
        return ["one_snapshot"]
    return [
        *([] if _is_from_one_snapshot(result) else ["one_snapshot"]),
        *([] if _is_coverage_correct(request, result, snapshot) else ["true_coverage"]),
        *([] if _has_expected_records(request, result, snapshot) else ["whole_answer"]),
    ]


def _is_from_one_snapshot(answer: QueryAnswer) -> bool:
    return all(
        _version_of(bytes(record.fields)) == answer.snapshot.index_version
        for record in answer.records
    )


@functools.lru_cache(maxsize=1 << 16)
def _version_of(fields: bytes) -> int:
    return msgspec.json.decode(fields)["version"]


def _is_coverage_correct(request: QueryRequest, answer: QueryAnswer, snapshot: Snapshot) -> bool:
    coverage = answer.coverage
    named_shards = sorted([*coverage.included, *(missing.shard for missing in coverage.missing)])
    included_fraction = len(coverage.included) / len(snapshot.shards)
    expected = sum(
        _match_count(shard, snapshot, bytes(request.filter)) for shard in coverage.included
    )
    return (
        named_shards == sorted(snapshot.shards)
        and abs(included_fraction - coverage.share) < 1e-9
        and answer.total == expected
    )


def _has_expected_records(request: QueryRequest, answer: QueryAnswer, snapshot: Snapshot) -> bool:
    """Return whether the records are the first ones of the included shards, each once."""
    expected: list[str] = []
    for shard in sorted(answer.coverage.included):
        if len(expected) >= request.limit:
            break
        expected.extend(_matching_keys(shard, snapshot, bytes(request.filter)))
    return [record.key for record in answer.records] == expected[: request.limit]


def _match_count(shard: str, snapshot: Snapshot, raw_filter: bytes) -> int:
    return len(_matching_keys(shard, snapshot, raw_filter))


def _matching_keys(shard: str, snapshot: Snapshot, raw_filter: bytes) -> tuple[str, ...]:
    return _generated_keys(
        shard, snapshot.index_version, snapshot.shards[shard].from_key, raw_filter
    )


@functools.lru_cache(maxsize=1 << 14)
def _generated_keys(
    shard: str, index_version: int, from_key: str, raw_filter: bytes
) -> tuple[str, ...]:
    snapshot = _SingleShardSnapshot(index_version, {shard: _KeyRange(from_key)})
    # The limit exceeds the number of records in a shard.
    shard_result = search_shard(
        shard, snapshot, Search(filter=msgspec.Raw(raw_filter), limit=10_000)
    )
    return tuple(record.key for record in shard_result.records)


class _KeyRange(msgspec.Struct, frozen=True):
    from_key: str


class _SingleShardSnapshot(msgspec.Struct, frozen=True):
    """The part of a snapshot that the generator of records reads."""

    index_version: int
    shards: dict[str, _KeyRange]
