"""The replica groups that an aggregator serves, and why."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Protocol

from fighinge.ownership import owner_order

if TYPE_CHECKING:
    from fighinge.groups import GroupMap
    from fighinge.model import Document
    from fighinge.ownership import Candidate

HANDOVER_S = 3.0
TAKEOVER_S = 10.0


class FleetView(Protocol):
    """The view of the fleet that ownership is computed from."""

    def aggregators(self) -> list[Candidate]:
        """Return the aggregators that accept new work."""


class ServingReason(enum.Enum):
    """Why an aggregator serves a group."""

    OWNED = "owned"
    TAKEOVER = "takeover"
    HANDOVER = "handover"


class ServedGroup:
    """Why a group is served, and until when."""

    __slots__ = ("reason", "until_s")

    def __init__(self, reason: ServingReason, until_s: float = float("inf")) -> None:
        self.reason = reason
        self.until_s = until_s


class ServedGroups:
    """The groups that an aggregator serves.

    An owned group is served while it is owned, and for ``HANDOVER_S`` afterwards, since entries
    learn of the new owner at different times. A group that was taken over is served until no entry
    has sent a sub-query for it for ``TAKEOVER_S``.
    """

    __slots__ = ("_candidates", "_document", "_fleet", "_name", "_owned", "_served")

    def __init__(self, name: str, fleet: FleetView | None) -> None:
        self._name = name
        self._fleet = fleet
        self._served: dict[str, ServedGroup] = {}
        self._document: Document | None = None
        self._candidates: list[Candidate] = []
        self._owned: frozenset[str] = frozenset()

    def __contains__(self, group: str) -> bool:
        return group in self._served

    def reason(self, group: str) -> ServingReason | None:
        """Return why a group is served, or none."""
        served = self._served.get(group)
        return served.reason if served else None

    def accepts(self, group: str, now_s: float, *, takeover: bool) -> bool:
        """Return whether a sub-query for a group may run here; a takeover adds the group."""
        served = self._served.get(group)
        if served is None:
            if not takeover:
                return False
            self._served[group] = ServedGroup(ServingReason.TAKEOVER, now_s + TAKEOVER_S)
        elif served.reason is ServingReason.TAKEOVER:
            served.until_s = now_s + TAKEOVER_S
        elif served.reason is ServingReason.HANDOVER:
            return takeover or now_s < served.until_s
        return True

    def update_ownership(self, group_map: GroupMap, document: Document, now_s: float) -> set[str]:
        """Recompute the owned groups and return those whose ownership was lost."""
        owned = self._owned_groups(group_map, document)
        for group in owned:
            self._served[group] = ServedGroup(ServingReason.OWNED)
        lost = set()
        for group, served in self._served.items():
            if served.reason is ServingReason.OWNED and group not in owned:
                self._served[group] = ServedGroup(ServingReason.HANDOVER, now_s + HANDOVER_S)
                lost.add(group)
        return lost

    def expired(self, now_s: float) -> list[str]:
        """Return the groups whose handover or takeover has expired."""
        return [name for name, served in self._served.items() if served.until_s <= now_s]

    def remove(self, group: str) -> None:
        """Stop serving a group."""
        self._served.pop(group, None)

    def names(self) -> list[str]:
        """Return the names of the served groups."""
        return list(self._served)

    def _owned_groups(self, group_map: GroupMap, document: Document) -> frozenset[str]:
        """Return the owned groups; recompute them only after a change of the inputs."""
        if self._fleet is None:
            return frozenset(group_map.groups)
        candidates = self._fleet.aggregators()
        if document is not self._document or candidates != self._candidates:
            self._document, self._candidates = document, candidates
            self._owned = frozenset(
                name
                for name, group in group_map.groups.items()
                if owner_order(group, document, candidates)[:1] == [self._name]
            )
        return self._owned
