"""Tests of the tickets for non-idempotent requests."""

from __future__ import annotations

import pytest

from fighinge.entry.tickets import (
    TICKET_TTL_S,
    ForeignTicket,
    TicketRegistry,
    UsableTicket,
)
from fighinge.errors import ErrorKind, Failure

NOW_S = 50.0


def registry(incarnation="i1", secret=b"s1"):
    return TicketRegistry("e1", incarnation, secret)


def test_ticket_is_usable_only_once():
    tickets = registry()
    (ticket,) = tickets.mint(1, NOW_S)
    assert isinstance(tickets.use(ticket, NOW_S), UsableTicket)
    assert tickets.use(ticket, NOW_S).kind is ErrorKind.TICKET_USED


def test_used_ticket_does_not_run_after_its_expiry():
    tickets = registry()
    (ticket,) = tickets.mint(1, NOW_S)
    tickets.use(ticket, NOW_S)
    late_s = NOW_S + TICKET_TTL_S + 1
    tickets.use(tickets.mint(1, late_s)[0], late_s)
    assert tickets.use(ticket, late_s).kind is ErrorKind.OUTCOME_UNKNOWN


def test_ticket_of_another_entry_is_foreign():
    (ticket,) = TicketRegistry("e2", "i1", b"s2").mint(1, NOW_S)
    assert registry().use(ticket, NOW_S) == ForeignTicket("e2")


@pytest.mark.parametrize(
    ("minted_by", "kind"),
    [
        (registry(incarnation="i0"), ErrorKind.OUTCOME_UNKNOWN),
        (registry(secret=b"s2"), ErrorKind.TICKET_INVALID),
    ],
)
def test_ticket_of_another_process_is_refused(minted_by, kind):
    (ticket,) = minted_by.mint(1, NOW_S)
    assert registry().use(ticket, NOW_S).kind is kind


@pytest.mark.parametrize("text", ["", "x", "e1/i1/1/2", "e1/i1/-1/5/aa", "e1/i1/x/5/aa"])
def test_malformed_ticket_is_invalid(text):
    failure = registry().use(text, NOW_S)
    assert isinstance(failure, Failure)
    assert failure.kind is ErrorKind.TICKET_INVALID
    assert failure.field == "ticket"
