"""Which aggregator owns a replica group, decided alike by every process."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fighinge.groups import Group
    from fighinge.model import Document

MAX_WEIGHT = 2**64


class Candidate(msgspec.Struct, frozen=True):
    """An aggregator that may own groups.

    ``share`` is the share of the groups for which it comes before others; the rest of them
    turns to it only when no other is left.
    """

    name: str
    zone: str
    share: float = 1.0


def owner_order(group: Group, document: Document, candidates: Iterable[Candidate]) -> list[str]:
    """Return the eligible aggregators, the owner first.

    Aggregators in the zones that hold most of the group's backend servers come first;
    among equals the rendezvous hash decides.
    """
    replicas_in_zone: dict[str, int] = {}
    for server in group.backend_servers:
        zone = document.backend_servers[server].zone
        replicas_in_zone[zone] = replicas_in_zone.get(zone, 0) + 1
    eligible = [candidate for candidate in candidates if zone_in_service(document, candidate.zone)]
    ranked = sorted(
        eligible,
        key=lambda candidate: (
            not _has_share(candidate, group),
            -replicas_in_zone.get(candidate.zone, 0),
            -rendezvous_weight(candidate.name, group.name),
        ),
    )
    return [candidate.name for candidate in ranked]


def _has_share(candidate: Candidate, group: Group) -> bool:
    return rendezvous_weight(candidate.zone, group.name) < candidate.share * MAX_WEIGHT


def zone_in_service(document: Document, zone: str) -> bool:
    """Return whether operators have the zone in service; an unlisted zone is out."""
    entry = document.zones.get(zone)
    return entry is not None and entry.in_service


def rendezvous_weight(node: str, key: str) -> int:
    """Return the weight of a node for a key; the highest weight wins."""
    return xxhash.xxh3_64_intdigest(f"{node}\n{key}".encode())
