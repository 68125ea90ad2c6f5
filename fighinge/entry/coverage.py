"""Coverage of an answer, and the rule for answers before the deadline with missing shards."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from fighinge.queries import Coverage

if TYPE_CHECKING:
    from fighinge.messages import ShardMissing
    from fighinge.model import Service

MAX_SHARDS_IN_SUMMARY = 3
LATENCY_FIRST_MIN_PROBABILITY = 0.5
LATENCY_FIRST_EXTRA_WAIT_FRACTION = 0.25  # of the time from the start to the soft deadline
COVERAGE_FIRST_MIN_PROBABILITY = 0.05
RECHECK_FRACTION = 0.1  # of the time from the start to the soft deadline


class EarlyAnswerRule(msgspec.Struct, frozen=True):
    """Decide when a query is answered before its deadline with shards missing.

    After the soft deadline, the query waits only while some missing group answers within the
    horizon with a probability of at least ``min_probability``. The horizon is
    ``max_extra_wait_s`` under the rule ``latency_first`` and the time to the deadline under
    ``coverage_first``. ``default_probability`` applies where there are too few samples: 0 under
    ``latency_first`` and 1 under ``coverage_first``.
    """

    soft_deadline_s: float
    deadline_s: float
    max_extra_wait_s: float | None
    min_probability: float
    default_probability: float
    minimum_coverage: float
    recheck_s: float

    @classmethod
    def from_service(
        cls, service: Service, started_s: float, deadline_s: float
    ) -> EarlyAnswerRule | None:
        """Return the rule for a query, or ``None`` if its service has no soft deadline.

        :param started_s: clock time of the start
        :param deadline_s: clock time of the deadline
        """
        if service.soft_deadline_s is None:
            return None
        latency_first = service.rule == "latency_first"
        return cls(
            soft_deadline_s=started_s + service.soft_deadline_s,
            deadline_s=deadline_s,
            max_extra_wait_s=(
                LATENCY_FIRST_EXTRA_WAIT_FRACTION * service.soft_deadline_s
                if latency_first
                else None
            ),
            min_probability=(
                LATENCY_FIRST_MIN_PROBABILITY if latency_first else COVERAGE_FIRST_MIN_PROBABILITY
            ),
            default_probability=0.0 if latency_first else 1.0,
            minimum_coverage=service.minimum_coverage,
            recheck_s=RECHECK_FRACTION * service.soft_deadline_s,
        )

    def horizon_s(self, now_s: float) -> float:
        """Return the time in seconds within which a missing group may still answer."""
        remaining_s = max(0.0, self.deadline_s - now_s)
        return (
            remaining_s
            if self.max_extra_wait_s is None
            else min(remaining_s, self.max_extra_wait_s)
        )

    def allows_answer(self, included_fraction: float, max_probability: float, now_s: float) -> bool:
        """Return whether to answer now without the missing groups.

        :param included_fraction: fraction of the shards included so far
        :param max_probability: highest probability that a missing group answers within the horizon
        """
        if (
            now_s < self.soft_deadline_s
            or included_fraction <= 0
            or included_fraction < self.minimum_coverage
        ):
            return False
        return max_probability < self.min_probability


def build_coverage(count: int, included: list[str], missing: list[ShardMissing]) -> Coverage:
    """Return the coverage of an answer.

    :param count: number of shards of the snapshot
    """
    return Coverage(
        share=len(included) / count,
        included=included,
        missing=missing,
        summary=_summary(len(included), count, missing),
    )


def _summary(included: int, count: int, missing: list[ShardMissing]) -> str:
    if not missing:
        return f"all {count} shards"
    shown = ", ".join(f"{item.shard} ({item.reason})" for item in missing[:MAX_SHARDS_IN_SUMMARY])
    more = len(missing) - MAX_SHARDS_IN_SUMMARY
    tail = f" and {more} more" if more > 0 else ""
    return f"{included} of {count} shards; not included: {shown}{tail}"
