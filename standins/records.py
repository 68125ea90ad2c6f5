"""Generated records of the stand-in backend servers."""

from __future__ import annotations

import functools
import random

import msgspec

from fighinge.messages import Record, Search, ShardResult
from fighinge.model import Snapshot

CITIES = ("San Antonio", "Austin", "Laredo", "Almaty", "Astana")
RECORDS_PER_SHARD = 40


def shard_names(count: int) -> list[str]:
    """Return the names of the shards of a generated collection."""
    return [f"s{number:04d}" for number in range(count)]


def shard_map(count: int, replicas_of) -> dict:
    """Return the shards of a snapshot as the configuration document has them.

    :param replicas_of: function from a shard's number to the names of its replicas
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
def generate(shard: str, from_key: str, index_version: int) -> tuple[Record, ...]:
    """Return the records of a shard; some values differ between index versions."""
    prefix = from_key or "0000"
    source = random.Random(f"{shard}/{index_version}")
    return tuple(
        Record(
            key=f"{prefix}-{number:05d}",
            sort=f"{prefix}-{number:05d}",
            fields=msgspec.Raw(
                msgspec.json.encode(
                    {"city": source.choice(CITIES), "version": index_version, "number": number}
                )
            ),
        )
        for number in range(RECORDS_PER_SHARD)
    )


def search_shard(
    shard: str, snapshot: Snapshot, search: Search, misplaced_records: int = 0
) -> ShardResult:
    """Return a shard's answer to a search; the filter is a mapping of field to value.

    :param misplaced_records: records of the next shard that this one still holds as well
    """
    key = (shard, snapshot.shards[shard].from_key, snapshot.index_version)
    part = _search(*key, msgspec.json.encode(search))
    records = list(part.records)
    if misplaced_records:
        records.extend(_misplaced(shard, snapshot)[:misplaced_records])
    return ShardResult(shard, snapshot.index_version, records, part.total, part.facets)


@functools.lru_cache(maxsize=4096)
def _search(shard: str, from_key: str, index_version: int, raw_search: bytes) -> ShardResult:
    search = msgspec.json.decode(raw_search, type=Search)
    wanted = msgspec.json.decode(search.filter)
    wanted = wanted if isinstance(wanted, dict) else {}
    rows = [
        (record, fields)
        for record, fields in _rows(shard, from_key, index_version)
        if all(fields.get(name) == value for name, value in wanted.items())
    ]
    facets = {name: _count(rows, name) for name in search.facets}
    found = [_sorted_by(record, fields, search.sort) for record, fields in rows]
    found.sort(key=lambda record: (record.sort, record.key), reverse=search.descending)
    if search.after is not None:
        found = [record for record in found if _is_after(record, search)]
    return ShardResult(shard, index_version, found[: search.limit], len(rows), facets)


@functools.lru_cache(maxsize=4096)
def _rows(shard: str, from_key: str, index_version: int) -> list[tuple[Record, dict]]:
    records = generate(shard, from_key, index_version)
    return [(record, msgspec.json.decode(record.fields)) for record in records]


def _misplaced(shard: str, snapshot: Snapshot) -> tuple[Record, ...]:
    """Return the records of the shard behind this one, which are not its own."""
    names = list(snapshot.shards)
    neighbour = names[(names.index(shard) + 1) % len(names)]
    return generate(neighbour, snapshot.shards[neighbour].from_key, snapshot.index_version)


def _sorted_by(record: Record, fields: dict, name: str) -> Record:
    sort = record.key if name == "key" else fields.get(name, "")
    return Record(record.key, sort, record.fields)


def _is_after(record: Record, search: Search) -> bool:
    position, last = (record.sort, record.key), (search.after.sort, search.after.key)
    return position < last if search.descending else position > last


def _count(rows: list, name: str) -> dict[str, int]:
    counts: dict[str, int] = {}
    for _record, fields in rows:
        value = str(fields.get(name))
        counts[value] = counts.get(value, 0) + 1
    return counts
