"""Choice of the snapshot that a query is pinned to."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable, Container, Sequence

    from fighinge.entry.query_plan import PlannedGroup, QueryPlanner
    from fighinge.messages import GroupStatus
    from fighinge.model import Collection, Snapshot

STATUS_TTL_S = 150.0  # statuses are repeated every 60 s
CHOICE_TTL_S = 0.25


class _ReceivedStatus(msgspec.Struct):
    """A status and the clock time of its arrival."""

    status: GroupStatus
    received_s: float


class _CachedChoice(msgspec.Struct):
    """A chosen snapshot, and the state under which the choice is valid."""

    snapshot: Snapshot
    planner: QueryPlanner
    generation: int
    revision: int
    expires_s: float


class SnapshotChooser:
    """Store the statuses of group owners and choose the snapshots with the best coverage.

    A status expires ``STATUS_TTL_S`` after its arrival. If several aggregators announce a group,
    the status of the first in the order of ownership counts.
    """

    __slots__ = ("_choices", "_clock", "_received", "_revision")

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._received: dict[str, dict[str, _ReceivedStatus]] = {}
        self._choices: dict[str, _CachedChoice] = {}
        self._revision = 0

    def on_group_statuses(self, aggregator: str, statuses: list[GroupStatus]) -> None:
        """Handle the statuses that an aggregator announced."""
        now_s = self._clock()
        for status in statuses:
            by_aggregator = self._received.setdefault(status.group, {})
            known = by_aggregator.get(aggregator)
            if known is None or known.status != status:
                self._revision += 1
            by_aggregator[aggregator] = _ReceivedStatus(status, now_s)

    def remove_expired(self, now_s: float) -> None:
        """Remove expired statuses."""
        for group, by_aggregator in list(self._received.items()):
            fresh = {
                name: known for name, known in by_aggregator.items() if _is_fresh(known, now_s)
            }
            if fresh:
                self._received[group] = fresh
            else:
                del self._received[group]

    def choose(
        self, name: str, collection: Collection, planner: QueryPlanner, now_s: float
    ) -> Snapshot:
        """Return the snapshot that a new query of a collection is pinned to.

        This is the newest snapshot of which every shard is served or, if there is none, the one
        with the most shards served. Operators may pin a version or set a minimum version.
        """
        known = self._choices.get(name)
        if (
            known is not None
            and known.planner is planner
            and known.generation == planner.generation
            and known.revision == self._revision
            and now_s < known.expires_s
        ):
            return known.snapshot
        self.remove_expired(now_s)
        snapshot = self._select_best(name, allowed_snapshots(collection), planner, now_s)
        self._choices[name] = _CachedChoice(
            snapshot, planner, planner.generation, self._revision, now_s + CHOICE_TTL_S
        )
        return snapshot

    def choose_other(
        self,
        name: str,
        collection: Collection,
        planner: QueryPlanner,
        tried: Container[int],
        now_s: float,
    ) -> Snapshot | None:
        """Return the best snapshot except those in ``tried``, or ``None``."""
        others = [
            snapshot
            for snapshot in allowed_snapshots(collection)
            if snapshot.index_version not in tried
        ]
        if not others:
            return None
        return self._select_best(name, others, planner, now_s)

    def served_fraction(
        self, name: str, snapshot: Snapshot, planner: QueryPlanner, now_s: float
    ) -> float:
        """Return the fraction of a snapshot's shards that a replica serves, by the statuses."""
        plan = planner.plan(name, snapshot)
        served = sum(
            self._served_shards(name, snapshot.index_version, group, now_s)
            for group in plan.groups.values()
        )
        return served / len(snapshot.shards)

    def _select_best(
        self, name: str, snapshots: Sequence[Snapshot], planner: QueryPlanner, now_s: float
    ) -> Snapshot:
        return max(
            snapshots,
            key=lambda snapshot: (
                self.served_fraction(name, snapshot, planner, now_s),
                snapshot.index_version,
            ),
        )

    def _served_shards(
        self, collection: str, index_version: int, group: PlannedGroup, now_s: float
    ) -> int:
        status = self._current_status(group, now_s)
        if status is None or index_version not in status.index_versions.get(collection, ()):
            return 0
        unserved = status.unserved_shards.get(collection, {}).get(index_version, ())
        return sum(shard not in unserved for shard in group.group_shards.shards)

    def _current_status(self, group: PlannedGroup, now_s: float) -> GroupStatus | None:
        """Return the first owner's unexpired status, else the latest one from any aggregator."""
        by_aggregator = self._received.get(group.group_shards.group)
        if not by_aggregator:
            return None
        for owner in group.owners:
            known = by_aggregator.get(owner)
            if known is not None and _is_fresh(known, now_s):
                return known.status
        fresh = [known for known in by_aggregator.values() if _is_fresh(known, now_s)]
        return max(fresh, key=lambda known: known.received_s).status if fresh else None


def allowed_snapshots(collection: Collection) -> list[Snapshot]:
    """Return the snapshots that the configuration allows for new queries, at least one."""
    pinned = collection.pinned_index_version
    if pinned is not None:
        return [s for s in collection.snapshots if s.index_version == pinned]
    lowest = collection.minimum_index_version
    return [s for s in collection.snapshots if s.index_version >= lowest]


def _is_fresh(known: _ReceivedStatus, now_s: float) -> bool:
    return now_s - known.received_s < STATUS_TTL_S
