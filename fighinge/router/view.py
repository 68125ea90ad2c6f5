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

REMOVAL_DELAY_AFTER_OUTAGE_S = 2.5  # entries lapsed in an outage are back within 2 s of its end


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
        "_applied",
        "_change_listeners",
        "_contacts",
        "_held",
        "_known",
        "_last_change",
        "_listeners",
        "_mark_listeners",
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
        self._known = dict.fromkeys(Topic, 0)
        self._last_change = dict.fromkeys(Topic, 0)
        self._mark_listeners: list[Callable[[], None]] = []
        self._listeners: list[Callable[[float], None]] = []
        self._change_listeners: list[Callable[[list[Change]], None]] = []
        self._applied: list[Change] = []
        self.log = log

    @property
    def version(self) -> int:
        """Return the configuration version in force, 0 before the first."""
        return self.table.version if self.table else 0

    def listen(self, listener: Callable[[float], None]) -> None:
        """Call a listener with the present time after each change."""
        self._listeners.append(listener)

    def listen_changes(self, listener: Callable[[list[Change]], None]) -> None:
        """Call a listener with the changes that took effect."""
        self._change_listeners.append(listener)

    def listen_marks(self, listener: Callable[[], None]) -> None:
        """Call a listener whenever the last change of a topic is a later one."""
        self._mark_listeners.append(listener)

    def known(self, topic: Topic) -> int:
        """Return the revision of the source up to which this view is complete."""
        return self._known[topic]

    def last_change(self, topic: Topic) -> int:
        """Return the revision of the last change of a topic."""
        return self._last_change[topic]

    def reached(self, topic: Topic, known: int, last_change: int) -> None:
        """Take up to which revision the view is complete, and when its last change was."""
        self._known[topic] = max(self._known[topic], known, last_change)
        if last_change > self._last_change[topic]:
            self._last_change[topic] = last_change
            for listener in self._mark_listeners:
                listener()

    def is_in_contact(self, topic: Topic) -> bool:
        """Return whether the source of a topic answers this router itself."""
        contact = self._contacts[topic]
        return contact.lost_s is None and contact.answered_s > float("-inf")

    def is_fresh(self, topic: Topic) -> bool:
        """Return whether silence means that nothing changed, by the source or by a peer."""
        return self.is_in_contact(topic) or bool(self._contacts[topic].relay)

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
        """Note that a peer in contact with the source is followed for a topic."""
        contact = self._contacts[topic]
        if contact.relay != peer:
            self.log.write("view relayed", topic=topic.value, peer=peer, version=self.version)
        contact.relayed_s = now_s
        contact.relay = peer

    def relay_lost(self, topic: Topic, now_s: float) -> None:
        """Note that no peer is followed for a topic any longer."""
        contact = self._contacts[topic]
        self.log.write(
            "relay lost",
            topic=topic.value,
            peer=contact.relay,
            age_s=round(now_s - contact.relayed_s, 3),
        )
        contact.relay = ""

    def not_read(self, topic: Topic, now_s: float) -> None:
        """Note that this router does not read the source of a topic itself."""
        contact = self._contacts[topic]
        if contact.lost_s is None and contact.answered_s > float("-inf"):
            contact.lost_s = now_s
            self.log.write("source left to peers", topic=topic.value, version=self.version)

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
        for change in changes:
            if isinstance(change, BackendUnlisted) and from_peer:
                self._drop(change.instance_id, "unlisted, told by a peer")
            else:
                self._apply(change, now_s)
        self._tell(now_s)

    def expire(self, now_s: float) -> None:
        """Drop backend servers whose entries were not written again after an outage."""
        due = [name for name, until_s in self._held.items() if until_s <= now_s]
        for name in due:
            self._drop(name, "unlisted, held after an outage")
        self._tell(now_s)

    def _tell(self, now_s: float) -> None:
        """Tell the listeners of what took effect, if anything did."""
        if not self._applied:
            return
        applied, self._applied = self._applied, []
        for tell_changes in self._change_listeners:
            tell_changes(applied)
        for listener in self._listeners:
            listener(now_s)

    def _apply(self, change: Change, now_s: float) -> None:
        match change:
            case TablePublished(table):
                self._put_in_force(table)
            case BackendListed(entry):
                self._list(entry)
            case BackendUnlisted(name):
                self._unlist(name, now_s)
            case ZoneEvacuated(zone):
                self._set_zone(zone, is_out=True)
            case ZoneReturned(zone):
                self._set_zone(zone, is_out=False)
            case Unreadable(key, reason):
                self.log.write("published value unreadable", key=key, reason=reason)

    def _put_in_force(self, table: RoutingTable) -> None:
        if table.version <= self.version:
            return
        self.log.write(
            "configuration in force",
            version=table.version,
            replaced=self.version,
            routes=len(table.routes),
            services=len(table.services),
        )
        self.table = table
        self.routes = RouteIndex(table.routes)
        self._applied.append(TablePublished(table))

    def _list(self, entry: BackendEntry) -> None:
        self._held.pop(entry.instance_id, None)
        known = self.backends.get(entry.instance_id)
        if known == entry:
            return
        self.backends[entry.instance_id] = entry
        self._applied.append(BackendListed(entry))
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

    def _unlist(self, name: str, now_s: float) -> None:
        if name not in self.backends:
            return
        contact = self._contacts[Topic.BACKENDS]
        held_until_s = contact.regained_s + REMOVAL_DELAY_AFTER_OUTAGE_S
        if contact.lost_s is None and now_s >= held_until_s:
            self._drop(name, "unlisted")
            return
        self._held.setdefault(name, max(held_until_s, now_s + REMOVAL_DELAY_AFTER_OUTAGE_S))

    def _drop(self, name: str, cause: str) -> None:
        entry = self.backends.pop(name, None)
        if entry is None:
            return
        self._held.pop(name, None)
        self._applied.append(BackendUnlisted(name))
        self.log.write("backend server gone", backend=name, service=entry.service, cause=cause)

    def _set_zone(self, zone: str, *, is_out: bool) -> None:
        if (zone in self.zones_out) == is_out:
            return
        self._applied.append(ZoneEvacuated(zone) if is_out else ZoneReturned(zone))
        (self.zones_out.add if is_out else self.zones_out.discard)(zone)
        self.log.write("zone", zone=zone, out_of_service=is_out)
