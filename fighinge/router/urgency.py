"""Which kinds of requests for a service are the most urgent at present."""

from __future__ import annotations

SEEN_TTL_S = 5.0  # a kind that callers no longer send keeps nothing from the others
MAX_PRIORITIES = 64  # beyond this, the least urgent one is forgotten


class Urgency:
    """The priorities of recent requests; 0 is the most urgent one."""

    __slots__ = ("_seen_s",)

    def __init__(self) -> None:
        self._seen_s: dict[int, float] = {}

    def record(self, priority: int, now_s: float) -> None:
        """Record the priority of a request."""
        self._seen_s[priority] = now_s
        if len(self._seen_s) > MAX_PRIORITIES:
            del self._seen_s[max(self._seen_s)]

    def is_most_urgent(self, priority: int, now_s: float) -> bool:
        """Return whether no recent request was more urgent."""
        return not any(
            other < priority and now_s - seen_s < SEEN_TTL_S
            for other, seen_s in self._seen_s.items()
        )
