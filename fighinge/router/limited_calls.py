"""Counts the calls to a backend server that names a limit of its rate, for log and metrics."""

from __future__ import annotations

import enum
from collections import Counter

from fighinge.router.metrics import LIMITED_CALLS

REPORT_INTERVAL_S = 4.0  # one line for each limited server and interval


class CallKind(enum.Enum):
    """Why a call is made."""

    FIRST = "first"
    RETRY = "retry"
    HEDGE = "hedge"


class LimitedCalls:
    """The calls of this router to one server since the last report, by kind."""

    __slots__ = ("_counts", "_since_s")

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self._since_s: float | None = None

    def record(self, kind: CallKind, now_s: float) -> dict[str, object] | None:
        """Count a call.

        :returns: the fields of a log line if one is due, which resets the counts
        """
        LIMITED_CALLS.labels(kind.value).inc()
        if self._since_s is None:
            self._since_s = now_s
        report = None
        if now_s - self._since_s >= REPORT_INTERVAL_S:
            counts = {call_kind.value: self._counts[call_kind.value] for call_kind in CallKind}
            report = {"over_s": round(now_s - self._since_s, 2), **counts}
            self._counts.clear()
            self._since_s = now_s
        self._counts[kind.value] += 1
        return report
