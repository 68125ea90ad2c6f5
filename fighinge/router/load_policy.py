"""Whether load management applies to the active configuration and its backend servers.

Made for deployments in which callers compete for insufficient capacity; others are served as they
were before load management existed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fighinge.router.decision_log import DecisionLog
    from fighinge.router.model import RoutingTable

HIGHEST_PRIORITY = 0  # only configurations that rank their callers for load management use it


class LoadPolicy:
    """Tells whether load management is on.

    That a backend server has stated its slowness holds for the life of the process, as a server
    that states it once does so in each answer.
    """

    __slots__ = ("_has_highest_priority", "_is_slowness_stated", "_log", "_table")

    def __init__(self, log: DecisionLog) -> None:
        self._log = log
        self._table: RoutingTable | None = None
        self._has_highest_priority = False
        self._is_slowness_stated = False

    @property
    def is_on(self) -> bool:
        """Return whether a priority or the statement of a backend server calls for it."""
        return self._has_highest_priority or self._is_slowness_stated

    def update(self, table: RoutingTable | None) -> None:
        """Follow the active routing table, of which there may be none."""
        if table is self._table:
            return
        was_on = self.is_on
        self._table = table
        self._has_highest_priority = table is not None and has_highest_priority(table)
        self._log_change(was_on, "priorities of the configuration")

    def record_stated_slowness(self) -> None:
        """Record that a backend server has stated its slowness."""
        was_on = self.is_on
        self._is_slowness_stated = True
        self._log_change(was_on, "a backend server states its slowness")

    def _log_change(self, was_on: bool, cause: str) -> None:
        if self.is_on == was_on:
            return
        self._log.write(
            "load management",
            is_on=self.is_on,
            cause=cause,
            configuration_version=self._table.version if self._table else 0,
        )


def has_highest_priority(table: RoutingTable) -> bool:
    """Return whether a route or a client account of a table has the highest priority."""
    priorities = [route.priority for route in table.routes]
    priorities += [account.priority for account in table.accounts or ()]
    return HIGHEST_PRIORITY in priorities
