"""What a router believes of the configuration and of the backend servers, and since when."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from fighinge.router.changes import (
    BackendListed,
    BackendUnlisted,
    Change,
    TablePublished,
    Unreadable,
    ZoneEvacuated,
    ZoneReturned,
)
from fighinge.router.decision_log import DecisionLog
from fighinge.router.model import RouteIndex

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from fighinge.router.model import BackendEntry, RoutingTable

RELIST_HOLD_S = 2.5  # entries lapsed in an outage are back within 2 s of its end
RELAY_VALID_S = 1.5  # a peer in contact is asked three times within this


class Topic(enum.Enum):
    """Which part of the view a source feeds."""

    CONFIGURATION = "configuration"
    BACKENDS = "backends"


class _Contact:
    """When a source last answered, and since when it does again."""

    __slots__ = ("answered_s", "lost_s", "regained_s", "relay", "relayed_s")

    def __init__(self) -> None:
        self.answered_s = float("-inf")
        self.lost_s: float | None = None
        self.regained_s = float("-inf")
        self.relayed_s = float("-inf")
        self.relay = ""


class View:
    """Takes changes from a source; a configuration version is never replaced by an older one."""

    __slots__ = (
        "_contacts",
        "_held",
        "_listeners",
        "backends",
        "log",
        "routes",
        "table",
        "zones_out",
    )

    def __init__(self, log: DecisionLog) -> None:
        self.table: RoutingTable | None = None
        self.routes = RouteIndex(())
        self.zones_out: set[str] = set()
        self.backends: dict[str, BackendEntry] = {}
        self._held: dict[str, float] = {}
        self._contacts = {topic: _Contact() for topic in Topic}
        self._listeners: list[Callable[[float], None]] = []
        self.log = log

    @property
    def version(self) -> int:
        """Return the configuration version in force, 0 before the first."""
        return self.table.version if self.table else 0

    def listen(self, listener: Callable[[float], None]) -> None:
        """Call a listener with the present time after each change."""
        self._listeners.append(listener)

    def is_in_contact(self, topic: Topic) -> bool:
        """Return whether the source of a topic answers this router itself."""
        contact = self._contacts[topic]
        return contact.lost_s is None and contact.answered_s > float("-inf")

    def is_fresh(self, topic: Topic, now_s: float) -> bool:
        """Return whether silence means that nothing changed, by the source or by a peer."""
        relayed_s = self._contacts[topic].relayed_s
        return self.is_in_contact(topic) or now_s - relayed_s < RELAY_VALID_S

    def out_of_contact_s(self, topic: Topic, now_s: float) -> float:
        """Return for how long the source has not answered, infinite if it never has."""
        contact = self._contacts[topic]
        if contact.lost_s is not None:
            return now_s - contact.lost_s
        return 0.0 if contact.answered_s > float("-inf") else float("inf")

    def age_s(self, topic: Topic, now_s: float) -> float:
        """Return how long ago the view of a topic was last known to be complete."""
        contact = self._contacts[topic]
        return now_s - max(contact.answered_s, contact.relayed_s)

    def relayed(self, topic: Topic, peer: str, now_s: float) -> None:
        """Note that a peer in contact with the source has the same view of a topic."""
        contact = self._contacts[topic]
        if now_s - contact.relayed_s >= RELAY_VALID_S or contact.relay != peer:
            self.log.write("view relayed", topic=topic.value, peer=peer, version=self.version)
        contact.relayed_s = now_s
        contact.relay = peer

    def answered(self, topic: Topic, now_s: float) -> None:
        """Note that the source of a topic answers."""
        contact = self._contacts[topic]
        contact.answered_s = now_s
        if contact.lost_s is not None:
            self.log.write(
                "source regained", topic=topic.value, silent_s=round(now_s - contact.lost_s, 3)
            )
            contact.lost_s = None
            contact.regained_s = now_s

    def lost(self, topic: Topic, reason: str, now_s: float) -> None:
        """Note that the source of a topic does not answer."""
        contact = self._contacts[topic]
        if contact.lost_s is None:
            contact.lost_s = now_s
            self.log.write(
                "source lost",
                topic=topic.value,
                reason=reason,
                age_s=round(min(now_s - contact.answered_s, 1e6), 3),
                version=self.version,
            )

    def replace(
        self, topic: Topic, changes: Iterable[Change], now_s: float, *, from_peer: bool = False
    ) -> None:
        """Take everything that is published of a topic.

        :param from_peer: whether a peer tells it that is in contact with the source, so that what
            is missing is gone although this router is out of contact
        """
        changes = list(changes)
        if topic is Topic.CONFIGURATION:
            listed = {change.zone for change in changes if isinstance(change, ZoneEvacuated)}
            gone: list[Change] = [ZoneReturned(zone) for zone in self.zones_out - listed]
        else:
            present = {
                change.entry.instance_id for change in changes if isinstance(change, BackendListed)
            }
            gone = [BackendUnlisted(name) for name in self.backends.keys() - present]
        self.take([*changes, *gone], now_s, from_peer=from_peer)

    def take(self, changes: Iterable[Change], now_s: float, *, from_peer: bool = False) -> None:
        """Take changes in the order in which they were made."""
        changed = False
        for change in changes:
            if isinstance(change, BackendUnlisted) and from_peer:
                changed = self._drop(change.instance_id, "unlisted, told by a peer") or changed
            else:
                changed = self._apply(change, now_s) or changed
        if changed:
            self._tell(now_s)

    def expire(self, now_s: float) -> None:
        """Drop backend servers whose entries were not written again after an outage."""
        due = [name for name, until_s in self._held.items() if until_s <= now_s]
        for name in due:
            self._drop(name, "unlisted, held after an outage")
        if due:
            self._tell(now_s)

    def _tell(self, now_s: float) -> None:
        for listener in self._listeners:
            listener(now_s)

    def _apply(self, change: Change, now_s: float) -> bool:
        match change:
            case TablePublished(table):
                return self._put_in_force(table)
            case BackendListed(entry):
                return self._list(entry)
            case BackendUnlisted(name):
                return self._unlist(name, now_s)
            case ZoneEvacuated(zone):
                return self._set_zone(zone, is_out=True)
            case ZoneReturned(zone):
                return self._set_zone(zone, is_out=False)
            case Unreadable(key, reason):
                self.log.write("published value unreadable", key=key, reason=reason)
        return False

    def _put_in_force(self, table: RoutingTable) -> bool:
        if table.version <= self.version:
            return False
        self.log.write(
            "configuration in force",
            version=table.version,
            replaced=self.version,
            routes=len(table.routes),
            services=len(table.services),
        )
        self.table = table
        self.routes = RouteIndex(table.routes)
        return True

    def _list(self, entry: BackendEntry) -> bool:
        self._held.pop(entry.instance_id, None)
        known = self.backends.get(entry.instance_id)
        if known == entry:
            return False
        self.backends[entry.instance_id] = entry
        if known is None or known.is_draining != entry.is_draining:
            self.log.write(
                "backend server listed",
                backend=entry.instance_id,
                service=entry.service,
                address=f"{entry.address.host}:{entry.address.port}",
                zone=entry.zone,
                draining=entry.is_draining,
                cold_left_s=entry.cold_left_s,
            )
        return True

    def _unlist(self, name: str, now_s: float) -> bool:
        if name not in self.backends:
            return False
        contact = self._contacts[Topic.BACKENDS]
        held_until_s = contact.regained_s + RELIST_HOLD_S
        if contact.lost_s is None and now_s >= held_until_s:
            return self._drop(name, "unlisted")
        self._held.setdefault(name, max(held_until_s, now_s + RELIST_HOLD_S))
        return False

    def _drop(self, name: str, cause: str) -> bool:
        entry = self.backends.pop(name, None)
        if entry is None:
            return False
        self._held.pop(name, None)
        self.log.write("backend server gone", backend=name, service=entry.service, cause=cause)
        return True

    def _set_zone(self, zone: str, *, is_out: bool) -> bool:
        if (zone in self.zones_out) == is_out:
            return False
        (self.zones_out.add if is_out else self.zones_out.discard)(zone)
        self.log.write("zone", zone=zone, out_of_service=is_out)
        return True
