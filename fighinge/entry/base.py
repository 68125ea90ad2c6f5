"""Interfaces between an entry's query runs and its links to aggregators."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from fighinge.messages import GroupOutcome, GroupStatus, SubQuery


class OutcomeListener(Protocol):
    """Receive the results of a sub-query."""

    def on_outcome(self, outcome: GroupOutcome) -> None:
        """Handle the outcome of one replica group."""

    def on_link_lost(self, aggregator: str, *, sent: bool) -> None:
        """Handle the loss of the link; no further outcome follows.

        :param sent: whether the sub-query may have reached the aggregator
        """


class StatusListener(Protocol):
    """Receive the status announcements of group owners."""

    def on_group_statuses(self, aggregator: str, statuses: list[GroupStatus]) -> None:
        """Handle the statuses that an aggregator announced."""


class AggregatorLink(Protocol):
    """Carry sub-queries to one aggregator."""

    def send(self, sub_query: SubQuery, listener: OutcomeListener) -> None:
        """Send a sub-query; the listener receives one outcome for each of its groups."""

    def cancel(self, call: int) -> None:
        """Cancel a sub-query; its listener is not called any more."""


class AggregatorLinks(Protocol):
    """Map aggregators to links."""

    def link(self, aggregator: str) -> AggregatorLink:
        """Return the link to an aggregator, opening it if needed."""
