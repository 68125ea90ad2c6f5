"""Selection of the processes that watch the platform, and read intervals of the others."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from fighinge.membership.member import MemberState
from fighinge.ownership import rendezvous_weight

if TYPE_CHECKING:
    from fighinge.membership.member import Member
    from fighinge.membership.table import MemberTable

READERS_PER_ZONE = 3
READER_HASH_KEY = "platform reader"
FALLBACK_READS_PER_S = 200.0
HOST_LIST_READS_PER_S = 100.0
MIN_READ_INTERVAL_S = 2.0


def is_reader(table: MemberTable, candidate: Member | None = None) -> bool:
    """Return whether a process watches the platform for its data centre.

    :param candidate: the member in question, by default the local one
    """
    candidate = candidate or table.local_member
    own_rank = _reader_rank(candidate)
    higher_ranked = sum(
        member.zone == candidate.zone
        and member.state is not MemberState.DEAD
        and not member.leaving
        and _reader_rank(member) > own_rank
        for member in (table.local_member, *table.reachable())
    )
    return higher_ranked < READERS_PER_ZONE


def reachable_readers(table: MemberTable) -> list[Member]:
    """Return the other reachable processes that watch the platform, as :func:`is_reader` says.

    Compares each process with those of its data centre only once.
    """
    by_zone: dict[str, list[Member]] = {}
    for member in (table.local_member, *table.reachable()):
        if member.state is not MemberState.DEAD and not member.leaving:
            by_zone.setdefault(member.zone, []).append(member)
    return [
        member
        for members in by_zone.values()
        for member in heapq.nlargest(READERS_PER_ZONE, members, key=_reader_rank)
        if member is not table.local_member
    ]


def _reader_rank(member: Member) -> int:
    return rendezvous_weight(member.name, READER_HASH_KEY)


def fallback_interval_s(members: int, reads_per_s: float) -> float:
    """Return the seconds between fallback reads of a process that is not a reader.

    Fallback reads find a new version when the platform answers only processes that are not
    readers. The interval grows with the fleet, which bounds the total rate.

    :param members: number of members of the fleet
    :param reads_per_s: fallback reads per second of all processes together
    """
    return max(MIN_READ_INTERVAL_S, members / reads_per_s)
