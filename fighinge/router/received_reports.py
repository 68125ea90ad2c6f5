"""What reports of other routers about a backend server are worth.

Made for many servers that turn slow or unreachable at once while each router calls a given server
only a few times in ten seconds. Against that stands that a report may be late, wrong, or about the
links of the router that sent it: own fresher observations go first, and a report alone never takes
a server out of service.
"""

from __future__ import annotations

import math
from statistics import median

import msgspec

from fighinge.router.server_reports import (
    ANSWERING,
    DECAY_S,
    FAILING_SHARE,
    MAX_OBSERVATION_AGE_S,
    UNREACHABLE,
)

REPORT_TTL_S = 1.0  # three repetitions
SINGLE_REPORT_WEIGHT = 0.5  # one router may be wrong; each further one halves what is left
MAX_ORIGINS = 16  # per server; more routers add nothing
DISTRUST_S = 5.0  # of a router that has reported a server as unreachable that answers others
OUT_OF_ORDER_S = 0.05  # the ages of two reports differ by the delays of their datagrams


class ReceivedReport(msgspec.Struct, frozen=True):
    """A report as its receiver takes it in.

    ``origin`` is the router that has observed it itself, ``is_near`` whether that is in the
    receiver's data centre. ``age_s`` is the age of the observation.
    """

    service: str
    run_name: str
    slowness: float
    failing_share: float
    state: int
    age_s: float
    origin: str
    zone: str
    is_near: bool

    @property
    def tells_failures(self) -> bool:
        """Return whether the report may be due to the links of its data centre."""
        return self.state == UNREACHABLE or self.failing_share >= FAILING_SHARE


class _KeptReport(msgspec.Struct, frozen=True):
    report: ReceivedReport
    observed_s: float
    expires_s: float


class ReceivedReports:
    """What other routers have reported of one run of a server, the last of each router.

    Reports with failures count only if they come from the own data centre or from two others: one
    data centre may have lost its links. A router whose report is refuted by an answer to this
    router, or to another one of this data centre, is not believed for a while.
    """

    __slots__ = ("_distrusted_until_s", "_expires_s", "_kept", "proven_s")

    def __init__(self) -> None:
        self._kept: dict[str, _KeptReport] = {}
        self._expires_s = float("-inf")
        self._distrusted_until_s: dict[str, float] = {}
        self.proven_s = float("-inf")

    def add(self, report: ReceivedReport, now_s: float) -> None:
        """Take in a report, unless it is too old or came out of order."""
        observed_s = now_s - report.age_s
        held = self._kept.get(report.origin)
        if report.age_s > MAX_OBSERVATION_AGE_S:
            return
        if held is not None and observed_s < held.observed_s - OUT_OF_ORDER_S:
            return
        self._kept.pop(report.origin, None)
        if len(self._kept) >= MAX_ORIGINS:
            del self._kept[next(iter(self._kept))]
        self._expires_s = now_s + REPORT_TTL_S
        self._kept[report.origin] = _KeptReport(report, observed_s, self._expires_s)
        if report.state == ANSWERING and not report.tells_failures:
            self.proven_s = max(self.proven_s, observed_s)
            if report.is_near:
                self.refute(observed_s, now_s)

    def refute(self, answered_s: float, now_s: float) -> bool:
        """Distrust the routers that found the server unreachable before it has answered.

        :returns: whether there are any
        """
        refuted = [
            held.report.origin
            for held in self._kept.values()
            if held.report.state == UNREACHABLE
            and held.observed_s < answered_s
            and now_s < held.expires_s
        ]
        for origin in refuted:
            del self._kept[origin]
            self._distrusted_until_s[origin] = now_s + DISTRUST_S
        while len(self._distrusted_until_s) > MAX_ORIGINS:
            del self._distrusted_until_s[next(iter(self._distrusted_until_s))]
        return bool(refuted)

    def slowness(self, own: float, own_observed_s: float, now_s: float) -> float:
        """Return the slowness by own and by fresher reported observations."""
        return self._combine(
            own,
            [
                1.0 + (held.report.slowness - 1.0) * math.exp((held.observed_s - now_s) / DECAY_S)
                for held in self._credible(now_s)
                if held.observed_s > own_observed_s
            ],
        )

    def failing_share(self, own: float, own_observed_s: float, now_s: float) -> float:
        """Return the share of failing calls by own and by fresher reported observations."""
        return self._combine(
            own,
            [
                held.report.failing_share * math.exp((held.observed_s - now_s) / DECAY_S)
                for held in self._credible(now_s)
                if held.observed_s > own_observed_s
            ],
        )

    def is_unreachable(self, answered_s: float, now_s: float) -> bool:
        """Return whether routers found the server unreachable after its last answer."""
        proven_s = max(answered_s, self.proven_s)
        return any(
            held.report.state == UNREACHABLE and held.observed_s > proven_s
            for held in self._credible(now_s)
        )

    def _credible(self, now_s: float) -> list[_KeptReport]:
        if now_s >= self._expires_s:
            return []
        current = [
            held
            for held in self._kept.values()
            if now_s < held.expires_s
            and not (
                held.report.tells_failures
                and now_s < self._distrusted_until_s.get(held.report.origin, float("-inf"))
            )
        ]
        failing = [held.report for held in current if held.report.tells_failures]
        zones = {report.zone for report in failing}
        if len(zones) >= 2 or any(report.is_near for report in failing):
            return current
        return [held for held in current if not held.report.tells_failures]

    @staticmethod
    def _combine(own: float, reported: list[float]) -> float:
        if not reported:
            return own
        weight = 1.0 - (1.0 - SINGLE_REPORT_WEIGHT) ** len(reported)
        return own + weight * (median(reported) - own)
