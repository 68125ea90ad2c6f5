"""Detects that the view is older than a peer's, by revisions exchanged in gossip datagrams.

A source may stop sending changes to some routers while their connections stay open. Each datagram
between routers carries the revisions of the last changes, so a router that misses changes learns of
them from any peer and restarts its read of the source or of the peer that it follows.
"""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING

from fighinge.membership.messages import ConfigurationSummary
from fighinge.router.revisions import era_of, number_of, ordered_revision
from fighinge.router.view import Topic

if TYPE_CHECKING:
    from collections.abc import Callable

    from fighinge.membership.member import Member
    from fighinge.membership.messages import ConfigurationChunk, ConfigurationRequest
    from fighinge.router.view import View

STALE_AFTER_S = 1.0  # a working watch returns a change within half a second
RESTART_INTERVAL_S = 2.0  # time for another full read or a change of peer
_REVISIONS = struct.Struct(">QQ")  # of Topic.CONFIGURATION and Topic.BACKENDS


class StalenessDetector:
    """Compares the revisions of this router's view with those of its peers.

    This is the :class:`~fighinge.membership.service.StateSync` of routers.
    """

    __slots__ = ("_behind_since_s", "_clock", "_newest_revisions", "_restarted_s", "_view")

    def __init__(self, view: View, clock: Callable[[], float]) -> None:
        self._view = view
        self._clock = clock
        self._newest_revisions = dict.fromkeys(Topic, 0)
        self._behind_since_s: dict[Topic, float] = {}
        self._restarted_s = dict.fromkeys(Topic, float("-inf"))

    def summary(self) -> ConfigurationSummary:
        """Return the active version and, in place of a digest, the last change revisions."""
        last_changes = [self._view.last_change_revision(topic) for topic in Topic]
        return ConfigurationSummary(
            self._view.version,
            _REVISIONS.pack(*map(number_of, last_changes)),
            eras=tuple(map(era_of, last_changes)),
        )

    def handle_summary(self, member: Member, summary: ConfigurationSummary) -> None:
        """Record the revisions of a peer."""
        if len(summary.digest) != _REVISIONS.size:
            return
        now_s = self._clock()
        numbers = _REVISIONS.unpack(summary.digest)
        eras = summary.eras if len(summary.eras) == len(numbers) else (0,) * len(numbers)
        for topic, era, number in zip(Topic, eras, numbers, strict=True):
            revision = ordered_revision(era, number)
            if revision > max(self._view.watermark(topic), self._newest_revisions[topic]):
                self._newest_revisions[topic] = revision
                self._behind_since_s.setdefault(topic, now_s)

    def pop_stale(self, now_s: float) -> list[Topic]:
        """Return the topics that have missed changes for too long, and reset their timers."""
        stale = []
        for topic in list(self._behind_since_s):
            if self._view.watermark(topic) >= self._newest_revisions[topic]:
                del self._behind_since_s[topic]
                continue
            is_due = now_s - self._behind_since_s[topic] >= STALE_AFTER_S
            if is_due and now_s - self._restarted_s[topic] >= RESTART_INTERVAL_S:
                self._restarted_s[topic] = now_s
                stale.append(topic)
        return stale

    def behind_since_s(self, topic: Topic, now_s: float) -> float:
        """Return since when a peer has had changes that this view misses, now if none has."""
        return self._behind_since_s.get(topic, now_s)

    def handle_request(self, member: Member, request: ConfigurationRequest) -> None:
        """Ignore the request: routers pass changes on over HTTP, not as chunks."""

    def handle_chunk(self, member: Member, chunk: ConfigurationChunk) -> None:
        """Ignore the chunk, for the same reason."""

    def handle_pause(self, now_s: float) -> None:
        """Restart the comparison after a pause, in which no changes could be received."""
        self._behind_since_s.clear()

    async def run(self) -> None:
        """Return at once, as there is no periodic work."""
