"""What the sub-queries of a query, and the runs of an entry, have in common."""

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
    """What all sub-queries of one query have in common."""

    request_id: str
    service: str
    collection: str
    query_class: str
    tenant: str
    search: Search
    repeatable: bool
    fingerprint: str
    configuration_version: int


class QueryRunContext:
    """What the runs of one entry share."""

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
