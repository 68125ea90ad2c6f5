"""Assignment of replica groups to aggregators, the same in every process."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fighinge.groups import Group
    from fighinge.model import Document

HASH_RANGE = 2**64


class Candidate(msgspec.Struct, frozen=True):
    """An aggregator that may own groups.

    ``ramp_fraction`` is the fraction of the groups that it owns like any other aggregator; it
    owns the remaining groups only if there is no other candidate.
    """

    name: str
    zone: str
    ramp_fraction: float = 1.0


def owner_order(group: Group, document: Document, candidates: Iterable[Candidate]) -> list[str]:
    """Return the eligible aggregators, the owner first.

    Aggregators in data centres that are out of service are not eligible. Those in a data centre
    whose ramp-up does not yet include the group come last. Of the others, aggregators in the data
    centres with most of the group's backend servers come first; ties are broken by the rendezvous
    hash.
    """
    ranks = _ZoneRanks(group, document)
    weighed = [
        (ranks.rank(candidate), -rendezvous_weight(candidate.name, group.name), candidate.name)
        for candidate in candidates
        if ranks.is_eligible(candidate.zone)
    ]
    weighed.sort()
    return [name for _rank, _weight, name in weighed]


class _ZoneRanks:
    """Ranks of candidates by data centre: its ramp-up and the group's backend servers in it."""

    __slots__ = ("_document", "_eligible", "_group", "_ranks", "_replicas_by_zone")

    def __init__(self, group: Group, document: Document) -> None:
        self._group = group
        self._document = document
        self._eligible: dict[str, bool] = {}
        self._ranks: dict[tuple[str, float], tuple[bool, int]] = {}
        self._replicas_by_zone: dict[str, int] = {}
        for server in group.backend_servers:
            zone = document.backend_servers[server].zone
            self._replicas_by_zone[zone] = self._replicas_by_zone.get(zone, 0) + 1

    def is_eligible(self, zone: str) -> bool:
        """Return whether aggregators in a data centre may own groups."""
        eligible = self._eligible.get(zone)
        if eligible is None:
            eligible = self._eligible[zone] = zone_in_service(self._document, zone)
        return eligible

    def rank(self, candidate: Candidate) -> tuple[bool, int]:
        """Return the rank of a candidate; the lowest is preferred."""
        key = (candidate.zone, candidate.ramp_fraction)
        rank = self._ranks.get(key)
        if rank is None:
            is_beyond_ramp = not _is_within_ramp(candidate, self._group)
            rank = (is_beyond_ramp, -self._replicas_by_zone.get(candidate.zone, 0))
            self._ranks[key] = rank
        return rank


def _is_within_ramp(candidate: Candidate, group: Group) -> bool:
    return rendezvous_weight(candidate.zone, group.name) < candidate.ramp_fraction * HASH_RANGE


def zone_in_service(document: Document, zone: str) -> bool:
    """Return whether a data centre is in service; an unconfigured one is out of service."""
    zone_configuration = document.zones.get(zone)
    return zone_configuration is not None and zone_configuration.in_service


def rendezvous_weight(node: str, key: str) -> int:
    """Return the rendezvous weight of a node for a key; the node with the highest one wins."""
    return xxhash.xxh3_64_intdigest(f"{node}\n{key}".encode())
