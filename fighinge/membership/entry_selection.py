"""Selection of the entries that a caller should use."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from fighinge.ownership import rendezvous_weight, zone_in_service

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fighinge.model import Document

PREFERRED_ENTRIES = 2
OTHER_ZONE_ENTRIES = 1


class EntryCandidate(msgspec.Struct, frozen=True):
    """An entry that accepts new queries."""

    host: str
    zone: str
    overloaded: bool = False


def choose_entries(
    candidates: Iterable[EntryCandidate], document: Document, caller: str, zone: str
) -> list[EntryCandidate]:
    """Return the entries for a caller in order of preference.

    Entries in data centres that are out of service are excluded. Overloaded entries are
    excluded unless all are overloaded. Entries in the caller's data centre rank first, then
    those in its region. Ties are broken by rendezvous hashing of the caller, which balances
    callers over the entries and changes few selections when an entry is added or removed. The
    last entry is in another data centre where possible, so that a caller can fail over when
    its data centre is lost.

    :param candidates: entries that accept new queries
    :param document: the active configuration
    :param caller: name of the caller, the hash key
    :param zone: data centre of the caller
    """
    usable = [entry for entry in candidates if zone_in_service(document, entry.zone)]
    usable = [entry for entry in usable if not entry.overloaded] or usable
    region = document.zones[zone].region if zone in document.zones else None

    def rank_key(entry: EntryCandidate) -> tuple[bool, bool, int]:
        is_other_region = document.zones[entry.zone].region != region
        return (entry.zone != zone, is_other_region, -rendezvous_weight(entry.host, caller))

    ranked = sorted(usable, key=rank_key)
    chosen = ranked[:PREFERRED_ENTRIES]
    remaining = ranked[PREFERRED_ENTRIES:]
    nearest = ranked[0].zone if ranked else ""
    other_zones = [entry for entry in remaining if entry.zone != nearest]
    return chosen + (other_zones or remaining)[:OTHER_ZONE_ENTRIES]
