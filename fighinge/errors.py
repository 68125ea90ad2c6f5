"""The closed list of error kinds and what each one means to a caller."""

from __future__ import annotations

import enum

import msgspec


class ErrorKind(enum.Enum):
    """Why a request, or one shard's share of it, has no result."""

    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"
    UNKNOWN_PATH = "unknown_path"
    WRONG_METHOD = "wrong_method"
    UNKNOWN_SERVICE = "unknown_service"
    NOT_READY = "not_ready"
    STOPPING = "stopping"
    ZONE_OUT = "zone_out"
    OVERLOADED = "overloaded"
    DEADLINE_TOO_SHORT = "deadline_too_short"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    SNAPSHOT_GONE = "snapshot_gone"
    COVERAGE_TOO_LOW = "coverage_too_low"
    QUARANTINED = "quarantined"
    TICKET_INVALID = "ticket_invalid"
    TICKET_USED = "ticket_used"
    OUTCOME_UNKNOWN = "outcome_unknown"
    NO_REPLICA = "no_replica"
    NOT_OWNER = "not_owner"
    OWNER_UNREACHABLE = "owner_unreachable"
    BACKEND_LOST = "backend_lost"
    BACKEND_SHED = "backend_shed"
    BACKEND_FAULT = "backend_fault"
    CANCELLED = "cancelled"
    INTERNAL = "internal"


class Answer(msgspec.Struct, frozen=True):
    """How an error kind is shown to a caller.

    ``may_resend`` tells whether sending the same request again is safe and may help;
    ``not_run`` tells whether the kind promises that the request ran nowhere.
    """

    http_status: int
    may_resend: bool
    not_run: bool


ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.BAD_REQUEST: Answer(400, may_resend=False, not_run=True),
    ErrorKind.TOO_LARGE: Answer(413, may_resend=False, not_run=True),
    ErrorKind.UNKNOWN_PATH: Answer(404, may_resend=False, not_run=True),
    ErrorKind.WRONG_METHOD: Answer(405, may_resend=False, not_run=True),
    ErrorKind.UNKNOWN_SERVICE: Answer(404, may_resend=False, not_run=True),
    ErrorKind.NOT_READY: Answer(503, may_resend=True, not_run=True),
    ErrorKind.STOPPING: Answer(503, may_resend=True, not_run=True),
    ErrorKind.ZONE_OUT: Answer(503, may_resend=True, not_run=True),
    ErrorKind.OVERLOADED: Answer(429, may_resend=True, not_run=True),
    ErrorKind.DEADLINE_TOO_SHORT: Answer(408, may_resend=True, not_run=True),
    ErrorKind.DEADLINE_EXCEEDED: Answer(504, may_resend=False, not_run=False),
    ErrorKind.SNAPSHOT_GONE: Answer(410, may_resend=False, not_run=False),
    ErrorKind.COVERAGE_TOO_LOW: Answer(502, may_resend=False, not_run=False),
    ErrorKind.QUARANTINED: Answer(422, may_resend=False, not_run=False),
    ErrorKind.TICKET_INVALID: Answer(403, may_resend=False, not_run=True),
    ErrorKind.TICKET_USED: Answer(409, may_resend=False, not_run=False),
    ErrorKind.OUTCOME_UNKNOWN: Answer(502, may_resend=False, not_run=False),
    ErrorKind.NO_REPLICA: Answer(503, may_resend=True, not_run=True),
    ErrorKind.NOT_OWNER: Answer(503, may_resend=True, not_run=True),
    ErrorKind.OWNER_UNREACHABLE: Answer(502, may_resend=False, not_run=False),
    ErrorKind.BACKEND_LOST: Answer(502, may_resend=False, not_run=False),
    ErrorKind.BACKEND_SHED: Answer(503, may_resend=False, not_run=False),
    ErrorKind.BACKEND_FAULT: Answer(502, may_resend=False, not_run=False),
    ErrorKind.CANCELLED: Answer(499, may_resend=False, not_run=False),
    ErrorKind.INTERNAL: Answer(500, may_resend=False, not_run=False),
}


class Failure(msgspec.Struct, frozen=True):
    """A sentinel returned in place of a result, with the reason for a person.

    ``field`` names the input that is at fault, if one is.
    """

    kind: ErrorKind
    reason: str
    field: str = ""

    @property
    def answer(self) -> Answer:
        """Return the caller-facing meaning of the failure."""
        return ANSWERS[self.kind]
