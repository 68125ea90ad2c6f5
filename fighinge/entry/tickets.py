"""Tickets, each of which allows a non-idempotent request to run at most once."""

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
    """Permission to run one request once, in the entry process that minted the ticket.

    ``expires_ms`` refers to the clock of that process.
    """

    entry: str
    incarnation: str
    number: int
    expires_ms: int
    digest: str

    def encode(self) -> str:
        """Encode the ticket for callers."""
        return f"{self.entry}/{self.incarnation}/{self.number}/{self.expires_ms}/{self.digest}"

    @classmethod
    def decode(cls, text: str) -> Ticket | Failure:
        """Decode a ticket, or return a failure if it is malformed."""
        fields = text.split("/")
        if len(fields) != 5 or not (fields[2].isdecimal() and fields[3].isdecimal()):
            return Failure(ErrorKind.TICKET_INVALID, "is malformed", "ticket")
        return cls(fields[0], fields[1], int(fields[2]), int(fields[3]), fields[4])


class ForeignTicket(msgspec.Struct, frozen=True):
    """A ticket that another entry minted and only that entry may use."""

    entry: str


class UsableTicket(msgspec.Struct, frozen=True):
    """A ticket that is used for the first time."""

    number: int


class TicketRegistry:
    """Mint the tickets of one entry process and accept each of them once.

    Used numbers are kept until they expire, and only here, because no other process accepts the
    tickets.
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
        """Create the registry of a new process, with a random incarnation and secret."""
        return cls(entry, secrets.token_hex(INCARNATION_BYTES), secrets.token_bytes(SECRET_BYTES))

    def mint(self, count: int, now_s: float) -> list[str]:
        """Mint new tickets."""
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
        """Consume a ticket.

        :returns: a usable ticket, once for each ticket; the entry of a foreign ticket; or a
            failure, which states "not run" only for a ticket that was never minted
        """
        ticket = Ticket.decode(text)
        if isinstance(ticket, Failure):
            return ticket
        if ticket.entry != self.entry:
            return ForeignTicket(ticket.entry)
        if ticket.incarnation != self._incarnation:
            reason = "the entry process that minted the ticket has stopped"
            return Failure(ErrorKind.OUTCOME_UNKNOWN, reason, "ticket")
        digest = self._digest(ticket.number, ticket.expires_ms)
        if not hmac.compare_digest(digest.encode(), ticket.digest.encode()):
            return Failure(ErrorKind.TICKET_INVALID, "has an invalid digest", "ticket")
        now_ms = int(now_s * 1000)
        self._remove_expired(now_ms)
        if ticket.expires_ms <= now_ms:
            return Failure(ErrorKind.OUTCOME_UNKNOWN, "the ticket has expired", "ticket")
        if ticket.number in self._used:
            return Failure(ErrorKind.TICKET_USED, "the ticket has already been used", "ticket")
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
