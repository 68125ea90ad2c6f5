"""Short-lived facts that processes tell each other, carried by membership."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable


class FactKind(enum.Enum):
    """What a fact is about.

    ``LOSS``: a fingerprint's request was in flight when a backend server was lost; the value
    names the server. ``QUARANTINE``: a fingerprint is refused; the value tells why.
    ``WARM``: a backend server is warm; the value is its process identity.
    """

    LOSS = "loss"
    QUARANTINE = "quarantine"
    WARM = "warm"


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
        if fact.expires_s <= now_s or (known and known.expires_s >= fact.expires_s):
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

    def current(self, now_s: float) -> list[Fact]:
        """Return every fact that has not expired and forget the others."""
        self._facts = {name: fact for name, fact in self._facts.items() if fact.expires_s > now_s}
        return list(self._facts.values())
