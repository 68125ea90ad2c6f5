"""Revisions of the store, ordered across its returns from an older copy.

A store that comes back from a copy gives out revisions again. Its era, which rises each time, and
the revision form one number that only rises; all modules compare and keep this number.
"""

from __future__ import annotations

_ERA_FACTOR = 2**48  # more changes than a store ever makes in one era


def ordered_revision(era: int, number: int) -> int:
    """Return the revision with a number in an era, as one number."""
    return era * _ERA_FACTOR + number


def era_of(revision: int) -> int:
    """Return the era of a revision."""
    return revision // _ERA_FACTOR


def number_of(revision: int) -> int:
    """Return the number of a revision, by which the store and older routers know it."""
    return revision % _ERA_FACTOR
