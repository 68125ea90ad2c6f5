"""The status and metrics of a process, served to operators over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import prometheus_client
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from fighinge.facts import FactKind
from fighinge.groups import GroupMap
from fighinge.membership.member import Role
from fighinge.ownership import owner_order, zone_in_service

if TYPE_CHECKING:
    from collections.abc import Callable

    from fighinge.configuration.store import ConfigurationStore
    from fighinge.facts import FactBoard
    from fighinge.membership.fleet import Fleet
    from fighinge.membership.service import Membership

IDLE_TIMEOUT_S = 10.0


class MemberStatus(msgspec.Struct):
    """The state of a member as known to a process."""

    name: str
    zone: str
    state: str
    incarnation: int
    leaving: bool
    overloaded: bool


class ZoneStatus(msgspec.Struct):
    """The state of a data centre as known to a process; ``share`` grows to 1 in its ramp-up."""

    in_service: bool
    share: float


class ProcessStatus(msgspec.Struct, kw_only=True):
    """What a process reports of itself and knows of the fleet."""

    name: str
    zone: str
    incarnation: int
    leaving: bool
    configuration_version: int
    configuration_digest: str
    configuration_confirmed: bool
    members: list[MemberStatus]
    zones: dict[str, ZoneStatus]
    groups_owned: list[str]
    cold: list[str]
    quarantined: list[str]
    ignored_datagrams: dict[str, int]
    sent_datagrams: int
    sent_bytes: int


class StatusSource:
    """Collects the status of a process."""

    __slots__ = ("_board", "_clock", "_fleet", "_list_cold", "_membership", "_store")

    def __init__(
        self,
        membership: Membership,
        store: ConfigurationStore,
        board: FactBoard,
        fleet: Fleet,
        clock: Callable[[], float],
    ) -> None:
        self._membership = membership
        self._store = store
        self._board = board
        self._fleet = fleet
        self._clock = clock
        self._list_cold: Callable[[], list[str]] = list

    def set_cold_source(self, list_cold: Callable[[], list[str]]) -> None:
        """Set the function that lists the cold backend servers of this aggregator."""
        self._list_cold = list_cold

    def status(self) -> ProcessStatus:
        """Return the current status."""
        table = self._membership.table
        return ProcessStatus(
            name=table.local_member.name,
            zone=table.local_member.zone,
            incarnation=table.local_member.incarnation,
            leaving=table.local_member.leaving,
            configuration_version=self._store.version,
            configuration_digest=self._store.digest.hex(),
            configuration_confirmed=self._membership.sync.confirmed,
            members=[
                MemberStatus(
                    member.name,
                    member.zone,
                    member.state.name.lower(),
                    member.incarnation,
                    member.leaving,
                    member.overloaded,
                )
                for member in sorted(table.members(), key=lambda member: member.name)
            ],
            zones=self._zones(),
            groups_owned=self._groups_owned(),
            cold=sorted(self._list_cold()),
            quarantined=self._quarantined(),
            ignored_datagrams=dict(self._membership.ignored),
            sent_datagrams=self._membership.sent_datagrams,
            sent_bytes=self._membership.sent_bytes,
        )

    def _zones(self) -> dict[str, ZoneStatus]:
        if self._store.active is None:
            return {}
        document = self._store.active.document
        statuses = {}
        for zone in document.zones:
            in_service = zone_in_service(document, zone)
            share = self._fleet.zone_ramp_fraction(zone) if in_service else 0.0
            statuses[zone] = ZoneStatus(in_service, share)
        return statuses

    def _groups_owned(self) -> list[str]:
        local_member = self._membership.table.local_member
        if self._store.active is None or local_member.role is not Role.AGGREGATOR:
            return []
        document, candidates = self._store.active.document, self._fleet.aggregators()
        return sorted(
            group.name
            for group in GroupMap.from_document(document).groups.values()
            if owner_order(group, document, candidates)[:1] == [local_member.host]
        )

    def _quarantined(self) -> list[str]:
        facts = self._board.current(self._clock())
        return sorted({fact.key for fact in facts if fact.kind is FactKind.QUARANTINE})


class StatusHandler(RequestHandler):
    """Handles ``GET /v1/status``."""

    def initialize(self, source: StatusSource) -> None:
        """Initialise the handler with the arguments of its route."""
        self._source = source

    def get(self) -> None:
        """Write the status of the process as JSON."""
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(self._source.status()))


class MetricsHandler(RequestHandler):
    """Handles ``GET /metrics`` in the text format of Prometheus."""

    def get(self) -> None:
        """Write the metrics of the process."""
        self.set_header("Content-Type", prometheus_client.CONTENT_TYPE_LATEST)
        self.finish(prometheus_client.generate_latest())


def create_status_server(source: StatusSource) -> HTTPServer:
    """Return the HTTP server for status and metrics, which does not listen yet."""
    application = Application(
        [(r"/v1/status", StatusHandler, {"source": source}), (r"/metrics", MetricsHandler)],
        log_function=lambda _handler: None,
    )
    return HTTPServer(application, idle_connection_timeout=IDLE_TIMEOUT_S)
