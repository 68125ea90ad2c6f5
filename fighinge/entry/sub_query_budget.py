"""Retry budget of an entry for owner timeouts and replanned queries."""

from __future__ import annotations

MAX_BURST_QUERIES = 10


class SubQueryRetryBudget:
    """A token bucket that queries fill in proportion to their groups.

    Each group that is requested again after an owner timeout or on another snapshot costs one
    token. Retries after refusals and lost links are free.
    """

    __slots__ = ("_tokens",)

    def __init__(self) -> None:
        self._tokens: float | None = None

    def earn(self, group_count: int, fraction: float) -> None:
        """Add a fraction of a query's groups, up to ``MAX_BURST_QUERIES`` whole queries.

        A new budget allows one whole query.

        :param group_count: number of groups of the query
        :param fraction: fraction of them that is added
        """
        if self._tokens is None:
            self._tokens = float(group_count)
        self._tokens = max(
            self._tokens,
            min(self._tokens + group_count * fraction, MAX_BURST_QUERIES * group_count),
        )

    def spend(self, group_count: int) -> bool:
        """Spend one token for each of the groups to request again.

        :returns: ``False``, with nothing spent, if the budget has too few
        """
        if self._tokens is None or self._tokens < group_count:
            return False
        self._tokens -= group_count
        return True
