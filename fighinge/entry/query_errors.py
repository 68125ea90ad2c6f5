"""Errors as callers see them, and whether they may claim that a request did not run."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from fighinge.errors import ANSWERS, ErrorKind, Failure
from fighinge.queries import QueryError

if TYPE_CHECKING:
    from fighinge.queries import Coverage

DEFAULT_RETRY_AFTER_S = 0.5
MAY_HAVE_RUN_KINDS = frozenset({ErrorKind.QUARANTINED, ErrorKind.OUTCOME_UNKNOWN})
RESENDABLE_IF_NOT_RUN_KINDS = frozenset(
    {ErrorKind.OWNER_UNREACHABLE, ErrorKind.COVERAGE_TOO_LOW, ErrorKind.DEADLINE_EXCEEDED}
)


def query_error(request_id: str, failure: Failure) -> QueryError:
    """Return a failure from before anything was sent, as a caller sees it."""
    answer = failure.answer
    return QueryError(
        request_id=request_id,
        kind=failure.kind,
        reason=failure.reason,
        field=failure.field,
        may_resend=answer.may_resend,
        not_run=answer.not_run,
    )


def run_error(
    request_id: str, coverage: Coverage, *, sent: bool, retry_after_s: float
) -> QueryError:
    """Return the error for a run that included too little.

    This is the one place that tells a caller of a run whether the request ran.

    :param sent: whether any backend server may have been sent the request
    :param retry_after_s: when those who refused think it worth sending again, 0 if unknown
    """
    kind = _error_kind(coverage, sent=sent)
    not_run = not sent and kind not in MAY_HAVE_RUN_KINDS
    may_resend = ANSWERS[kind].may_resend or (not_run and kind in RESENDABLE_IF_NOT_RUN_KINDS)
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
    """Return the kind that names the cause: the commonest one of what never ran.

    Once something may have run, only a cause that all shards share is named, and none that
    would claim otherwise.
    """
    kinds = Counter(missing.kind for missing in coverage.missing)
    if not sent:
        return kinds.most_common(1)[0][0]
    if len(kinds) == 1 and not coverage.included:
        (kind,) = kinds
        if not ANSWERS[kind].not_run:
            return kind
    return ErrorKind.COVERAGE_TOO_LOW
