"""When an answer over many shards is sent: whole, without some shards, or not at all."""

from __future__ import annotations

import enum


class Verdict(enum.Enum):
    """What to do with a query whose shards have partly answered."""

    WAIT = "wait"
    ANSWER = "answer"
    FAIL = "fail"


class CoverageRule:
    """Decides by the share of shards that are in.

    An answer's worth falls with the square of the share, so that waiting for a shard pays until
    the answer loses most of its worth at ``soft_s``. After that an answer goes out as soon as
    enough shards are in. One that can no longer reach the least share fails at once.
    """

    __slots__ = ("_hard_s", "_least", "_soft_s", "_total")

    def __init__(self, total: int, min_coverage: float, soft_s: float, hard_s: float) -> None:
        self._total = total
        self._soft_s = soft_s
        self._hard_s = hard_s
        self._least = max(1, -int(-(min_coverage * total - 1e-9) // 1))

    @property
    def least(self) -> int:
        """Return how many shards an answer needs."""
        return self._least

    def verdict(self, included: int, pending: int, now_s: float) -> Verdict:
        """Return what to do now.

        :param pending: shards that may still answer
        """
        if pending == 0:
            return Verdict.ANSWER if included >= self._least else Verdict.FAIL
        if included + pending < self._least:
            return Verdict.FAIL
        if included >= self._least and now_s >= min(self._soft_s, self._hard_s):
            return Verdict.ANSWER
        return Verdict.WAIT if now_s < self._hard_s else Verdict.FAIL

    def next_s(self, now_s: float) -> float:
        """Return when the verdict may change without a shard's answer."""
        return self._soft_s if now_s < self._soft_s else self._hard_s
