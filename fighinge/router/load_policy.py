"""Which parts of load management apply to the active configuration.

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
    """Tells whether load management is on, by the priorities of the active configuration.

    ``may_balance_shards`` is a setting of the operator: queries then leave out different shards
    while several lack capacity, and are refused if they cannot be in time. It is off by default, as
    fewer callers were answered in time with it on the users' deployments.
    """

    __slots__ = ("_log", "_table", "is_on", "may_balance_shards")

    def __init__(self, log: DecisionLog, *, may_balance_shards: bool = False) -> None:
        self._log = log
        self._table: RoutingTable | None = None
        self.is_on = False
        self.may_balance_shards = may_balance_shards

    @property
    def balances_shards(self) -> bool:
        """Return whether queries leave out different shards while several lack capacity."""
        return self.is_on and self.may_balance_shards

    def update(self, table: RoutingTable | None) -> None:
        """Follow the active routing table, of which there may be none."""
        if table is self._table:
            return
        was_on = self.is_on
        self._table = table
        self.is_on = table is not None and has_highest_priority(table)
        if self.is_on != was_on:
            self._log.write(
                "load management",
                is_on=self.is_on,
                balances_shards=self.balances_shards,
                configuration_version=table.version if table else 0,
            )


def has_highest_priority(table: RoutingTable) -> bool:
    """Return whether a route or a client account of a table has the highest priority."""
    priorities = [route.priority for route in table.routes]
    priorities += [account.priority for account in table.accounts or ()]
    return HIGHEST_PRIORITY in priorities
