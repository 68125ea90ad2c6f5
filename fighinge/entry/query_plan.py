"""Query plans: the assignment of a snapshot's replica groups to aggregators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fighinge.groups import GroupMap
from fighinge.messages import GroupShards
from fighinge.ownership import owner_order

if TYPE_CHECKING:
    from collections.abc import Sequence

    from fighinge.model import Document, Snapshot
    from fighinge.ownership import Candidate


class PlannedGroup:
    """The shards of a group and its candidate aggregators in order of ownership."""

    __slots__ = ("group_shards", "owners")

    def __init__(self, group_shards: GroupShards, owners: tuple[str, ...]) -> None:
        self.group_shards = group_shards
        self.owners = owners


class QueryPlan:
    """The planned groups of a snapshot, by name and by owner."""

    __slots__ = ("groups", "groups_by_owner", "snapshot", "unowned_groups")

    def __init__(self, snapshot: Snapshot, groups: dict[str, PlannedGroup]) -> None:
        self.snapshot = snapshot
        self.groups = groups
        self.unowned_groups = [name for name, group in groups.items() if not group.owners]
        groups_by_owner: dict[str, list[GroupShards]] = {}
        for group in groups.values():
            if group.owners:
                groups_by_owner.setdefault(group.owners[0], []).append(group.group_shards)
        self.groups_by_owner = {owner: tuple(owned) for owner, owned in groups_by_owner.items()}


class QueryPlanner:
    """Create plans under one configuration document and cache them until the owners change."""

    __slots__ = ("_candidates", "_document", "_group_map", "_owners", "_plans", "generation")

    def __init__(self, document: Document) -> None:
        self._document = document
        self._group_map = GroupMap.from_document(document)
        self._candidates: list[Candidate] = []
        self._owners: dict[str, tuple[str, ...]] = {}
        self._plans: dict[tuple[str, int], QueryPlan] = {}
        self.generation = 0

    def set_candidates(self, candidates: Sequence[Candidate]) -> None:
        """Set the aggregators that may own groups; a change invalidates all plans."""
        if self._candidates == candidates:
            return
        self._candidates = list(candidates)
        self._owners.clear()
        self._plans.clear()
        self.generation += 1

    def plan(self, collection: str, snapshot: Snapshot) -> QueryPlan:
        """Return the plan for a snapshot of a collection."""
        key = (collection, snapshot.index_version)
        plan = self._plans.get(key)
        if plan is None:
            plan = self._plans[key] = self._create_plan(collection, snapshot)
        return plan

    def _create_plan(self, collection: str, snapshot: Snapshot) -> QueryPlan:
        shards_by_group = self._group_map.shards_by_group(
            self._document, collection, snapshot.index_version
        )
        groups = {
            name: PlannedGroup(GroupShards(name, shards), self._owners_for(name))
            for name, shards in shards_by_group.items()
        }
        return QueryPlan(snapshot, groups)

    def _owners_for(self, group: str) -> tuple[str, ...]:
        owners = self._owners.get(group)
        if owners is None:
            order = owner_order(self._group_map.groups[group], self._document, self._candidates)
            owners = self._owners[group] = tuple(order)
        return owners
