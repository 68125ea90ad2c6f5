"""A bounded set of keys that were added recently."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Hashable


class RecentKeys:
    """Keys with the time of their last addition; the oldest are dropped first."""

    __slots__ = ("_added_s", "_max_keys", "_ttl_s")

    def __init__(self, ttl_s: float, max_keys: int) -> None:
        self._added_s: dict[Hashable, float] = {}
        self._ttl_s = ttl_s
        self._max_keys = max_keys

    def add(self, key: Hashable, now_s: float) -> None:
        """Add a key, or renew it."""
        self._added_s.pop(key, None)
        self._added_s[key] = now_s
        if len(self._added_s) > self._max_keys:
            del self._added_s[next(iter(self._added_s))]

    def contains(self, key: Hashable, now_s: float) -> bool:
        """Return whether a key was added within the time to live."""
        return self.last_s(key, now_s) > float("-inf")

    def last_s(self, key: Hashable, now_s: float) -> float:
        """Return when a key was last added within the time to live, minus infinity if never."""
        added_s = self._added_s.get(key, float("-inf"))
        return added_s if now_s - added_s < self._ttl_s else float("-inf")
