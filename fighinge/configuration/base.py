"""The interfaces of the operators' platform: published values and the host list."""

from __future__ import annotations

from typing import Protocol

import msgspec

from fighinge.errors import Failure


class Values(msgspec.Struct, frozen=True):
    """Published values by key, as of one revision of the platform."""

    revision: int
    values: dict[str, msgspec.Raw]


class ListedHost(msgspec.Struct, frozen=True):
    """A host on the platform's list; ``state`` is ``live`` or ``leaving``."""

    address: str
    zone: str
    state: str = "live"


class ConfigurationService(Protocol):
    """Reads and watches what operators publish."""

    async def read(self, prefix: str, after_revision: int, wait_s: float) -> Values | Failure:
        """Return the values under a prefix that changed after a revision.

        Waits up to ``wait_s`` for a change if there is none.
        """


class HostList(Protocol):
    """Lists live and leaving hosts; the list lags."""

    async def hosts(self) -> list[ListedHost] | Failure:
        """Return the hosts that the platform lists."""
