"""Collection and merging of the shard results of one snapshot."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

import msgspec

from fighinge.entry.coverage import build_coverage
from fighinge.errors import ErrorKind
from fighinge.messages import PagePosition, Record, ShardMissing, ShardResult

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fighinge.model import ShardConfig, Snapshot
    from fighinge.queries import Coverage

SortKey = tuple[bool, float | str, str]


class MergedPage(msgspec.Struct):
    """One page of records, with the totals and facets of the merged shards.

    ``next_after`` is the position after which the next page starts, ``None`` without a next page.
    ``counts_exact`` is false if a result held records outside its shard's key range.
    """

    records: list[Record]
    total: int
    facets: dict[str, dict[str, int]]
    counts_exact: bool
    next_after: PagePosition | None


class _AcceptedResult(msgspec.Struct):
    """A shard result without records outside the shard's key range.

    ``watermark`` is the position up to which the result is complete; it is set if records were
    dropped from a full page.
    """

    result: ShardResult
    watermark: PagePosition | None = None
    dropped: int = 0


class ShardResultCollector:
    """Collect one result per shard of a snapshot and compute the coverage.

    Results of other snapshots and of unknown shards are dropped. So are records outside their
    shard's key range, which would be duplicates while a shard is being moved.
    """

    __slots__ = ("_descending", "_limit", "_missing", "_results", "_snapshot")

    def __init__(self, snapshot: Snapshot, limit: int = 0, *, descending: bool = False) -> None:
        self._snapshot = snapshot
        self._limit = limit
        self._descending = descending
        self._results: dict[str, _AcceptedResult] = {}
        self._missing: dict[str, ShardMissing] = {}

    @property
    def included_fraction(self) -> float:
        """Return the fraction of the shards that are included so far."""
        return len(self._results) / len(self._snapshot.shards)

    def add_result(self, result: ShardResult) -> bool:
        """Add a shard result.

        :returns: whether the result was accepted
        """
        shard = self._snapshot.shards.get(result.shard)
        if shard is None or result.shard in self._results:
            return False
        if result.index_version != self._snapshot.index_version:
            reason = f"a backend server answered from index version {result.index_version}"
            self.add_missing(ShardMissing(result.shard, ErrorKind.SNAPSHOT_GONE, reason))
            return False
        self._results[result.shard] = self._filter_records(result, shard)
        self._missing.pop(result.shard, None)
        return True

    def add_missing(self, missing: ShardMissing) -> None:
        """Record why a shard is missing, unless its result was accepted."""
        if missing.shard not in self._results and missing.shard in self._snapshot.shards:
            self._missing[missing.shard] = missing

    def add_unexplained(self, shards: Iterable[str]) -> None:
        """Record shards for which an answer has neither a result nor a reason."""
        for shard in shards:
            if shard not in self._missing:
                reason = "the answer has no result for it"
                self.add_missing(ShardMissing(shard, ErrorKind.BACKEND_FAULT, reason))

    def count_missing(self, kinds: frozenset[ErrorKind]) -> int:
        """Return the number of shards that are missing with one of the given kinds."""
        return sum(missing.kind in kinds for missing in self._missing.values())

    def missing_shards(self) -> list[str]:
        """Return the shards without an accepted result."""
        return [shard for shard in self._snapshot.shards if shard not in self._results]

    def coverage(self) -> Coverage:
        """Return the included and the missing shards."""
        missing = [
            self._missing.get(shard)
            or ShardMissing(shard, ErrorKind.DEADLINE_EXCEEDED, "no answer in time")
            for shard in self.missing_shards()
        ]
        return build_coverage(len(self._snapshot.shards), sorted(self._results), missing)

    def merge(self) -> MergedPage:
        """Merge the results by sort value, then key; each key appears once."""
        facets: dict[str, dict[str, int]] = {}
        total = 0
        for accepted in self._results.values():
            total += accepted.result.total - accepted.dropped
            for facet, counts in accepted.result.facets.items():
                sums = facets.setdefault(facet, {})
                for value, count in counts.items():
                    sums[value] = sums.get(value, 0) + count
        exact = not any(accepted.dropped for accepted in self._results.values())
        records, next_after = self._merge_page()
        return MergedPage(records, total, facets, exact, next_after)

    def _merge_page(self) -> tuple[list[Record], PagePosition | None]:
        """Return the records of the page, and where the next one starts."""
        ordered = heapq.merge(
            *(accepted.result.records for accepted in self._results.values()),
            key=sort_key_of,
            reverse=self._descending,
        )
        watermark = self._watermark()
        records: list[Record] = []
        if self._limit == 0:
            return records, None
        for record in ordered:
            if watermark is not None and self._is_past(record, watermark):
                break
            records.append(record)
            if len(records) == self._limit:
                return records, PagePosition(record.sort, record.key)
        return records, watermark

    def _watermark(self) -> PagePosition | None:
        """Return the first position after which some result may lack records."""
        watermarks = [
            accepted.watermark for accepted in self._results.values() if accepted.watermark
        ]
        if not watermarks:
            return None
        return (
            max(watermarks, key=sort_key_of)
            if self._descending
            else min(watermarks, key=sort_key_of)
        )

    def _is_past(self, record: Record, watermark: PagePosition) -> bool:
        if self._descending:
            return sort_key_of(record) < sort_key_of(watermark)
        return sort_key_of(record) > sort_key_of(watermark)

    def _filter_records(self, result: ShardResult, shard: ShardConfig) -> _AcceptedResult:
        """Drop records outside the shard's key range, and duplicates."""
        received = result.records
        # Merging requires the order of sort_key_of, in which numbers precede strings.
        if len({type(record.sort) for record in received}) > 1:
            received = sorted(received, key=sort_key_of, reverse=self._descending)
        low, high = shard.from_key, shard.to_key
        if high:
            own = {record.key: record for record in received if low <= record.key < high}
        else:
            own = {record.key: record for record in received if low <= record.key}
        dropped = len(received) - len(own)
        result.records = list(own.values()) if dropped else received
        if not dropped or not self._limit or len(received) < self._limit:
            return _AcceptedResult(result, dropped=dropped)
        last = received[-1]
        return _AcceptedResult(result, PagePosition(last.sort, last.key), dropped)


def sort_key_of(item: Record | PagePosition) -> SortKey:
    """Return the sort key of a record or position; numbers sort before strings."""
    return (isinstance(item.sort, str), item.sort, item.key)
