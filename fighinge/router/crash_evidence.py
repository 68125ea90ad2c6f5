"""What routers tell each other about requests that crash backend servers, as facts."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from fighinge.facts import Fact, FactKind

if TYPE_CHECKING:
    from collections.abc import Iterable

CRASH_TTL_S = 120.0  # such a request is repeated within seconds, or by an impatient person
QUARANTINE_TTL_S = 240.0  # twice CRASH_TTL_S, so that the next round of retries is refused
ANSWER_TTL_S = QUARANTINE_TTL_S  # an answer may end a quarantine
POSSIBLE_CRASH_TTL_S = 15.0  # by then the server has answered, or its new run is listed
FIELD_SEPARATOR = "\t"  # not part of instance IDs and service names
FIRST, PROBE, AFTER_LOSS = "0", "1", "2"  # the third field of a crash
POSSIBLE = "?"  # a fourth field, with which earlier versions ignore the fact
# The first field of an answer. Reminders differ: a fact is not renewed within half a second.
ANSWERED, ANSWERED_BEFORE = "answered", "answered before"
MAX_NAMED = 4  # services in a fact, whose length is limited


class SentCall(msgspec.Struct, frozen=True):
    """A call as it was sent.

    ``server`` identifies one run of the server's process. ``is_probe`` says that the request was
    known to be suspect, ``follows_loss`` that an earlier call of the same attempt was lost.
    """

    fingerprint: str
    request_id: str
    service: str
    server: str
    started_s: float
    is_probe: bool
    follows_loss: bool = False


class Crash(msgspec.Struct, frozen=True):
    """A server that ended under a call, which was sent at ``sent_s``.

    Without ``is_confirmed``, the call was lost and the server refuses connections, but so do all
    others, so that the router may be cut off instead.
    """

    server: str
    service: str
    is_probe: bool
    sent_s: float
    follows_loss: bool = False
    is_confirmed: bool = True

    @classmethod
    def from_call(cls, call: SentCall, *, is_confirmed: bool = True) -> Crash:
        """Return the crash of the server that a call was sent to."""
        return cls(
            call.server,
            call.service,
            call.is_probe,
            call.started_s,
            call.follows_loss,
            is_confirmed,
        )

    @property
    def follows_crash(self) -> bool:
        """Return whether the call was sent after another server had crashed under the request."""
        return self.is_probe or self.follows_loss

    @classmethod
    def from_fact(cls, fact: Fact) -> Crash | None:
        """Return the crash that a fact stands for, or ``None`` if it is another fact."""
        fields = fact.value.split(FIELD_SEPARATOR)
        is_confirmed = fields[3:] != [POSSIBLE]
        if not is_confirmed:
            fields.pop()
        if len(fields) != 3:
            return None
        server, service, kind = fields
        sent_s = fact.expires_s - _crash_ttl_s(is_confirmed)
        return cls(server, service, kind == PROBE, sent_s, kind == AFTER_LOSS, is_confirmed)

    def to_fact(self, fingerprint: str) -> Fact:
        """Return the fact that the server crashed under a request."""
        kind = PROBE if self.is_probe else AFTER_LOSS if self.follows_loss else FIRST
        fields = (self.server, self.service, kind, *(() if self.is_confirmed else (POSSIBLE,)))
        value = FIELD_SEPARATOR.join(fields)
        expires_s = self.sent_s + _crash_ttl_s(self.is_confirmed)
        return Fact(FactKind.LOSS, fingerprint, value, expires_s)


def _crash_ttl_s(is_confirmed: bool) -> float:
    return CRASH_TTL_S if is_confirmed else POSSIBLE_CRASH_TTL_S


class CallAnswer(msgspec.Struct, frozen=True):
    """A server of a service that answered a call, which was sent at ``sent_s``.

    With ``is_reminder``, it is told because the service has crashed since.
    """

    service: str
    sent_s: float
    is_reminder: bool = False

    @classmethod
    def from_fact(cls, fact: Fact) -> CallAnswer | None:
        """Return the answer that a fact stands for, or ``None`` if it is another fact."""
        fields = fact.value.split(FIELD_SEPARATOR)
        if len(fields) != 2 or fields[0] not in (ANSWERED, ANSWERED_BEFORE):
            return None
        return cls(fields[1], fact.expires_s - ANSWER_TTL_S, fields[0] == ANSWERED_BEFORE)

    def to_fact(self, fingerprint: str) -> Fact:
        """Return the fact that the service has answered a request."""
        kind = ANSWERED_BEFORE if self.is_reminder else ANSWERED
        value = FIELD_SEPARATOR.join((kind, self.service))
        return Fact(FactKind.LOSS, fingerprint, value, self.sent_s + ANSWER_TTL_S)


class Quarantine(msgspec.Struct, frozen=True):
    """The decision not to send a request, by crashes the last of which was sent at ``sent_s``.

    ``is_settled`` says that it holds for requests that were answered shortly before as well.
    """

    services: tuple[str, ...]
    is_settled: bool
    sent_s: float

    @classmethod
    def from_crashes(cls, crashes: Iterable[Crash], *, is_settled: bool) -> Quarantine:
        """Return the decision that crashes lead to."""
        crashes = list(crashes)
        services = sorted({crash.service for crash in crashes})[:MAX_NAMED]
        return cls(tuple(services), is_settled, max(crash.sent_s for crash in crashes))

    @classmethod
    def from_fact(cls, fact: Fact) -> Quarantine:
        """Return the decision that a fact stands for."""
        services = tuple(fact.value.split(FIELD_SEPARATOR))
        is_settled = len(services) == 1 or bool(services[0])
        sent_s = fact.expires_s - QUARANTINE_TTL_S
        return cls(services if is_settled else services[1:], is_settled, sent_s)

    def to_fact(self, fingerprint: str) -> Fact:
        """Return the fact; an empty first field marks a decision that is not settled."""
        fields = self.services if self.is_settled else ("", *self.services)
        value = FIELD_SEPARATOR.join(fields)
        return Fact(FactKind.QUARANTINE, fingerprint, value, self.sent_s + QUARANTINE_TTL_S)
