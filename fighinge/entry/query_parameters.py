"""Values that the sub-queries of one query share, and objects that several query runs share."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from fighinge.messages import Search

if TYPE_CHECKING:
    from collections.abc import Callable

    from fighinge.entry.base import AggregatorLinks
    from fighinge.entry.response_times import ResponseTimes
    from fighinge.entry.sub_query_budget import SubQueryRetryBudget


class QueryParameters(msgspec.Struct, frozen=True, kw_only=True):
    """The fields that are equal in all sub-queries of a query."""

    request_id: str
    service: str
    collection: str
    query_class: str
    tenant: str
    search: Search
    is_idempotent: bool
    fingerprint: str
    configuration_version: int


class QueryRunContext:
    """The objects that a query run shares with other runs of its entry.

    The budget is shared by the runs of one query class, the others by all runs.
    """

    __slots__ = ("budget", "clock", "links", "next_call_number", "response_times")

    def __init__(
        self,
        links: AggregatorLinks,
        next_call_number: Callable[[], int],
        clock: Callable[[], float],
        response_times: ResponseTimes,
        budget: SubQueryRetryBudget,
    ) -> None:
        self.links = links
        self.next_call_number = next_call_number
        self.clock = clock
        self.response_times = response_times
        self.budget = budget
