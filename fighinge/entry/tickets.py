"""Tickets, under which a request that is not repeatable runs at most once."""

from __future__ import annotations

import hashlib
import heapq
import hmac
import secrets

import msgspec

from fighinge.errors import ErrorKind, Failure

TICKET_TTL_S = 120.0
DIGEST_BYTES = 12
SECRET_BYTES = 32
INCARNATION_BYTES = 6


class Ticket(msgspec.Struct, frozen=True):
    """The right to run one request once, in the entry process that minted it.

    ``expires_ms`` is read on that process' own clock.
    """

    entry: str
    incarnation: str
    number: int
    expires_ms: int
    digest: str

    def encode(self) -> str:
        """Return the ticket as callers carry it."""
        return f"{self.entry}/{self.incarnation}/{self.number}/{self.expires_ms}/{self.digest}"

    @classmethod
    def decode(cls, text: str) -> Ticket | Failure:
        """Return the ticket that a caller sent, or a failure where it is none."""
        fields = text.split("/")
        if len(fields) != 5 or not (fields[2].isdecimal() and fields[3].isdecimal()):
            return Failure(ErrorKind.TICKET_INVALID, "is not a ticket of this system", "ticket")
        return cls(fields[0], fields[1], int(fields[2]), int(fields[3]), fields[4])


class ForeignTicket(msgspec.Struct, frozen=True):
    """A ticket that only another entry may use."""

    entry: str


class UsableTicket(msgspec.Struct, frozen=True):
    """A ticket that has now been used for the first time."""

    number: int


class TicketRegistry:
    """Mints the tickets of one entry process and lets each be used once.

    Used numbers are remembered until they expire; no other process needs to know of them.
    """

    __slots__ = ("_expiries", "_incarnation", "_next_number", "_secret", "_used", "entry")

    def __init__(self, entry: str, incarnation: str, secret: bytes) -> None:
        self.entry = entry
        self._incarnation = incarnation
        self._secret = secret
        self._next_number = 1
        self._used: set[int] = set()
        self._expiries: list[tuple[int, int]] = []

    @classmethod
    def create(cls, entry: str) -> TicketRegistry:
        """Return the registry of a new process, whose tickets no other can have minted."""
        return cls(entry, secrets.token_hex(INCARNATION_BYTES), secrets.token_bytes(SECRET_BYTES))

    def mint(self, count: int, now_s: float) -> list[str]:
        """Return new tickets."""
        expires_ms = int((now_s + TICKET_TTL_S) * 1000)
        tickets = []
        for _ in range(count):
            number = self._next_number
            self._next_number += 1
            digest = self._digest(number, expires_ms)
            ticket = Ticket(self.entry, self._incarnation, number, expires_ms, digest)
            tickets.append(ticket.encode())
        return tickets

    def use(self, text: str, now_s: float) -> UsableTicket | ForeignTicket | Failure:
        """Use a ticket up.

        :returns: a usable ticket once and never again; where to take a ticket of another entry;
            or why the request cannot run, which says "not run" only of a ticket never minted
        """
        ticket = Ticket.decode(text)
        if isinstance(ticket, Failure):
            return ticket
        if ticket.entry != self.entry:
            return ForeignTicket(ticket.entry)
        if ticket.incarnation != self._incarnation:
            reason = "the process that minted the ticket is gone"
            return Failure(ErrorKind.OUTCOME_UNKNOWN, reason, "ticket")
        digest = self._digest(ticket.number, ticket.expires_ms)
        if not hmac.compare_digest(digest.encode(), ticket.digest.encode()):
            return Failure(ErrorKind.TICKET_INVALID, "was not minted here", "ticket")
        now_ms = int(now_s * 1000)
        self._remove_expired(now_ms)
        if ticket.expires_ms <= now_ms:
            return Failure(ErrorKind.OUTCOME_UNKNOWN, "the ticket has expired", "ticket")
        if ticket.number in self._used:
            return Failure(ErrorKind.TICKET_USED, "the ticket was used before", "ticket")
        self._used.add(ticket.number)
        heapq.heappush(self._expiries, (ticket.expires_ms, ticket.number))
        return UsableTicket(ticket.number)

    def _digest(self, number: int, expires_ms: int) -> str:
        text = f"{self.entry}/{self._incarnation}/{number}/{expires_ms}".encode()
        return hashlib.blake2b(text, key=self._secret, digest_size=DIGEST_BYTES).hexdigest()

    def _remove_expired(self, now_ms: int) -> None:
        while self._expiries and self._expiries[0][0] <= now_ms:
            _expires_ms, number = heapq.heappop(self._expiries)
            self._used.discard(number)
