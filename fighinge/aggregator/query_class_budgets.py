"""Retry budgets of the query classes, for retries and hedges."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fighinge.model import Document

MAX_BALANCE_CALLS = 50.0


class ClassRetryBudget:
    """A token bucket that first calls refill and extra calls (retries and hedges) drain.

    It starts empty and its balance is bounded, so that extra calls never exceed the configured
    ratio to first calls, even if every call fails.
    """

    __slots__ = ("_balance_calls", "extra_calls", "first_calls", "ratio")

    def __init__(self, ratio: float) -> None:
        self.ratio = ratio
        self.first_calls = 0
        self.extra_calls = 0
        self._balance_calls = 0.0

    def earn(self) -> None:
        """Add the tokens that a first call earns."""
        self.first_calls += 1
        self._balance_calls = min(MAX_BALANCE_CALLS, self._balance_calls + self.ratio)

    def spend(self) -> bool:
        """Take a token for an extra call and return whether there was one."""
        if self._balance_calls < 1.0:
            return False
        self._balance_calls -= 1.0
        self.extra_calls += 1
        return True


class ClassRetryBudgets:
    """The retry budget of each query class, shared by all groups of a process."""

    __slots__ = ("_budgets",)

    def __init__(self) -> None:
        self._budgets: dict[str, ClassRetryBudget] = {}

    def configure(self, document: Document) -> None:
        """Apply the configured ratios; the balances stay."""
        for name, query_class in document.classes.items():
            self.for_class(name).ratio = query_class.extra_load_share

    def for_class(self, query_class: str) -> ClassRetryBudget:
        """Return the budget of a class."""
        budget = self._budgets.get(query_class)
        if budget is None:
            budget = self._budgets[query_class] = ClassRetryBudget(0.0)
        return budget
