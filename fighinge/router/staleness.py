"""Tells peers how recent the view is, and notices that a peer's is more recent.

A source may fall silent without an end of the connection, for some routers only. Each datagram
between routers carries the revisions of the last changes, so that one that misses changes learns
it from any peer, and leaves the source or the peer that it has followed.
"""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING

from fighinge.membership.messages import ConfigurationSummary
from fighinge.router.view import Topic

if TYPE_CHECKING:
    from collections.abc import Callable

    from fighinge.membership.member import Member
    from fighinge.membership.messages import ConfigurationChunk, ConfigurationRequest
    from fighinge.router.view import View

STALE_AFTER_S = 1.0  # a watch in contact tells of a change within half a second
RESTART_INTERVAL_S = 2.0  # the time that a renewed read and a change of peer take
_REVISIONS = struct.Struct(">QQ")  # of Topic.CONFIGURATION and Topic.BACKENDS


class StalenessDetector:
    """The part of membership that compares views."""

    __slots__ = ("_behind_since_s", "_clock", "_newest_heard", "_restarted_s", "_view")

    def __init__(self, view: View, clock: Callable[[], float]) -> None:
        self._view = view
        self._clock = clock
        self._newest_heard = dict.fromkeys(Topic, 0)
        self._behind_since_s: dict[Topic, float] = {}
        self._restarted_s = dict.fromkeys(Topic, float("-inf"))

    def summary(self) -> ConfigurationSummary:
        """Return what a datagram tells: the version in force and the last changes."""
        last_changes = _REVISIONS.pack(*(self._view.last_change_revision(topic) for topic in Topic))
        return ConfigurationSummary(self._view.version, last_changes)

    def handle_summary(self, member: Member, summary: ConfigurationSummary) -> None:
        """Take what a peer tells."""
        if len(summary.digest) != _REVISIONS.size:
            return
        now_s = self._clock()
        for topic, revision in zip(Topic, _REVISIONS.unpack(summary.digest), strict=True):
            if revision > max(self._view.watermark(topic), self._newest_heard[topic]):
                self._newest_heard[topic] = revision
                self._behind_since_s.setdefault(topic, now_s)

    def pop_stale(self, now_s: float) -> list[Topic]:
        """Return the topics of which changes are missing for too long, each time once."""
        stale = []
        for topic in list(self._behind_since_s):
            if self._view.watermark(topic) >= self._newest_heard[topic]:
                del self._behind_since_s[topic]
                continue
            is_due = now_s - self._behind_since_s[topic] >= STALE_AFTER_S
            if is_due and now_s - self._restarted_s[topic] >= RESTART_INTERVAL_S:
                self._restarted_s[topic] = now_s
                stale.append(topic)
        return stale

    def handle_request(self, member: Member, request: ConfigurationRequest) -> None:
        """Send no chunks: routers pass changes on over connections."""

    def handle_chunk(self, member: Member, chunk: ConfigurationChunk) -> None:
        """Take no chunks, as above."""

    def handle_pause(self, now_s: float) -> None:
        """Compare anew after a pause, in which news could not be taken."""
        self._behind_since_s.clear()

    async def run(self) -> None:
        """Have nothing to do in intervals."""
