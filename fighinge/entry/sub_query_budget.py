"""The budget of calls that an entry may add to those that callers asked for."""

from __future__ import annotations

MAX_BURST_QUERIES = 10


class SubQueryRetryBudget:
    """Earns a share of each call that a query needs, and is spent by calls on top of them."""

    __slots__ = ("_calls",)

    def __init__(self) -> None:
        self._calls: float | None = None

    def earn(self, calls: int, share: float) -> None:
        """Add a share of a query's calls, up to the calls of a few whole queries.

        A new budget allows one whole query.
        """
        if self._calls is None:
            self._calls = float(calls)
        self._calls = max(self._calls, min(self._calls + calls * share, MAX_BURST_QUERIES * calls))

    def spend(self, calls: int) -> bool:
        """Take calls from the budget, or return false where it has too few."""
        if self._calls is None or self._calls < calls:
            return False
        self._calls -= calls
        return True
