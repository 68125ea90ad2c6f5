"""Merges the parts of an answer that come from one snapshot."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

import msgspec

from fighinge.errors import ErrorKind
from fighinge.messages import Record, ShardMissing, ShardPart
from fighinge.queries import Coverage

if TYPE_CHECKING:
    from fighinge.model import Snapshot

MISSING_SHOWN_IN_SUMMARY = 3


class Merged(msgspec.Struct):
    """The records, totals and facets of the shards that were merged."""

    records: list[Record]
    total: int
    facets: dict[str, dict[str, int]]


class PartCollector:
    """Takes parts of one snapshot, each shard once, and tells what is covered.

    A part of another snapshot or of a shard outside it is dropped. Records outside their
    shard's key range are dropped, so that a shard that is being moved doubles none.
    """

    __slots__ = ("_missing", "_parts", "_snapshot")

    def __init__(self, snapshot: Snapshot) -> None:
        self._snapshot = snapshot
        self._parts: dict[str, ShardPart] = {}
        self._missing: dict[str, ShardMissing] = {}

    def add_part(self, part: ShardPart) -> bool:
        """Take a part and return whether it was of use."""
        if part.index_version != self._snapshot.index_version or part.shard in self._parts:
            return False
        shard = self._snapshot.shards.get(part.shard)
        if shard is None:
            return False
        part.records = [record for record in part.records if shard.covers(record.key)]
        self._parts[part.shard] = part
        self._missing.pop(part.shard, None)
        return True

    def add_missing(self, missing: ShardMissing) -> None:
        """Note why a shard is not included, unless it is."""
        if missing.shard not in self._parts:
            self._missing[missing.shard] = missing

    def shards_left(self) -> list[str]:
        """Return the shards without a part."""
        return [shard for shard in self._snapshot.shards if shard not in self._parts]

    def coverage(self) -> Coverage:
        """Return what was merged and what was not."""
        missing = [
            self._missing.get(shard)
            or ShardMissing(shard, ErrorKind.DEADLINE_EXCEEDED, "no answer in time")
            for shard in self.shards_left()
        ]
        included = sorted(self._parts)
        count = len(self._snapshot.shards)
        return Coverage(
            share=len(included) / count,
            included=included,
            missing=missing,
            summary=_summary(len(included), count, missing),
        )

    def merge(self, limit: int, *, descending: bool) -> Merged:
        """Merge the parts in order of sort value, then key, each key once."""
        facets: dict[str, dict[str, int]] = {}
        total = 0
        for part in self._parts.values():
            total += part.total
            for facet, counts in part.facets.items():
                sums = facets.setdefault(facet, {})
                for value, count in counts.items():
                    sums[value] = sums.get(value, 0) + count
        ordered = heapq.merge(
            *(part.records for part in self._parts.values()), key=_order, reverse=descending
        )
        return Merged(_first_of_each_key(ordered, limit), total, facets)


def _order(record: Record):
    return (record.sort, record.key)


def _first_of_each_key(ordered, limit: int) -> list[Record]:
    seen: set[str] = set()
    records: list[Record] = []
    for record in ordered:
        if len(records) == limit:
            break
        if record.key not in seen:
            seen.add(record.key)
            records.append(record)
    return records


def _summary(included: int, count: int, missing: list[ShardMissing]) -> str:
    if not missing:
        return f"all {count} shards"
    shown = ", ".join(f"{gap.shard} ({gap.reason})" for gap in missing[:MISSING_SHOWN_IN_SUMMARY])
    more = len(missing) - MISSING_SHOWN_IN_SUMMARY
    tail = f" and {more} more" if more > 0 else ""
    return f"{included} of {count} shards; not included: {shown}{tail}"
