"""Changes that a source of configuration and backend servers publishes."""

from __future__ import annotations

from typing import Protocol

import msgspec

from fighinge.errors import Failure
from fighinge.router.model import BackendRecord, RoutingTable


class TablePublished(msgspec.Struct, frozen=True, tag=True):
    """A version of the configuration was published."""

    table: RoutingTable


class BackendListed(msgspec.Struct, frozen=True, tag=True):
    """A backend server's record was added or updated."""

    record: BackendRecord = msgspec.field(name="entry")


class BackendUnlisted(msgspec.Struct, frozen=True, tag=True):
    """A backend server's record was removed or is no longer valid.

    ``reason`` tells why a published record is invalid; it is empty if the record was removed.
    """

    instance_id: str
    reason: str = ""


class ZoneEvacuated(msgspec.Struct, frozen=True, tag=True):
    """Operators took a data centre out of service."""

    zone: str


class ZoneReturned(msgspec.Struct, frozen=True, tag=True):
    """Operators took a data centre back into service."""

    zone: str


class Unreadable(msgspec.Struct, frozen=True, tag=True):
    """A published value could not be decoded."""

    key: str
    reason: str


Change = (
    TablePublished | BackendListed | BackendUnlisted | ZoneEvacuated | ZoneReturned | Unreadable
)


class Snapshot(msgspec.Struct, frozen=True):
    """Everything that is published as of a revision, see :mod:`fighinge.router.revisions`.

    ``last_change`` is the revision of the latest change, which may be lower than ``revision``.
    """

    revision: int
    changes: tuple[Change, ...]
    last_change: int = 0


class Changes(msgspec.Struct, frozen=True):
    """Changes up to a revision; ``last_change`` is 0 if there are none."""

    revision: int
    changes: tuple[Change, ...]
    last_change: int = 0


class HistoryLost(msgspec.Struct, frozen=True):
    """Returned if the source no longer has the requested changes; a full read has to follow.

    ``is_restored`` says that the source has come back from an older copy.
    """

    reason: str
    is_restored: bool = False


class ViewSource(Protocol):
    """A source that publishes the configuration, backend servers or evacuated data centres."""

    async def read_all(self) -> Snapshot | Failure:
        """Return everything that is currently published."""

    async def watch(self, after_revision: int, wait_s: float) -> Changes | HistoryLost | Failure:
        """Return the changes after a revision as soon as there are any.

        :param wait_s: time in seconds after which an empty result may be returned
        """
