"""A router's view of the configuration and the backend servers, and its staleness."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fighinge.router.accounts import AccountIndex
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
from fighinge.router.restored_copy import RemovedRuns
from fighinge.router.revisions import era_of, number_of
from fighinge.router.source_state import SourceState, Topic

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from fighinge.router.model import BackendRecord, RoutingTable

REMOVAL_DELAY_AFTER_OUTAGE_S = 2.5  # servers renew expired records within 2 s of its end


class View:
    """Applies changes from sources; never replaces a configuration version by an older one."""

    __slots__ = (
        "_applied",
        "_change_listeners",
        "_evacuation_end_due_s",
        "_last_change_revisions",
        "_listeners",
        "_removal_due_s",
        "_removed_runs",
        "_revision_listeners",
        "_sources",
        "_watermarks",
        "accounts",
        "backends",
        "evacuated_zones",
        "log",
        "routes",
        "table",
    )

    def __init__(self, log: DecisionLog) -> None:
        self.table: RoutingTable | None = None
        self.routes = RouteIndex(())
        self.accounts = AccountIndex(())
        self.evacuated_zones: set[str] = set()
        self.backends: dict[str, BackendRecord] = {}
        self._removal_due_s: dict[str, float] = {}
        self._evacuation_end_due_s: dict[str, float] = {}
        self._removed_runs = RemovedRuns()
        self._sources = {topic: SourceState() for topic in Topic}
        self._watermarks = dict.fromkeys(Topic, 0)
        self._last_change_revisions = dict.fromkeys(Topic, 0)
        self._revision_listeners: list[Callable[[], None]] = []
        self._listeners: list[Callable[[float], None]] = []
        self._change_listeners: list[Callable[[list[Change]], None]] = []
        self._applied: list[Change] = []
        self.log = log

    @property
    def version(self) -> int:
        """Return the active configuration version, 0 before the first."""
        return self.table.version if self.table else 0

    def add_listener(self, listener: Callable[[float], None]) -> None:
        """Register a listener that is called with the current time after each change."""
        self._listeners.append(listener)

    def add_change_listener(self, listener: Callable[[list[Change]], None]) -> None:
        """Register a listener that is called with the changes that took effect."""
        self._change_listeners.append(listener)

    def add_revision_listener(self, listener: Callable[[], None]) -> None:
        """Register a listener that is called when a topic's last change revision increases."""
        self._revision_listeners.append(listener)

    def watermark(self, topic: Topic) -> int:
        """Return the revision of the source up to which a topic is complete."""
        return self._watermarks[topic]

    def last_change_revision(self, topic: Topic) -> int:
        """Return the revision of the last change of a topic."""
        return self._last_change_revisions[topic]

    def advance(self, topic: Topic, watermark: int, last_change_revision: int) -> None:
        """Raise the watermark and the last change revision of a topic."""
        self._watermarks[topic] = max(self._watermarks[topic], watermark, last_change_revision)
        if last_change_revision > self._last_change_revisions[topic]:
            self._last_change_revisions[topic] = last_change_revision
            for listener in self._revision_listeners:
                listener()

    def is_source_reachable(self, topic: Topic) -> bool:
        """Return whether this router itself reaches the source of a topic."""
        source = self._sources[topic]
        return source.unreachable_since_s is None and source.last_answer_s > float("-inf")

    def is_fresh(self, topic: Topic) -> bool:
        """Return whether a topic is kept up to date, by its source or by a peer."""
        return self.is_source_reachable(topic) or bool(self._sources[topic].relay_host)

    def source_unreachable_s(self, topic: Topic, now_s: float) -> float:
        """Return for how many seconds the source has not answered, infinite if it never did."""
        source = self._sources[topic]
        if source.unreachable_since_s is not None:
            return now_s - source.unreachable_since_s
        return 0.0 if source.last_answer_s > float("-inf") else float("inf")

    def age_s(self, topic: Topic, now_s: float) -> float:
        """Return the number of seconds since a topic was last known to be complete."""
        source = self._sources[topic]
        return now_s - max(source.last_answer_s, source.relay_answer_s)

    def was_relayed_since(self, topic: Topic, since_s: float) -> bool:
        """Return whether a peer's view of a topic was applied later than at a time."""
        return self._sources[topic].relay_answer_s > since_s

    def record_relay_answer(self, topic: Topic, peer: str, now_s: float) -> None:
        """Record that a peer that reaches the source is followed for a topic."""
        source = self._sources[topic]
        if source.relay_host != peer:
            self.log.write("view relayed", topic=topic.value, peer=peer, version=self.version)
        source.relay_answer_s = now_s
        source.relay_host = peer

    def record_relay_failure(self, topic: Topic, now_s: float) -> None:
        """Record that no peer is followed any more for a topic."""
        source = self._sources[topic]
        self.log.write(
            "relay lost",
            topic=topic.value,
            peer=source.relay_host,
            age_s=round(now_s - source.relay_answer_s, 3),
        )
        source.relay_host = ""

    def record_source_unused(self, topic: Topic, now_s: float) -> None:
        """Record that this router does not read the source of a topic itself."""
        source = self._sources[topic]
        if source.unreachable_since_s is None and source.last_answer_s > float("-inf"):
            source.unreachable_since_s = now_s
            self.log.write("source no longer read", topic=topic.value, version=self.version)

    def record_source_answer(self, topic: Topic, now_s: float) -> None:
        """Record that the source of a topic answered."""
        source = self._sources[topic]
        source.last_answer_s = now_s
        if source.unreachable_since_s is not None:
            self.log.write(
                "source regained",
                topic=topic.value,
                silent_s=round(now_s - source.unreachable_since_s, 3),
            )
            source.unreachable_since_s = None
            known_s = source.answering_since_s
            source.reachable_since_s = now_s if known_s is None else known_s
            source.answering_since_s = None

    def record_missed_changes(self, topic: Topic, since_s: float, now_s: float) -> None:
        """Record that the source withholds changes from this router, which a peer has.

        :param since_s: since when a peer has had them; the source has answered since then
        """
        source = self._sources[topic]
        self.record_source_failure(topic, "a peer has newer changes", now_s)
        source.answering_since_s = since_s

    def record_source_failure(self, topic: Topic, reason: str, now_s: float) -> None:
        """Record that the source of a topic did not answer."""
        source = self._sources[topic]
        source.answering_since_s = None
        if source.unreachable_since_s is None:
            source.unreachable_since_s = now_s
            self.log.write(
                "source lost",
                topic=topic.value,
                reason=reason,
                age_s=round(min(now_s - source.last_answer_s, 1e6), 3),
                version=self.version,
            )

    def replace(
        self,
        topic: Topic,
        changes: Iterable[Change],
        now_s: float,
        *,
        from_peer: bool = False,
        revision: int = 0,
    ) -> None:
        """Replace the content of a topic by everything that is published.

        :param from_peer: whether it comes from a peer that reaches the source; backend servers
            that are missing are then removed at once, although this router's source is unreachable
        :param revision: of what is published; one of a later era shows that the source has come
            back from an older copy, in which recent changes are missing until they are repeated
        """
        changes = list(changes)
        known = self._watermarks[topic]
        is_restored = known > 0 and era_of(revision) > era_of(known)
        if is_restored:
            changes = self._adopt_copy(topic, changes, now_s, era_of(revision))
        if topic is Topic.CONFIGURATION:
            listed = {change.zone for change in changes if isinstance(change, ZoneEvacuated)}
            ended = self.evacuated_zones - listed - self._evacuation_end_due_s.keys()
            removed: list[Change] = [ZoneReturned(zone) for zone in ended]
        else:
            present = {
                change.record.instance_id for change in changes if isinstance(change, BackendListed)
            }
            removed = [BackendUnlisted(name) for name in self.backends.keys() - present]
        self.log.write(
            "view replaced",
            topic=topic.value,
            origin=self._origin(topic, from_peer),
            watermark=number_of(self._watermarks[topic]),
            published=len(changes),
            missing=len(removed),
        )
        self.apply(changes, now_s, from_peer=from_peer)
        self.apply(removed, now_s, from_peer=from_peer and not is_restored)

    def _adopt_copy(
        self, topic: Topic, changes: list[Change], now_s: float, era: int
    ) -> list[Change]:
        """Delay what is missing in an older copy; return its content without removed servers."""
        self.log.write(
            "source restored from a copy",
            topic=topic.value,
            era=era,
            previous_era=era_of(self._watermarks[topic]),
            revision=number_of(self._watermarks[topic]),
        )
        if topic is Topic.CONFIGURATION:
            listed = {change.zone for change in changes if isinstance(change, ZoneEvacuated)}
            due_s = now_s + REMOVAL_DELAY_AFTER_OUTAGE_S
            for zone in self.evacuated_zones - listed:
                self._evacuation_end_due_s.setdefault(zone, due_s)
            return changes
        self._sources[topic].reachable_since_s = now_s
        return [
            change
            for change in changes
            if not (isinstance(change, BackendListed) and change.record in self._removed_runs)
        ]

    def apply(self, changes: Iterable[Change], now_s: float, *, from_peer: bool = False) -> None:
        """Apply changes in their order.

        :param from_peer: whether they come from a peer that reaches the source
        """
        for change in changes:
            if isinstance(change, BackendUnlisted) and change.reason:
                self._log_unreadable(change.instance_id, change.reason)
            if isinstance(change, BackendUnlisted) and from_peer:
                self._drop_backend(change.instance_id, "unlisted by a peer")
            elif isinstance(change, BackendListed):
                self._list_backend(change.record, self._origin(Topic.BACKENDS, from_peer))
            else:
                self._apply_change(change, now_s)
        self._notify_listeners(now_s)

    def expire(self, now_s: float) -> None:
        """Remove servers and evacuations that were not written again after an outage."""
        ended = [zone for zone, due_s in self._evacuation_end_due_s.items() if due_s <= now_s]
        for zone in ended:
            self._set_zone(zone, is_evacuated=False)
        due = [name for name, until_s in self._removal_due_s.items() if until_s <= now_s]
        for name in due:
            self._drop_backend(name, "unlisted, removal delayed after an outage")
        self._notify_listeners(now_s)

    def _notify_listeners(self, now_s: float) -> None:
        """Notify the listeners if any change took effect."""
        if not self._applied:
            return
        applied, self._applied = self._applied, []
        for change_listener in self._change_listeners:
            change_listener(applied)
        for listener in self._listeners:
            listener(now_s)

    def _apply_change(self, change: Change, now_s: float) -> None:
        match change:
            case TablePublished(table):
                self._activate_table(table)
            case BackendUnlisted(name):
                self._unlist_backend(name, now_s)
            case ZoneEvacuated(zone):
                self._set_zone(zone, is_evacuated=True)
            case ZoneReturned(zone):
                self._set_zone(zone, is_evacuated=False)
            case Unreadable(key, reason):
                self._log_unreadable(key, reason)

    def _log_unreadable(self, key: str, reason: str) -> None:
        self.log.write("published value unreadable", key=key, reason=reason)

    def _activate_table(self, table: RoutingTable) -> None:
        if table.version <= self.version:
            return
        self.log.write(
            "configuration in force",
            version=table.version,
            replaced=self.version,
            routes=len(table.routes),
            services=len(table.services),
            accounts=len(table.accounts or ()),
        )
        self.table = table
        self.routes = RouteIndex(table.routes)
        self.accounts = AccountIndex.from_accounts(table.accounts)
        self._applied.append(TablePublished(table))

    def _origin(self, topic: Topic, from_peer: bool) -> str:
        """Return for the log who published changes: the store, or a peer by its address."""
        return (self._sources[topic].relay_host or "peer") if from_peer else "store"

    def _list_backend(self, record: BackendRecord, origin: str) -> None:
        self._removal_due_s.pop(record.instance_id, None)
        self._removed_runs.discard(record)
        known = self.backends.get(record.instance_id)
        if known == record:
            return
        self.backends[record.instance_id] = record
        self._applied.append(BackendListed(record))
        if known is None or known.is_draining != record.is_draining:
            self.log.write(
                "backend server listed",
                origin=origin,
                backend=record.instance_id,
                service=record.service,
                address=f"{record.address.host}:{record.address.port}",
                zone=record.zone,
                draining=record.is_draining,
                cold_left_s=record.cold_left_s,
            )

    def _unlist_backend(self, name: str, now_s: float) -> None:
        if name not in self.backends:
            return
        source = self._sources[Topic.BACKENDS]
        removal_due_s = source.reachable_since_s + REMOVAL_DELAY_AFTER_OUTAGE_S
        if source.unreachable_since_s is None and now_s >= removal_due_s:
            self._drop_backend(name, "unlisted")
            return
        if source.unreachable_since_s is not None:
            removal_due_s = now_s + REMOVAL_DELAY_AFTER_OUTAGE_S
        if name not in self._removal_due_s:
            self._removal_due_s[name] = removal_due_s
            self.log.write(
                "backend server removal delayed",
                backend=name,
                due_in_s=round(removal_due_s - now_s, 3),
            )

    def _drop_backend(self, name: str, cause: str) -> None:
        record = self.backends.pop(name, None)
        if record is None:
            return
        self._removal_due_s.pop(name, None)
        self._removed_runs.add(record)
        self._applied.append(BackendUnlisted(name))
        self.log.write("backend server removed", backend=name, service=record.service, cause=cause)

    def _set_zone(self, zone: str, *, is_evacuated: bool) -> None:
        self._evacuation_end_due_s.pop(zone, None)
        if (zone in self.evacuated_zones) == is_evacuated:
            return
        self._applied.append(ZoneEvacuated(zone) if is_evacuated else ZoneReturned(zone))
        (self.evacuated_zones.add if is_evacuated else self.evacuated_zones.discard)(zone)
        self.log.write("zone evacuation", zone=zone, out_of_service=is_evacuated)
