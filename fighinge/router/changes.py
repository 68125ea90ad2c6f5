"""What a router learns from a source of configuration and backend servers."""

from __future__ import annotations

from typing import Protocol

import msgspec

from fighinge.errors import Failure
from fighinge.router.model import BackendEntry, RoutingTable


class TablePublished(msgspec.Struct, frozen=True, tag=True):
    """A version of the configuration was published."""

    table: RoutingTable


class BackendListed(msgspec.Struct, frozen=True, tag=True):
    """A backend server's entry was written."""

    entry: BackendEntry


class BackendUnlisted(msgspec.Struct, frozen=True, tag=True):
    """A backend server's entry was removed, or can no longer be read as one."""

    instance_id: str


class ZoneEvacuated(msgspec.Struct, frozen=True, tag=True):
    """Operators took a data centre out of service."""

    zone: str


class ZoneReturned(msgspec.Struct, frozen=True, tag=True):
    """Operators took a data centre back into service."""

    zone: str


class Unreadable(msgspec.Struct, frozen=True, tag=True):
    """A published value that cannot be used, and why."""

    key: str
    reason: str


Change = (
    TablePublished | BackendListed | BackendUnlisted | ZoneEvacuated | ZoneReturned | Unreadable
)


class Snapshot(msgspec.Struct, frozen=True):
    """Everything that is published, as of a revision; the last change may be older."""

    revision: int
    changes: tuple[Change, ...]
    last_change: int = 0


class Changes(msgspec.Struct, frozen=True):
    """What changed up to a revision; ``last_change`` is 0 where nothing did."""

    revision: int
    changes: tuple[Change, ...]
    last_change: int = 0


class HistoryLost(msgspec.Struct, frozen=True):
    """A sentinel: changes since the asked revision are no longer known; read everything anew."""

    reason: str


class ViewSource(Protocol):
    """Publishes the configuration, backend servers and evacuated data centres."""

    async def read_all(self) -> Snapshot | Failure:
        """Return everything that is published now."""

    async def watch(self, after_revision: int, wait_s: float) -> Changes | HistoryLost | Failure:
        """Return what changed after a revision, as soon as anything did.

        :param wait_s: time after which the answer may hold no change
        """
