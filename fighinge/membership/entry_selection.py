"""Which entries a caller should use."""

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
    """An entry that takes new work."""

    host: str
    zone: str
    overloaded: bool = False


def choose_entries(
    candidates: Iterable[EntryCandidate], document: Document, caller: str, zone: str
) -> list[EntryCandidate]:
    """Return the entries for a caller, the first one to be used first.

    Entries in zones out of service are left out, overloaded ones only while others remain.
    Those of the caller's zone come first, then those of its region; among equals the
    rendezvous hash of the caller decides, so that callers spread evenly and most answers
    stay the same when one entry comes or goes. The last one is in another zone if there is
    one, so that a caller outlives the loss of a whole zone.
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
