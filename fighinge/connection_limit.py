"""Bounds the connections of callers, under callers that open many and send no request on them.

The load: very many connections that stay silent or stop in the middle of a request, until no
descriptor is left for ordinary callers and backend servers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Hashable

DESCRIPTOR_SHARE = 0.5  # the rest is for backend servers, peers, the store and closing sockets
MEMORY_SHARE = 0.1
CONNECTION_BYTES = 8 * 1024  # of an idle connection, with the objects of its stream
REUSE_SHARE = 0.8  # of the idle timeout, after which ordinary callers do not reuse a connection


class ConnectionLimit:
    """The open connections by what they do; each holder is one connection.

    A connection beyond the limit takes the place of the one that has waited longest without a
    complete request, or of one that its caller does not reuse any more. Without such a connection
    it is itself the one to close.
    """

    __slots__ = ("_idle_since_s", "_receiving", "_serving", "limit")

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._receiving: dict[Hashable, None] = {}
        self._serving: set[Hashable] = set()
        self._idle_since_s: dict[Hashable, float] = {}

    @classmethod
    def from_resources(cls, max_descriptors: int, memory_bytes: int) -> ConnectionLimit:
        """Return the limit for a process with these descriptors and this memory."""
        by_memory = memory_bytes * MEMORY_SHARE / CONNECTION_BYTES
        return cls(max(1, int(min(max_descriptors * DESCRIPTOR_SHARE, by_memory))))

    def __len__(self) -> int:
        return len(self._receiving) + len(self._serving) + len(self._idle_since_s)

    def add(self, holder: Hashable, idle_timeout_s: float, now_s: float) -> Hashable | None:
        """Add a connection, and return the one to close if there are too many.

        :param idle_timeout_s: for how long a connection may be idle between requests
        """
        victim = None
        if len(self) >= self.limit:
            victim = self._choose(REUSE_SHARE * idle_timeout_s, now_s) or holder
            self.remove(victim)
        if victim is not holder:
            self._receiving[holder] = None
        return victim

    def start_receiving(self, holder: Hashable) -> None:
        """Record the first byte of a request."""
        if holder in self._idle_since_s:
            self.remove(holder)
            self._receiving[holder] = None

    def start_service(self, holder: Hashable) -> None:
        """Record a complete request."""
        self.remove(holder)
        self._serving.add(holder)

    def end_service(self, holder: Hashable, now_s: float) -> None:
        """Record that the answer was written."""
        if holder in self._serving:
            self.remove(holder)
            self._idle_since_s[holder] = now_s

    def remove(self, holder: Hashable) -> None:
        """Remove a closed connection."""
        self._receiving.pop(holder, None)
        self._idle_since_s.pop(holder, None)
        self._serving.discard(holder)

    def _choose(self, reuse_s: float, now_s: float) -> Hashable | None:
        for holder in self._receiving:
            return holder
        for holder, since_s in self._idle_since_s.items():
            return holder if now_s - since_s > reuse_s else None
        return None
