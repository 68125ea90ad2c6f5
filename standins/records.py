"""Deterministically generated records of the stand-in backend servers."""

from __future__ import annotations

import functools
import random

import msgspec

from fighinge.messages import Record, Search, ShardResult
from fighinge.model import Snapshot

CITIES = ("San Antonio", "Austin", "Laredo", "Almaty", "Astana")
RECORDS_PER_SHARD = 40


def shard_names(count: int) -> list[str]:
    """Return the shard names of a generated collection."""
    return [f"s{number:04d}" for number in range(count)]


def shard_map(count: int, replicas_of) -> dict:
    """Return the shards of a snapshot in the form of the configuration document.

    :param replicas_of: function from the number of a shard to the names of its replicas
    """
    return {
        name: {
            "from_key": "" if number == 0 else f"{number:04d}",
            "to_key": "" if number == count - 1 else f"{number + 1:04d}",
            "replicas": replicas_of(number),
        }
        for number, name in enumerate(shard_names(count))
    }


@functools.lru_cache(maxsize=4096)
def generate_records(shard: str, from_key: str, index_version: int) -> tuple[Record, ...]:
    """Return the records of a shard; ``city`` and ``version`` depend on the index version."""
    prefix = from_key or "0000"
    rng = random.Random(f"{shard}/{index_version}")
    return tuple(
        Record(
            key=f"{prefix}-{number:05d}",
            sort=f"{prefix}-{number:05d}",
            fields=msgspec.Raw(
                msgspec.json.encode(
                    {"city": rng.choice(CITIES), "version": index_version, "number": number}
                )
            ),
        )
        for number in range(RECORDS_PER_SHARD)
    )


def search_shard(
    shard: str, snapshot: Snapshot, search: Search, misplaced_records: int = 0
) -> ShardResult:
    """Return the result of a search in one shard; the filter maps fields to required values.

    :param misplaced_records: number of records of the next shard to add to the result
    """
    cache_key = (shard, snapshot.shards[shard].from_key, snapshot.index_version)
    result = _search_generated(*cache_key, msgspec.json.encode(search))
    records = list(result.records)
    if misplaced_records:
        records.extend(_next_shard_records(shard, snapshot)[:misplaced_records])
    return ShardResult(shard, snapshot.index_version, records, result.total, result.facets)


@functools.lru_cache(maxsize=4096)
def _search_generated(
    shard: str, from_key: str, index_version: int, raw_search: bytes
) -> ShardResult:
    search = msgspec.json.decode(raw_search, type=Search)
    filter_fields = msgspec.json.decode(search.filter)
    filter_fields = filter_fields if isinstance(filter_fields, dict) else {}
    matches = [
        (record, fields)
        for record, fields in _decoded_records(shard, from_key, index_version)
        if all(fields.get(name) == value for name, value in filter_fields.items())
    ]
    facets = {name: _count_facet(matches, name) for name in search.facets}
    sorted_matches = [_with_sort_value(record, fields, search.sort) for record, fields in matches]
    sorted_matches.sort(key=lambda record: (record.sort, record.key), reverse=search.descending)
    if search.after is not None:
        sorted_matches = [record for record in sorted_matches if _is_after_cursor(record, search)]
    return ShardResult(shard, index_version, sorted_matches[: search.limit], len(matches), facets)


@functools.lru_cache(maxsize=4096)
def _decoded_records(shard: str, from_key: str, index_version: int) -> list[tuple[Record, dict]]:
    records = generate_records(shard, from_key, index_version)
    return [(record, msgspec.json.decode(record.fields)) for record in records]


def _next_shard_records(shard: str, snapshot: Snapshot) -> tuple[Record, ...]:
    """Return the records of the shard that follows this one in key order."""
    names = list(snapshot.shards)
    neighbour = names[(names.index(shard) + 1) % len(names)]
    return generate_records(neighbour, snapshot.shards[neighbour].from_key, snapshot.index_version)


def _with_sort_value(record: Record, fields: dict, name: str) -> Record:
    sort = record.key if name == "key" else fields.get(name, "")
    return Record(record.key, sort, record.fields)


def _is_after_cursor(record: Record, search: Search) -> bool:
    position, cursor = (record.sort, record.key), (search.after.sort, search.after.key)
    return position < cursor if search.descending else position > cursor


def _count_facet(matches: list, name: str) -> dict[str, int]:
    counts: dict[str, int] = {}
    for _record, fields in matches:
        value = str(fields.get(name))
        counts[value] = counts.get(value, 0) + 1
    return counts
