"""The interfaces of an entry: links to aggregators and who hears from them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from fighinge.messages import GroupOutcome, GroupStatus, SubQuery


class OutcomeListener(Protocol):
    """Hears what became of a sub-query."""

    def on_outcome(self, outcome: GroupOutcome) -> None:
        """Take the outcome of one group."""

    def on_link_lost(self, aggregator: str, *, sent: bool) -> None:
        """Learn that no further outcome comes from an aggregator.

        :param sent: whether the sub-query may have reached the aggregator
        """


class StatusListener(Protocol):
    """Hears what the owners of groups believe of them."""

    def on_group_statuses(self, aggregator: str, statuses: list[GroupStatus]) -> None:
        """Take the statuses that an aggregator announced."""


class AggregatorLink(Protocol):
    """Carries sub-queries to one aggregator."""

    def send(self, sub_query: SubQuery, listener: OutcomeListener) -> None:
        """Send a sub-query; the listener hears of each of its groups."""

    def cancel(self, call: int) -> None:
        """Give a sub-query up; its listener hears nothing more."""


class AggregatorLinks(Protocol):
    """Finds the link to an aggregator by its name."""

    def link(self, aggregator: str) -> AggregatorLink:
        """Return the link, opened if need be."""
