"""Errors for callers, and whether they state that the request did not run."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from fighinge.errors import ERROR_PROPERTIES, ErrorKind, Failure
from fighinge.queries import QueryError

if TYPE_CHECKING:
    from fighinge.queries import Coverage

DEFAULT_RETRY_AFTER_S = 0.5
MAY_HAVE_RUN_KINDS = frozenset({ErrorKind.QUARANTINED, ErrorKind.OUTCOME_UNKNOWN})
RESENDABLE_IF_NOT_RUN_KINDS = frozenset(
    {ErrorKind.OWNER_UNREACHABLE, ErrorKind.COVERAGE_TOO_LOW, ErrorKind.DEADLINE_EXCEEDED}
)


def query_error(request_id: str, failure: Failure) -> QueryError:
    """Return the error for a failure, with the properties of its kind."""
    properties = failure.properties
    return QueryError(
        request_id=request_id,
        kind=failure.kind,
        reason=failure.reason,
        field=failure.field,
        may_resend=properties.may_resend,
        not_run=properties.not_run,
    )


def run_error(
    request_id: str, coverage: Coverage, *, sent: bool, retry_after_s: float
) -> QueryError:
    """Return the error for a run with too little coverage.

    No other function sets ``not_run`` for the error of a run.

    :param sent: whether the request may have been sent to a backend server
    :param retry_after_s: longest delay in seconds that a refusal requested, 0 if none did
    """
    kind = _error_kind(coverage, sent=sent)
    not_run = not sent and kind not in MAY_HAVE_RUN_KINDS
    may_resend = ERROR_PROPERTIES[kind].may_resend or (
        not_run and kind in RESENDABLE_IF_NOT_RUN_KINDS
    )
    return QueryError(
        request_id=request_id,
        kind=kind,
        reason=f"answered by {coverage.summary}",
        may_resend=may_resend,
        not_run=not_run,
        retry_after_s=(retry_after_s or DEFAULT_RETRY_AFTER_S) if may_resend else None,
        coverage=coverage,
    )


def _error_kind(coverage: Coverage, *, sent: bool) -> ErrorKind:
    """Return the kind of the error for a run.

    If nothing was sent, it is the most frequent kind among the missing shards. Otherwise it is a
    kind that all shards share and that does not state ``not_run``, else ``COVERAGE_TOO_LOW``.
    """
    kinds = Counter(missing.kind for missing in coverage.missing)
    if not sent:
        return kinds.most_common(1)[0][0]
    if len(kinds) == 1 and not coverage.included:
        (kind,) = kinds
        if not ERROR_PROPERTIES[kind].not_run:
            return kind
    return ErrorKind.COVERAGE_TOO_LOW
