"""The error kinds of the query tier, and the properties of each that callers rely on."""

from __future__ import annotations

import enum

import msgspec


class ErrorKind(enum.Enum):
    """Why a request, or one shard of it, has no result."""

    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"
    UNKNOWN_PATH = "unknown_path"
    WRONG_METHOD = "wrong_method"
    UNAUTHENTICATED = "unauthenticated"
    QUOTA_EXCEEDED = "quota_exceeded"
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


class ErrorProperties(msgspec.Struct, frozen=True):
    """The properties of an error kind that callers rely on.

    ``may_resend`` says whether sending the same request again is safe and may succeed;
    ``not_run`` whether it is guaranteed that no process has run the request.
    """

    http_status: int
    may_resend: bool
    not_run: bool


ERROR_PROPERTIES: dict[ErrorKind, ErrorProperties] = {
    ErrorKind.BAD_REQUEST: ErrorProperties(400, may_resend=False, not_run=True),
    ErrorKind.TOO_LARGE: ErrorProperties(413, may_resend=False, not_run=True),
    ErrorKind.UNKNOWN_PATH: ErrorProperties(404, may_resend=False, not_run=True),
    ErrorKind.WRONG_METHOD: ErrorProperties(405, may_resend=False, not_run=True),
    ErrorKind.UNAUTHENTICATED: ErrorProperties(401, may_resend=False, not_run=True),
    ErrorKind.QUOTA_EXCEEDED: ErrorProperties(429, may_resend=True, not_run=True),
    ErrorKind.UNKNOWN_SERVICE: ErrorProperties(404, may_resend=False, not_run=True),
    ErrorKind.NOT_READY: ErrorProperties(503, may_resend=True, not_run=True),
    ErrorKind.STOPPING: ErrorProperties(503, may_resend=True, not_run=True),
    ErrorKind.ZONE_OUT: ErrorProperties(503, may_resend=True, not_run=True),
    ErrorKind.OVERLOADED: ErrorProperties(429, may_resend=True, not_run=True),
    ErrorKind.DEADLINE_TOO_SHORT: ErrorProperties(408, may_resend=True, not_run=True),
    ErrorKind.DEADLINE_EXCEEDED: ErrorProperties(504, may_resend=False, not_run=False),
    ErrorKind.SNAPSHOT_GONE: ErrorProperties(410, may_resend=False, not_run=False),
    ErrorKind.COVERAGE_TOO_LOW: ErrorProperties(502, may_resend=False, not_run=False),
    ErrorKind.QUARANTINED: ErrorProperties(422, may_resend=False, not_run=False),
    ErrorKind.TICKET_INVALID: ErrorProperties(403, may_resend=False, not_run=True),
    ErrorKind.TICKET_USED: ErrorProperties(409, may_resend=False, not_run=False),
    ErrorKind.OUTCOME_UNKNOWN: ErrorProperties(502, may_resend=False, not_run=False),
    ErrorKind.NO_REPLICA: ErrorProperties(503, may_resend=True, not_run=True),
    ErrorKind.NOT_OWNER: ErrorProperties(503, may_resend=True, not_run=True),
    ErrorKind.OWNER_UNREACHABLE: ErrorProperties(502, may_resend=False, not_run=False),
    ErrorKind.BACKEND_LOST: ErrorProperties(502, may_resend=False, not_run=False),
    ErrorKind.BACKEND_SHED: ErrorProperties(503, may_resend=False, not_run=False),
    ErrorKind.BACKEND_FAULT: ErrorProperties(502, may_resend=False, not_run=False),
    ErrorKind.CANCELLED: ErrorProperties(499, may_resend=False, not_run=False),
    ErrorKind.INTERNAL: ErrorProperties(500, may_resend=False, not_run=False),
}


class Failure(msgspec.Struct, frozen=True):
    """A failure that is returned in place of a result, with a readable reason.

    ``field`` names the invalid input, if the failure is due to one.
    """

    kind: ErrorKind
    reason: str
    field: str = ""

    @property
    def properties(self) -> ErrorProperties:
        """Return the properties of the failure's kind."""
        return ERROR_PROPERTIES[self.kind]
