"""Interfaces to the operators' platform: published values and the host list."""

from __future__ import annotations

from typing import Protocol

import msgspec

from fighinge.errors import Failure


class Values(msgspec.Struct, frozen=True):
    """Published values by key at a revision of the platform."""

    revision: int
    values: dict[str, msgspec.Raw]


class ListedHost(msgspec.Struct, frozen=True):
    """A host on the platform's host list; ``state`` is ``live`` or ``leaving``."""

    address: str
    zone: str
    state: str = "live"


class ConfigurationService(Protocol):
    """Interface for reading and watching the values that operators publish."""

    async def read(self, prefix: str, after_revision: int, wait_s: float) -> Values | Failure:
        """Return the values under a prefix that changed after a revision.

        :param wait_s: seconds to wait for a change if there is none
        """


class HostList(Protocol):
    """Interface for reading the host list, which lags behind the state of the hosts."""

    async def hosts(self) -> list[ListedHost] | Failure:
        """Return the live and leaving hosts that the platform lists."""
