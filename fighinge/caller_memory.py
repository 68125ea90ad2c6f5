"""Bounds the bytes that all callers hold together, under callers that exceed their limits.

The load: many bodies that each stay below or just above the limit, stop half-way, or answers that
nobody reads. A limit on each of them alone does not bound their sum.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Hashable

CALLERS_SHARE = 0.2  # of the memory; the process takes 60 MB, responses in progress 32 MB
MIN_AGE_S = 0.01  # an ordinary request arrives within it


class _Holding(msgspec.Struct):
    """What one connection holds, and since when."""

    held_bytes: int
    since_s: float
    is_in_service: bool = False


class CallerMemory:
    """The bytes of requests and answers of all callers.

    Above the limit, connections are chosen to be refused: those first whose bytes, times the time
    for which they have been held, are most. Ordinary callers hold few bytes for a short time.
    Requests in service are not chosen, as they have been sent to servers.
    """

    __slots__ = ("_holdings", "limit_bytes", "used_bytes")

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self._holdings: dict[Hashable, _Holding] = {}

    @classmethod
    def from_memory(cls, memory_bytes: int) -> CallerMemory:
        """Return the bound for a process with this much memory."""
        return cls(int(memory_bytes * CALLERS_SHARE))

    def grow(self, holder: Hashable, added_bytes: int, now_s: float) -> list[Hashable]:
        """Add bytes to a holder.

        :returns: the holders to refuse, whose bytes are released; the holder may be one of them
        """
        holding = self._holdings.get(holder)
        if holding is None:
            holding = self._holdings[holder] = _Holding(0, now_s)
        holding.held_bytes += added_bytes
        self.used_bytes += added_bytes
        refused: list[Hashable] = []
        while self.used_bytes > self.limit_bytes:
            victim = self._choose(now_s)
            if victim is None:
                break
            self.release(victim)
            refused.append(victim)
        return refused

    def start_service(self, holder: Hashable) -> None:
        """Record that the request of a holder is complete and is being answered."""
        if holder in self._holdings:
            self._holdings[holder].is_in_service = True

    def start_answer(self, holder: Hashable, now_s: float) -> None:
        """Record that the answer of a holder is written from now on, in place of its request."""
        self.release(holder)
        self._holdings[holder] = _Holding(0, now_s)

    def release(self, holder: Hashable) -> None:
        """Release all bytes of a holder."""
        holding = self._holdings.pop(holder, None)
        if holding is not None:
            self.used_bytes -= holding.held_bytes

    def _choose(self, now_s: float) -> Hashable | None:
        return max(
            (holder for holder, holding in self._holdings.items() if not holding.is_in_service),
            key=lambda holder: self._weight(holder, now_s),
            default=None,
        )

    def _weight(self, holder: Hashable, now_s: float) -> float:
        holding = self._holdings[holder]
        return holding.held_bytes * max(MIN_AGE_S, now_s - holding.since_s)
