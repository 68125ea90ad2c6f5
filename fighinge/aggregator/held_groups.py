"""Which replica groups an aggregator holds, and why."""

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
    """What a process believes of the fleet."""

    def aggregators(self) -> list[Candidate]:
        """Return the aggregators that take new work."""


class HoldReason(enum.Enum):
    """Why a group is held."""

    OWNED = "owned"
    TAKEOVER = "takeover"
    HANDOVER = "handover"


class HeldGroup:
    """Why a group is held and until when."""

    __slots__ = ("reason", "until_s")

    def __init__(self, reason: HoldReason, until_s: float = float("inf")) -> None:
        self.reason = reason
        self.until_s = until_s


class HeldGroups:
    """The groups that an aggregator holds.

    An owned group is held as long as it is owned; one that is owned no more is still served for
    a short time, since entries learn of it at different moments. A group that was taken over is
    held until no entry has asked for it for a while.
    """

    __slots__ = ("_candidates", "_document", "_fleet", "_held", "_name", "_owned")

    def __init__(self, name: str, fleet: FleetView | None) -> None:
        self._name = name
        self._fleet = fleet
        self._held: dict[str, HeldGroup] = {}
        self._document: Document | None = None
        self._candidates: list[Candidate] = []
        self._owned: frozenset[str] = frozenset()

    def __contains__(self, group: str) -> bool:
        return group in self._held

    def reason(self, group: str) -> HoldReason | None:
        """Return why a group is held, or none."""
        held = self._held.get(group)
        return held.reason if held else None

    def accepts(self, group: str, now_s: float, *, takeover: bool) -> bool:
        """Return whether a sub-query for a group is run here; a takeover is taken up."""
        held = self._held.get(group)
        if held is None:
            if not takeover:
                return False
            self._held[group] = HeldGroup(HoldReason.TAKEOVER, now_s + TAKEOVER_S)
        elif held.reason is HoldReason.TAKEOVER:
            held.until_s = now_s + TAKEOVER_S
        elif held.reason is HoldReason.HANDOVER:
            return takeover or now_s < held.until_s
        return True

    def update_ownership(self, group_map: GroupMap, document: Document, now_s: float) -> set[str]:
        """Recompute what is owned and return the groups that came to be owned no more."""
        owned = self._owned_groups(group_map, document)
        for group in owned:
            self._held[group] = HeldGroup(HoldReason.OWNED)
        lost = set()
        for group, held in self._held.items():
            if held.reason is HoldReason.OWNED and group not in owned:
                self._held[group] = HeldGroup(HoldReason.HANDOVER, now_s + HANDOVER_S)
                lost.add(group)
        return lost

    def expired(self, now_s: float) -> list[str]:
        """Return the groups that need not be held any longer."""
        return [name for name, held in self._held.items() if held.until_s <= now_s]

    def remove(self, group: str) -> None:
        """Hold a group no longer."""
        self._held.pop(group, None)

    def names(self) -> list[str]:
        """Return the names of the held groups."""
        return list(self._held)

    def _owned_groups(self, group_map: GroupMap, document: Document) -> frozenset[str]:
        """Return the owned groups, computed anew only where something that decides has changed."""
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
