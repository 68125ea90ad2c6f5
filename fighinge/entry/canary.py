"""Which group of a query is asked first, so that a crashing request costs few servers."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Literal

import msgspec

from fighinge.errors import ErrorKind
from fighinge.ownership import rendezvous_weight

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fighinge.messages import GroupOutcome

CanaryRule = Literal["always", "after_loss", "off"]

PROVEN_LIFETIME_S = 600.0
MAX_PROVEN = 100_000
SECOND_CANARY_SHARE = 0.15
RELEASE_SHARE = 0.5
SUSPICIOUS_KINDS = frozenset({ErrorKind.BACKEND_LOST, ErrorKind.QUARANTINED})


class ProvenFingerprints:
    """Fingerprints of queries that some backend server has lately answered."""

    __slots__ = ("_proven_until_s",)

    def __init__(self) -> None:
        self._proven_until_s: OrderedDict[str, float] = OrderedDict()

    def add(self, fingerprint: str, now_s: float) -> None:
        """Remember that a query was answered."""
        self._proven_until_s[fingerprint] = now_s + PROVEN_LIFETIME_S
        self._proven_until_s.move_to_end(fingerprint)
        if len(self._proven_until_s) > MAX_PROVEN:
            self._proven_until_s.popitem(last=False)

    def holds(self, fingerprint: str, now_s: float) -> bool:
        """Return whether a query was answered lately."""
        until_s = self._proven_until_s.get(fingerprint)
        return until_s is not None and now_s < until_s

    def remove(self, fingerprint: str) -> None:
        """Forget a query that was in flight when a backend server was lost."""
        self._proven_until_s.pop(fingerprint, None)


class CanaryTimes(msgspec.Struct, frozen=True):
    """When to ask a second group, and when to ask all of them without any answer."""

    second_s: float
    release_s: float

    @classmethod
    def from_deadline(cls, started_s: float, deadline_s: float) -> CanaryTimes:
        """Return the times for a query that started and must end at given clock times."""
        left_s = deadline_s - started_s
        return cls(started_s + SECOND_CANARY_SHARE * left_s, started_s + RELEASE_SHARE * left_s)


def canary_order(fingerprint: str, groups: Iterable[str]) -> list[str]:
    """Return the groups in the order in which they serve as a fingerprint's canary.

    Every entry finds the same first group, so that its owner sees the request each time it is
    sent again.
    """
    return sorted(groups, key=lambda group: rendezvous_weight(group, fingerprint), reverse=True)


def is_proof(outcome: GroupOutcome) -> bool:
    """Return whether a canary's outcome shows that backend servers survive the request."""
    return bool(outcome.parts)


def is_suspicious(outcome: GroupOutcome) -> bool:
    """Return whether a canary's outcome speaks against asking anyone else."""
    return not outcome.parts and any(
        missing.kind in SUSPICIOUS_KINDS for missing in outcome.missing
    )
