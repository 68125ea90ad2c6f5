"""Expiring facts that processes exchange over the membership protocol."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_FACTS = 4096
MIN_EXTENSION_S = 0.5


class FactKind(enum.Enum):
    """What a fact is about.

    ``LOSS``: a request with the fingerprint was in flight when a backend server was lost; the
    value names the server. ``QUARANTINE``: requests with the fingerprint are refused; the value
    is the reason. ``WARM``: a backend server is warm; the value is its process ID.
    ``HOST_LEAVING``: the platform lists the host in the key as leaving.
    ``ZONE_BACK``: the data centre in the key is ramped up until the expiry; the value is the
    configuration version that returned it to service.
    """

    LOSS = "loss"
    QUARANTINE = "quarantine"
    WARM = "warm"
    HOST_LEAVING = "host_leaving"
    ZONE_BACK = "zone_back"


class Fact(msgspec.Struct, frozen=True, array_like=True):
    """One fact, valid until ``expires_s`` by the monotonic clock of this process."""

    kind: FactKind
    key: str
    value: str
    expires_s: float


class FactBoard:
    """The facts known to a process, its own and those of its peers."""

    __slots__ = ("_facts", "_keys", "_listeners")

    def __init__(self) -> None:
        self._keys: set[str] = set()
        self._facts: dict[tuple[FactKind, str], dict[str, Fact]] = {}
        self._listeners: list[Callable[[Fact], None]] = []

    def listen(self, listener: Callable[[Fact], None]) -> None:
        """Call a listener with each fact that this process learns or adds."""
        self._listeners.append(listener)

    def add(self, fact: Fact, now_s: float) -> bool:
        """Add a fact and return whether it was added.

        A fact is dropped if it has expired, if it extends a known fact by less than
        ``MIN_EXTENSION_S``, or if it is new and the board is full.
        """
        known = self._facts.get((fact.kind, fact.key), {}).get(fact.value)
        if fact.expires_s <= now_s or (
            known and fact.expires_s - known.expires_s < MIN_EXTENSION_S
        ):
            return False
        if (
            known is None
            and sum(map(len, self._facts.values())) >= MAX_FACTS
            and len(self.current(now_s)) >= MAX_FACTS
        ):
            return False
        self._facts.setdefault((fact.kind, fact.key), {})[fact.value] = fact
        self._keys.add(fact.key)
        for listener in self._listeners:
            listener(fact)
        return True

    def may_have(self, key: str) -> bool:
        """Return whether there may be facts on a key; false is certain."""
        return key in self._keys

    def facts(self, kind: FactKind, key: str, now_s: float) -> list[Fact]:
        """Return the unexpired facts on a key."""
        facts = self._facts.get((kind, key), {}).values()
        return [fact for fact in facts if fact.expires_s > now_s]

    def values(self, kind: FactKind, key: str, now_s: float) -> list[str]:
        """Return the unexpired values of a key."""
        return [fact.value for fact in self.facts(kind, key, now_s)]

    def remaining_s(self, kind: FactKind, key: str, now_s: float) -> float:
        """Return the time until the last fact on a key expires, 0 without one."""
        expiries_s = [fact.expires_s for fact in self.facts(kind, key, now_s)]
        return max(expiries_s, default=now_s) - now_s

    def current(self, now_s: float) -> list[Fact]:
        """Return the facts that have not expired, and delete the others."""
        unexpired = [
            fact
            for facts in self._facts.values()
            for fact in facts.values()
            if fact.expires_s > now_s
        ]
        self._facts = {}
        self._keys = {fact.key for fact in unexpired}
        for fact in unexpired:
            self._facts.setdefault((fact.kind, fact.key), {})[fact.value] = fact
        return unexpired
