"""One backend server as its owner knows it: identity, limits, leaving and latency."""

from __future__ import annotations

from typing import TYPE_CHECKING

import logbook

from fighinge.aggregator.base import Address, CallFailure, CallFault
from fighinge.aggregator.cold_start import ColdStart
from fighinge.aggregator.concurrency import AdaptiveLimit
from fighinge.aggregator.latency import LatencyTrend, SlowShare
from fighinge.aggregator.policy import Policy
from fighinge.messages import BackendAnswer, BackendRefusal

if TYPE_CHECKING:
    from fighinge.messages import ServerState
    from fighinge.model import BackendServerEntry

logger = logbook.Logger(__name__)

ABSENCE_S = 2.0
UNREACHABLE_S = 5.0
FIRST_PAUSE_S = 0.05
LONGEST_PAUSE_S = 1.0
DRAIN_REVOKED_AFTER_S = 1.0
STALE_LATENCY_S = 5.0
ZONE_ROUND_TRIP_S = 0.003
HANDED_OVER_SHARE = 0.5
NO_DISTRESS_REASONS = frozenset({"cancelled", "deadline", "index_version", "draining"})

CallResult = BackendAnswer | BackendRefusal | CallFailure


class BackendServer:
    """A backend server's limits and condition; what own calls saw wins over reports."""

    __slots__ = (
        "_absent_since_s",
        "_answered_s",
        "_configured_cold",
        "_drain_seen_s",
        "_drain_was_reported",
        "_limit",
        "_pause_s",
        "_paused_until_s",
        "_policy",
        "_reported_cold",
        "_state_s",
        "_trend",
        "_unreachable_until_s",
        "address",
        "cold_start",
        "configured_leaving",
        "connection_quota",
        "draining",
        "in_flight",
        "index_versions",
        "is_alone",
        "is_near",
        "name",
        "process_id",
        "running",
        "slots",
        "zone",
        "zone_in_service",
    )

    def __init__(
        self,
        name: str,
        entry: BackendServerEntry,
        now_s: float,
        policy: Policy | None = None,
        everywhere: SlowShare | None = None,
    ) -> None:
        self.name = name
        self.address = Address(entry.host, entry.port)
        self.zone = entry.zone
        self.connection_quota = connection_quota(entry.slots, entry.connection_limit)
        self.slots = min(entry.slots, self.connection_quota)
        self.in_flight = 0
        self.running: dict[str, int] = {}
        self.is_alone = False
        self.is_near = True
        self.zone_in_service = True
        self.configured_leaving = False
        self.draining = False
        self.process_id = ""
        self.index_versions: dict[str, list[int]] = {}
        self._policy = policy or Policy()
        self.cold_start = ColdStart(self.slots, now_s)
        if not self._policy.cold_start:
            self.cold_start.finish()
        self._limit = AdaptiveLimit(self.slots, is_fixed=not self._policy.adaptive_limit)
        self._trend = LatencyTrend(everywhere or SlowShare())
        self._configured_cold = False
        self._state_s = float("-inf")
        self._reported_cold = False
        self._drain_seen_s = float("-inf")
        self._drain_was_reported = False
        self._absent_since_s: float | None = None
        self._unreachable_until_s = 0.0
        self._paused_until_s = 0.0
        self._pause_s = FIRST_PAUSE_S
        self._answered_s = now_s

    @classmethod
    def from_config(
        cls,
        name: str,
        entry: BackendServerEntry,
        now_s: float,
        policy: Policy | None = None,
        everywhere: SlowShare | None = None,
    ) -> BackendServer:
        """Return a server as configured; it is cold until its own answers say otherwise."""
        server = cls(name, entry, now_s, policy, everywhere)
        server.reconfigure(entry, zone_in_service=True, now_s=now_s)
        return server

    def is_same(self, entry: BackendServerEntry) -> bool:
        """Return whether a changed entry still describes this server."""
        quota = connection_quota(entry.slots, entry.connection_limit)
        return (
            Address(entry.host, entry.port) == self.address
            and entry.zone == self.zone
            and quota == self.connection_quota
            and min(entry.slots, quota) == self.slots
        )

    def reconfigure(
        self, entry: BackendServerEntry, *, zone_in_service: bool, now_s: float
    ) -> None:
        """Take over what operators say of the server."""
        if entry.leaving and not self.configured_leaving:
            logger.notice("backend server {} is leaving: configured", self.name)
        self.configured_leaving = entry.leaving
        if zone_in_service and not self.zone_in_service:
            self.turn_cold("its zone is back in service", now_s)
        self.zone_in_service = zone_in_service
        if entry.cold and not self._configured_cold:
            self.turn_cold("configured", now_s)
        self._configured_cold = entry.cold

    def allowance(self) -> int:
        """Return how many calls may run at once."""
        return min(self.cold_start.allowance, self._limit.allowance, self.slots)

    def takes_work(self) -> bool:
        """Return whether the server is to get any new work."""
        return not (self.configured_leaving or self.draining) and self.zone_in_service

    def is_available(self, now_s: float) -> bool:
        """Return whether the server takes work and answers, if perhaps not at once."""
        return self.takes_work() and now_s >= self._unreachable_until_s

    def accepts(self, now_s: float) -> bool:
        """Return whether a call may start now."""
        return (
            self.in_flight < self.allowance()
            and not self.is_alone
            and now_s >= self._paused_until_s
            and self.is_available(now_s)
        )

    def pause_left_s(self, now_s: float) -> float:
        """Return how long no call may start because the last ones were refused."""
        return max(0.0, self._paused_until_s - now_s)

    def serves(self, collection: str, index_version: int) -> bool:
        """Return whether the server is thought to hold an index version.

        Before the first contact what is configured is believed.
        """
        if not self.process_id:
            return True
        return index_version in self.index_versions.get(collection, ())

    def expected_s(self, now_s: float) -> float:
        """Return the time to an answer that one more call may expect.

        Observed latency contains the way to another zone, which does not queue. A figure that
        was not renewed for a while loses its weight, so that the server is tried again.
        """
        way_s = 0.0 if self.is_near else ZONE_ROUND_TRIP_S
        work_s = max(self._trend.typical_s - way_s, way_s / 10)
        idle_s = now_s - self._answered_s
        if idle_s > STALE_LATENCY_S:
            work_s /= idle_s / STALE_LATENCY_S
        return way_s + work_s * (1.0 + self.in_flight / max(1, self.allowance()))

    def started(self, fingerprint: str) -> None:
        """Count a call that starts."""
        self.in_flight += 1
        self.running[fingerprint] = self.running.get(fingerprint, 0) + 1

    def withdrawn(self, fingerprint: str) -> None:
        """Take a call back that was counted as started and never made."""
        self._forget_call(fingerprint)

    def finished(
        self, fingerprint: str, query_class: str, result: CallResult, took_s: float, now_s: float
    ) -> None:
        """Learn from the end of a call."""
        self._forget_call(fingerprint)
        if isinstance(result, CallFailure):
            self._failed(result, query_class, took_s, now_s)
            return
        self._contacted(result.process_id, now_s)
        if isinstance(result, BackendRefusal):
            self._refused(result.reason, now_s)
        if result.state is not None:
            self._take_state(result.state, now_s)
        if isinstance(result, BackendAnswer):
            self._answered(query_class, took_s, now_s)

    def reported(self, state: ServerState, now_s: float) -> None:
        """Take over what the server's state endpoint tells."""
        self._contacted(state.process_id, now_s)
        self._take_state(state, now_s)

    def has_fresh_state(self, now_s: float, within_s: float) -> bool:
        """Return whether the server has told its state in the last ``within_s``."""
        return now_s - self._state_s < within_s

    def unreachable(self, now_s: float) -> None:
        """Learn that the server does not accept connections."""
        if self._absent_since_s is None:
            self._absent_since_s = now_s
        self._unreachable_until_s = now_s + UNREACHABLE_S

    def told_warm(self, process_id: str) -> None:
        """Learn from the former owner that a process of the server was warm.

        The limit starts low, since the former owner may still be using the server.
        """
        if self.cold_start.is_cold and process_id == self.process_id:
            logger.notice("backend server {} is warm: told by its former owner", self.name)
            self.cold_start.finish()
            self._limit.start_at(int(self.slots * HANDED_OVER_SHARE))

    def turn_cold(self, cause: str, now_s: float) -> None:
        """Begin a cold start."""
        if not self._policy.cold_start:
            return
        if not self.cold_start.is_cold:
            logger.notice("backend server {} is cold: {}", self.name, cause)
        self.cold_start.begin(now_s)
        self._trend.forget()

    def _forget_call(self, fingerprint: str) -> None:
        self.in_flight -= 1
        left = self.running[fingerprint] - 1
        if left:
            self.running[fingerprint] = left
        else:
            del self.running[fingerprint]

    def _contacted(self, process_id: str, now_s: float) -> None:
        self._unreachable_until_s = 0.0
        absent_since_s, self._absent_since_s = self._absent_since_s, None
        if process_id != self.process_id:
            known, self.process_id = self.process_id, process_id
            self.draining = self._drain_was_reported = self._reported_cold = False
            self.turn_cold("new process identity" if known else "first contact", now_s)
        elif absent_since_s is not None and now_s - absent_since_s >= ABSENCE_S:
            self.turn_cold("back after absence", now_s)

    def _take_state(self, state: ServerState, now_s: float) -> None:
        self._state_s = now_s
        self.index_versions = state.index_versions
        self._take_drain(state.state == "draining", now_s)
        is_cold = state.state == "cold"
        if is_cold and not self._reported_cold and self._policy.cold_start:
            self.turn_cold("reported", now_s)
            self.cold_start.hold(now_s)
        elif self._reported_cold and not is_cold:
            self.cold_start.release()
        self._reported_cold = is_cold

    def _take_drain(self, is_reported: bool, now_s: float) -> None:
        if is_reported:
            self._drain("reported", now_s)
            self._drain_was_reported = True
            return
        revoked = now_s - self._drain_seen_s >= DRAIN_REVOKED_AFTER_S
        if self.draining and self._drain_was_reported and revoked:
            logger.notice("backend server {} no longer drains: reported", self.name)
            self.draining = self._drain_was_reported = False

    def _drain(self, cause: str, now_s: float) -> None:
        if not self.draining:
            logger.notice("backend server {} is leaving: {}", self.name, cause)
        self.draining = True
        self._drain_seen_s = now_s

    def _failed(self, failure: CallFailure, query_class: str, took_s: float, now_s: float) -> None:
        if failure.fault is CallFault.CONNECTION_LIMIT:
            return
        if failure.fault is CallFault.TIMEOUT:
            if self._trend.is_slow(query_class, took_s):
                self._distressed("timeout", now_s)
            return
        self._distressed(failure.fault.value, now_s)
        if failure.fault is not CallFault.BAD_ANSWER:
            self.unreachable(now_s)

    def _refused(self, reason: str, now_s: float) -> None:
        if reason == "draining":
            self._drain("a call was refused", now_s)
        if reason in NO_DISTRESS_REASONS:
            return
        self._paused_until_s = now_s + self._pause_s
        self._pause_s = min(2 * self._pause_s, LONGEST_PAUSE_S)
        self._distressed(f"a call within its slots was refused as {reason}", now_s)
        self.turn_cold(f"a call within its slots was refused as {reason}", now_s)

    def _distressed(self, cause: str, now_s: float) -> None:
        self._limit.distressed(now_s)
        if self.cold_start.is_cold:
            self.turn_cold(cause, now_s)

    def _answered(self, query_class: str, took_s: float, now_s: float) -> None:
        self._answered_s = now_s
        self._pause_s = FIRST_PAUSE_S
        self._trend.observe(query_class, took_s)
        if not self.cold_start.is_cold:
            if self._trend.has_jumped:
                self.turn_cold("every call became slow at once", now_s)
                return
            if self._trend.has_grown:
                self._limit.latency_grew(now_s)
                return
        self._limit.answered(now_s)
        was_cold = self.cold_start.is_cold
        self.cold_start.answered(now_s)
        if was_cold and not self.cold_start.is_cold:
            logger.notice("backend server {} is warm: answered at its full load", self.name)


def connection_quota(slots: int, connection_limit: int) -> int:
    """Return how many connections one owner opens.

    Two processes that both think they own the server stay below its limit together.
    """
    return max(1, min(slots + 2, (connection_limit - 1) // 2))
