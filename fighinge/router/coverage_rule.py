"""Decides when a scatter-gather query is answered, in full or in part, and when it fails."""

from __future__ import annotations

import enum


class Verdict(enum.Enum):
    """The next step of a query of which some shards have answered."""

    WAIT = "wait"
    ANSWER = "answer"
    FAIL = "fail"


class CoverageRule:
    """Decides by the fraction of shards that have answered.

    The value of an answer falls with the square of that fraction, so waiting for a missing shard
    pays until ``soft_deadline_s``, when the answer loses most of its value. After that, an answer
    is sent as soon as enough shards are included. A query that cannot reach the minimum fails at
    once.
    """

    __slots__ = ("_hard_deadline_s", "_required", "_soft_deadline_s", "_total")

    def __init__(
        self, total: int, min_coverage: float, soft_deadline_s: float, hard_deadline_s: float
    ) -> None:
        self._total = total
        self._soft_deadline_s = soft_deadline_s
        self._hard_deadline_s = hard_deadline_s
        # Rounds up; the subtraction keeps a rounding error of the product from adding a shard.
        self._required = max(1, -int(-(min_coverage * total - 1e-9) // 1))

    @property
    def required(self) -> int:
        """Return the minimum number of shards in an answer."""
        return self._required

    def verdict(self, included: int, pending: int, now_s: float) -> Verdict:
        """Return the next step.

        :param included: number of shards that have answered
        :param pending: number of shards that may still answer
        :param now_s: time on the monotonic clock, in seconds
        """
        if pending == 0:
            return Verdict.ANSWER if included >= self._required else Verdict.FAIL
        if included + pending < self._required:
            return Verdict.FAIL
        if included >= self._required and now_s >= min(
            self._soft_deadline_s, self._hard_deadline_s
        ):
            return Verdict.ANSWER
        return Verdict.WAIT if now_s < self._hard_deadline_s else Verdict.FAIL

    def next_check_s(self, now_s: float) -> float:
        """Return the time at which the verdict may change although no shard has answered."""
        return self._soft_deadline_s if now_s < self._soft_deadline_s else self._hard_deadline_s
