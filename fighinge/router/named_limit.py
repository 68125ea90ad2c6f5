"""The rate that a backend server names in its answers, and this router's share of it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fighinge.router.limited_calls import CallKind, LimitedCalls
from fighinge.router.metrics import observe_statement
from fighinge.router.rate_share import RateShare

if TYPE_CHECKING:
    from fighinge.router.decision_log import DecisionLog
    from fighinge.router.exchange import ServerStatement
    from fighinge.router.model import BackendRecord
    from fighinge.router.rate_share import RouterShare

MIN_LOG_INTERVAL_S = 1.0  # a limit may change from answer to answer


class NamedLimit:
    """The limit of one run of a server's process, which holds until an answer names none."""

    __slots__ = (
        "_calls",
        "_instance_id",
        "_log",
        "_logged_s",
        "_rate_share",
        "_router_share",
        "_service",
        "max_requests_per_s",
    )

    def __init__(self, record: BackendRecord, log: DecisionLog, router_share: RouterShare) -> None:
        self.max_requests_per_s: float | None = None
        self._instance_id = record.instance_id
        self._service = record.service
        self._log = log
        self._router_share = router_share
        self._rate_share: RateShare | None = None
        self._calls = LimitedCalls()
        self._logged_s = float("-inf")

    def is_reached(self, now_s: float, *, is_urgent: bool = True) -> bool:
        """Return whether this router's share is used up.

        :param is_urgent: whether no more urgent requests want what is left
        """
        if self._rate_share is None:
            return False
        return not self._rate_share.has_grant(now_s, is_urgent=is_urgent)

    def wait_s(self, now_s: float) -> float:
        """Return the time until a further caller may return, 0 without a limit."""
        return self._rate_share.wait_s(now_s) if self._rate_share else 0.0

    def promise(self, now_s: float) -> None:
        """Record that a caller was told to return after :meth:`wait_s`."""
        if self._rate_share is not None:
            self._rate_share.promise(now_s)

    def record_call(self, kind: CallKind, now_s: float) -> None:
        """Record a call, which uses a part of this router's share."""
        if self._rate_share is None:
            return
        self._rate_share.use_grant(now_s)
        report = self._calls.record(kind, now_s)
        if report is not None:
            self._log.write(
                "calls to limited backend server",
                backend=self._instance_id,
                service=self._service,
                max_requests_per_s=self.max_requests_per_s,
                limit_share=round(self._router_share.rate_fraction, 4),
                routers=len(self._router_share.routers),
                **report,
            )

    def record_statement(self, statement: ServerStatement, now_s: float) -> None:
        """Record the limit that the server names in a response, or that it names none.

        A value that cannot be read leaves the limit as it is.
        """
        previous = self.max_requests_per_s
        if not statement.unreadable_limit:
            self._apply(statement.max_requests_per_s, now_s)
        is_switched = (previous is None) != (self.max_requests_per_s is None)
        if is_switched:
            observe_statement("no limit" if self.max_requests_per_s is None else "limit")
        is_changed = previous != self.max_requests_per_s or bool(statement.unreadable_limit)
        is_due = is_switched or now_s - self._logged_s >= MIN_LOG_INTERVAL_S
        if not (is_changed and is_due):
            return
        self._logged_s = now_s
        self._log.write(
            "backend server limit",
            backend=self._instance_id,
            service=self._service,
            max_requests_per_s=self.max_requests_per_s,
            previous=previous,
            unreadable=statement.unreadable_limit,
            limit_share=round(self._router_share.rate_fraction, 4),
        )

    def _apply(self, max_requests_per_s: float | None, now_s: float) -> None:
        self.max_requests_per_s = max_requests_per_s
        if max_requests_per_s is None:
            self._rate_share = None
        elif self._rate_share is None:
            share = self._router_share
            self._rate_share = RateShare(share, self._instance_id, max_requests_per_s, now_s)
        else:
            self._rate_share.set_total(max_requests_per_s, now_s)
