"""Bounds the processor time that responses in very many small chunks take."""

from __future__ import annotations

FREE_PARTS = 2000  # of one read; about a millisecond or two
MAX_PARTS_PER_S = 100_000  # of all connections, about a tenth of a core


class ReadPacing:
    """Tells how long a connection must not be read after a costly read.

    The delays of all connections follow each other, so that together they keep below
    ``MAX_PARTS_PER_S``. A server that sends chunks of a byte is then slow, whatever its link.
    """

    __slots__ = ("_free_s",)

    def __init__(self) -> None:
        self._free_s = float("-inf")

    def delay_s(self, parts: int, now_s: float) -> float:
        """Return the seconds until the connection may be read again.

        :param parts: parts of the body in what was read
        :param now_s: time on the monotonic clock, in seconds
        """
        if parts <= FREE_PARTS:
            return 0.0
        self._free_s = max(now_s, self._free_s) + parts / MAX_PARTS_PER_S
        return self._free_s - now_s
