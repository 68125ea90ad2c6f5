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


class Tenure(enum.Enum):
    """Why a group is held."""

    OWNED = "owned"
    TAKEOVER = "takeover"
    HANDOVER = "handover"


class Holding:
    """One held group's tenure and when it was last needed."""

    __slots__ = ("tenure", "until_s")

    def __init__(self, tenure: Tenure, until_s: float = float("inf")) -> None:
        self.tenure = tenure
        self.until_s = until_s


class Holdings:
    """The groups that an aggregator holds.

    An owned group is held as long as it is owned; one that is owned no more is still served for
    a short time, since entries learn of it at different moments. A group that was taken over is
    held until no entry has asked for it for a while.
    """

    __slots__ = ("_fleet", "_holdings", "_name")

    def __init__(self, name: str, fleet: FleetView | None) -> None:
        self._name = name
        self._fleet = fleet
        self._holdings: dict[str, Holding] = {}

    def __contains__(self, group: str) -> bool:
        return group in self._holdings

    def tenure(self, group: str) -> Tenure | None:
        """Return why a group is held, or none."""
        holding = self._holdings.get(group)
        return holding.tenure if holding else None

    def asked(self, group: str, now_s: float, *, takeover: bool) -> bool:
        """Return whether a sub-query for a group is run here; a takeover is taken up."""
        holding = self._holdings.get(group)
        if holding is None:
            if not takeover:
                return False
            self._holdings[group] = Holding(Tenure.TAKEOVER, now_s + TAKEOVER_S)
        elif holding.tenure is Tenure.TAKEOVER:
            holding.until_s = now_s + TAKEOVER_S
        elif holding.tenure is Tenure.HANDOVER:
            return takeover or now_s < holding.until_s
        return True

    def review(self, group_map: GroupMap, document: Document, now_s: float) -> set[str]:
        """Recompute what is owned and return the groups that came to be owned no more."""
        owned = self._owned(group_map, document)
        for group in owned:
            self._holdings[group] = Holding(Tenure.OWNED)
        left = set()
        for group, holding in self._holdings.items():
            if holding.tenure is Tenure.OWNED and group not in owned:
                self._holdings[group] = Holding(Tenure.HANDOVER, now_s + HANDOVER_S)
                left.add(group)
        return left

    def expired(self, now_s: float) -> list[str]:
        """Return the groups that need not be held any longer."""
        return [name for name, holding in self._holdings.items() if holding.until_s <= now_s]

    def drop(self, group: str) -> None:
        """Hold a group no longer."""
        self._holdings.pop(group, None)

    def names(self) -> list[str]:
        """Return the names of the held groups."""
        return list(self._holdings)

    def _owned(self, group_map: GroupMap, document: Document) -> set[str]:
        if self._fleet is None:
            return set(group_map.groups)
        candidates = self._fleet.aggregators()
        return {
            name
            for name, group in group_map.groups.items()
            if owner_order(group, document, candidates)[:1] == [self._name]
        }
