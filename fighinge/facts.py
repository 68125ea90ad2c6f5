"""Short-lived facts that processes tell each other, carried by membership."""

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

    ``LOSS``: a fingerprint's request was in flight when a backend server was lost; the value
    names the server. ``QUARANTINE``: a fingerprint is refused; the value tells why.
    ``WARM``: a backend server is warm; the value is its process identity.
    ``HOST_LEAVING``: the platform lists a host, the key, as leaving.
    ``ZONE_BACK``: a zone, the key, is being brought back into service until the expiry; the
    value is the configuration version that did it.
    """

    LOSS = "loss"
    QUARANTINE = "quarantine"
    WARM = "warm"
    HOST_LEAVING = "host_leaving"
    ZONE_BACK = "zone_back"


class Fact(msgspec.Struct, frozen=True, array_like=True):
    """One fact; it is forgotten at its expiry."""

    kind: FactKind
    key: str
    value: str
    expires_s: float


class FactBoard:
    """The facts that a process holds true, with its own among them."""

    __slots__ = ("_facts", "_listeners")

    def __init__(self) -> None:
        self._facts: dict[tuple[FactKind, str, str], Fact] = {}
        self._listeners: list[Callable[[Fact], None]] = []

    def listen(self, listener: Callable[[Fact], None]) -> None:
        """Call a listener with each fact that is new here, whoever told it."""
        self._listeners.append(listener)

    def add(self, fact: Fact, now_s: float) -> bool:
        """Take a fact and return whether it tells something new."""
        known = self._facts.get((fact.kind, fact.key, fact.value))
        if fact.expires_s <= now_s or (
            known and fact.expires_s - known.expires_s < MIN_EXTENSION_S
        ):
            return False
        if (
            known is None
            and len(self._facts) >= MAX_FACTS
            and len(self.current(now_s)) >= MAX_FACTS
        ):
            return False
        self._facts[fact.kind, fact.key, fact.value] = fact
        for listener in self._listeners:
            listener(fact)
        return True

    def values(self, kind: FactKind, key: str, now_s: float) -> list[str]:
        """Return what is held true of a key."""
        return [
            fact.value
            for fact in self._facts.values()
            if fact.kind is kind and fact.key == key and fact.expires_s > now_s
        ]

    def remaining_s(self, kind: FactKind, key: str, now_s: float) -> float:
        """Return how long anything is still held true of a key, 0 if nothing is."""
        expiries_s = [
            fact.expires_s
            for fact in self._facts.values()
            if fact.kind is kind and fact.key == key and fact.expires_s > now_s
        ]
        return max(expiries_s, default=now_s) - now_s

    def current(self, now_s: float) -> list[Fact]:
        """Return every fact that has not expired and forget the others."""
        self._facts = {name: fact for name, fact in self._facts.items() if fact.expires_s > now_s}
        return list(self._facts.values())
