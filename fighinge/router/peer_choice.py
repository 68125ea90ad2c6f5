"""Chooses the peer to follow: one that reads the store, and whose store is likely to answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fighinge.configuration.readers import reachable_readers

if TYPE_CHECKING:
    import random

    from fighinge.membership.member import Member
    from fighinge.router.peers import Peers

PREFERRED_PROBABILITY = 0.8  # otherwise tries others, as members may differ about who reads
RECENT_REFUSAL_S = 3.0  # of a peer that has lost the store; it rarely has it back sooner
STALE_PEER_AVOID_S = 3.0  # long enough for the peer to detect its missed changes itself
FAILED_PEER_AVOID_S = 1.0  # tries other peers first


class PeerChoice:
    """Chooses among the members, and remembers which of them could not be followed."""

    __slots__ = ("_avoid_until_s", "_peers", "_random", "_refused_s", "_zone_refused_s")

    def __init__(self, peers: Peers, random_source: random.Random) -> None:
        self._peers = peers
        self._random = random_source
        self._avoid_until_s: dict[str, float] = {}
        self._refused_s: dict[str, float] = {}
        self._zone_refused_s: dict[str, float] = {}

    def record_failure(self, peer: Member, now_s: float) -> None:
        """Record that a peer did not answer, or not readably, or with an older view."""
        self._avoid_until_s[peer.host] = now_s + FAILED_PEER_AVOID_S

    def record_stale(self, peer: Member, now_s: float) -> None:
        """Record that a followed peer has missed changes."""
        self._avoid_until_s[peer.host] = now_s + STALE_PEER_AVOID_S

    def record_refusal(self, peer: Member, now_s: float) -> None:
        """Record that a peer does not read the store or has lost it.

        The readers of a data centre often lose it together, so that those of others come first.
        """
        self.record_failure(peer, now_s)
        self._refused_s[peer.host] = now_s
        self._zone_refused_s[peer.zone] = now_s

    def choose(self, now_s: float) -> Member | None:
        """Return a peer that may read the store, preferably in this data centre."""
        table = self._peers.membership.table
        members = [
            member
            for member in table.reachable()
            if not member.leaving and self._avoid_until_s.get(member.host, 0.0) <= now_s
        ]
        readers = [
            member
            for member in reachable_readers(table)
            if self._avoid_until_s.get(member.host, 0.0) <= now_s
        ]
        untried = [
            member for member in readers if not _is_recent(self._refused_s.get(member.host), now_s)
        ]
        promising = [
            member
            for member in untried
            if not _is_recent(self._zone_refused_s.get(member.zone), now_s)
        ]
        near = [member for member in promising if member.zone == table.local_member.zone]
        for candidates in (near, promising, untried, readers, members):
            if candidates and self._random.random() < PREFERRED_PROBABILITY:
                return self._random.choice(candidates)
        return None


def _is_recent(refused_s: float | None, now_s: float) -> bool:
    return refused_s is not None and now_s - refused_s < RECENT_REFUSAL_S
