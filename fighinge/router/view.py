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
FRESH_S = 3.5  # a silent watch is noticed by its keep-alive probes within 3 s


class Topic(enum.Enum):
    """Which part of the view a source feeds."""

    CONFIGURATION = "configuration"
    BACKENDS = "backends"


class _Contact:
    """When a source last answered, and since when it does again."""

    __slots__ = ("answered_s", "lost_s", "regained_s")

    def __init__(self) -> None:
        self.answered_s = float("-inf")
        self.lost_s: float | None = None
        self.regained_s = float("-inf")


class View:
    """Takes changes from a source; a configuration version is never replaced by an older one."""

    __slots__ = (
        "_contacts",
        "_held",
        "_listeners",
        "_log",
        "backends",
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
        self._log = log

    @property
    def version(self) -> int:
        """Return the configuration version in force, 0 before the first."""
        return self.table.version if self.table else 0

    def listen(self, listener: Callable[[float], None]) -> None:
        """Call a listener with the present time after each change."""
        self._listeners.append(listener)

    def is_fresh(self, topic: Topic, now_s: float) -> bool:
        """Return whether the source of a topic is in contact, so that silence means no change."""
        contact = self._contacts[topic]
        return contact.lost_s is None and contact.answered_s > float("-inf")

    def age_s(self, topic: Topic, now_s: float) -> float:
        """Return how long ago the source of a topic last answered."""
        return now_s - self._contacts[topic].answered_s

    def answered(self, topic: Topic, now_s: float) -> None:
        """Note that the source of a topic answers."""
        contact = self._contacts[topic]
        contact.answered_s = now_s
        if contact.lost_s is not None:
            self._log.write(
                "source regained", topic=topic.value, silent_s=round(now_s - contact.lost_s, 3)
            )
            contact.lost_s = None
            contact.regained_s = now_s

    def lost(self, topic: Topic, reason: str, now_s: float) -> None:
        """Note that the source of a topic does not answer."""
        contact = self._contacts[topic]
        if contact.lost_s is None:
            contact.lost_s = now_s
            self._log.write(
                "source lost",
                topic=topic.value,
                reason=reason,
                age_s=round(min(now_s - contact.answered_s, 1e6), 3),
                version=self.version,
            )

    def replace(self, topic: Topic, changes: Iterable[Change], now_s: float) -> None:
        """Take everything that is published of a topic."""
        changes = list(changes)
        if topic is Topic.CONFIGURATION:
            listed = {change.zone for change in changes if isinstance(change, ZoneEvacuated)}
            gone: list[Change] = [ZoneReturned(zone) for zone in self.zones_out - listed]
        else:
            present = {
                change.entry.instance_id for change in changes if isinstance(change, BackendListed)
            }
            gone = [BackendUnlisted(name) for name in self.backends.keys() - present]
        self.take(topic, [*changes, *gone], now_s)

    def take(self, topic: Topic, changes: Iterable[Change], now_s: float) -> None:
        """Take changes in the order in which they were made."""
        changed = False
        for change in changes:
            changed = self._apply(topic, change, now_s) or changed
        if changed:
            self._tell(now_s)

    def expire(self, now_s: float) -> None:
        """Drop backend servers whose entries were not written again after an outage."""
        due = [name for name, until_s in self._held.items() if until_s <= now_s]
        for name in due:
            del self._held[name]
            self._drop(name, "unlisted, held after an outage")
        if due:
            self._tell(now_s)

    def _tell(self, now_s: float) -> None:
        for listener in self._listeners:
            listener(now_s)

    def _apply(self, topic: Topic, change: Change, now_s: float) -> bool:
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
                self._log.write("published value unreadable", key=key, reason=reason)
        return False

    def _put_in_force(self, table: RoutingTable) -> bool:
        if table.version <= self.version:
            return False
        self._log.write(
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
            self._log.write(
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
            self._drop(name, "unlisted")
            return True
        self._held.setdefault(name, max(held_until_s, now_s + RELIST_HOLD_S))
        return False

    def _drop(self, name: str, cause: str) -> None:
        entry = self.backends.pop(name, None)
        if entry is not None:
            self._log.write("backend server gone", backend=name, service=entry.service, cause=cause)

    def _set_zone(self, zone: str, *, is_out: bool) -> bool:
        if (zone in self.zones_out) == is_out:
            return False
        (self.zones_out.add if is_out else self.zones_out.discard)(zone)
        self._log.write("zone", zone=zone, out_of_service=is_out)
        return True
