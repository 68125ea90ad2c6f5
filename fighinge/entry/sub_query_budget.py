"""Retry budget of an entry: sub-queries that it may send beyond the first ones."""

from __future__ import annotations

MAX_BURST_QUERIES = 10


class SubQueryRetryBudget:
    """A token bucket that queries fill in proportion to their groups and that retries spend."""

    __slots__ = ("_calls",)

    def __init__(self) -> None:
        self._calls: float | None = None

    def earn(self, calls: int, fraction: float) -> None:
        """Add a fraction of a query's group calls, up to ``MAX_BURST_QUERIES`` whole queries.

        A new budget allows one whole query.

        :param calls: number of groups of the query
        :param fraction: fraction of them that is added
        """
        if self._calls is None:
            self._calls = float(calls)
        self._calls = max(
            self._calls, min(self._calls + calls * fraction, MAX_BURST_QUERIES * calls)
        )

    def spend(self, calls: int) -> bool:
        """Spend calls from the budget.

        :returns: ``False``, with nothing spent, if the budget has too few
        """
        if self._calls is None or self._calls < calls:
            return False
        self._calls -= calls
        return True
