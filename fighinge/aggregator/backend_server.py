"""The state that an owner keeps of a backend server: identity, limits, drain and latency."""

from __future__ import annotations

from typing import TYPE_CHECKING

import logbook

from fighinge.aggregator.base import Address, CallFailure, CallFault
from fighinge.aggregator.cold_start import ColdStart
from fighinge.aggregator.concurrency import AdaptiveLimit
from fighinge.aggregator.latency import LatencyTrend, SlowCallFraction
from fighinge.aggregator.policy import Policy
from fighinge.messages import BackendAnswer, BackendRefusal

if TYPE_CHECKING:
    from fighinge.messages import ServerState
    from fighinge.model import BackendServerConfig

logger = logbook.Logger(__name__)

COLD_AFTER_OUTAGE_S = 2.0
UNREACHABLE_COOLDOWN_S = 5.0
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
DRAIN_REVOCATION_DELAY_S = 1.0
LATENCY_STALENESS_S = 5.0
INTER_ZONE_RTT_S = 0.003
HANDOVER_LIMIT_FRACTION = 0.5
NEUTRAL_REFUSAL_REASONS = frozenset({"cancelled", "deadline", "index_version", "draining"})

CallResult = BackendAnswer | BackendRefusal | CallFailure


class BackendServer:
    """The limits and health of a backend server.

    Results of this process's own calls take precedence over the server's reports.
    """

    __slots__ = (
        "_backoff_s",
        "_backoff_until_s",
        "_drain_was_reported",
        "_is_configured_cold",
        "_is_reported_cold",
        "_last_answer_s",
        "_last_drain_sign_s",
        "_last_state_s",
        "_limit",
        "_policy",
        "_trend",
        "_unreachable_since_s",
        "_unreachable_until_s",
        "address",
        "cold_start",
        "configured_leaving",
        "connection_quota",
        "draining",
        "in_flight",
        "in_flight_by_fingerprint",
        "index_versions",
        "is_reserved",
        "is_same_zone",
        "name",
        "process_id",
        "slots",
        "zone",
        "zone_in_service",
    )

    def __init__(
        self,
        name: str,
        config: BackendServerConfig,
        now_s: float,
        policy: Policy | None = None,
        slow_fraction: SlowCallFraction | None = None,
    ) -> None:
        self.name = name
        self.address = Address(config.host, config.port)
        self.zone = config.zone
        self.connection_quota = connection_quota(config.slots, config.connection_limit)
        self.slots = min(config.slots, self.connection_quota)
        self.in_flight = 0
        self.in_flight_by_fingerprint: dict[str, int] = {}
        self.is_reserved = False
        self.is_same_zone = True
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
        self._trend = LatencyTrend(slow_fraction or SlowCallFraction())
        self._is_configured_cold = False
        self._last_state_s = float("-inf")
        self._is_reported_cold = False
        self._last_drain_sign_s = float("-inf")
        self._drain_was_reported = False
        self._unreachable_since_s: float | None = None
        self._unreachable_until_s = 0.0
        self._backoff_until_s = 0.0
        self._backoff_s = INITIAL_BACKOFF_S
        self._last_answer_s = now_s

    @classmethod
    def from_config(
        cls,
        name: str,
        config: BackendServerConfig,
        now_s: float,
        policy: Policy | None = None,
        slow_fraction: SlowCallFraction | None = None,
    ) -> BackendServer:
        """Return a server as configured; it is cold until enough calls have been answered."""
        server = cls(name, config, now_s, policy, slow_fraction)
        server.reconfigure(config, zone_in_service=True, now_s=now_s)
        return server

    def matches(self, config: BackendServerConfig) -> bool:
        """Return whether a configuration has this server's address, data centre and limits."""
        quota = connection_quota(config.slots, config.connection_limit)
        return (
            Address(config.host, config.port) == self.address
            and config.zone == self.zone
            and quota == self.connection_quota
            and min(config.slots, quota) == self.slots
        )

    def reconfigure(
        self, config: BackendServerConfig, *, zone_in_service: bool, now_s: float
    ) -> None:
        """Apply the operators' settings of the server."""
        if config.leaving and not self.configured_leaving:
            logger.notice("backend server {} is draining: configured as leaving", self.name)
        self.configured_leaving = config.leaving
        if zone_in_service and not self.zone_in_service:
            self.begin_cold_start("its data centre is back in service", now_s)
        self.zone_in_service = zone_in_service
        if config.cold and not self._is_configured_cold:
            self.begin_cold_start("configured", now_s)
        self._is_configured_cold = config.cold

    def concurrency_limit(self) -> int:
        """Return how many calls may be in flight at once."""
        return min(self.cold_start.concurrency_limit, self._limit.concurrency_limit, self.slots)

    def is_eligible(self) -> bool:
        """Return whether the server is in service and not draining."""
        return not (self.configured_leaving or self.draining) and self.zone_in_service

    def is_available(self, now_s: float) -> bool:
        """Return whether the server is eligible and reachable; its slots may all be taken."""
        return self.is_eligible() and now_s >= self._unreachable_until_s

    def can_start_call(self, now_s: float) -> bool:
        """Return whether a call may start immediately."""
        return (
            self.in_flight < self.concurrency_limit()
            and not self.is_reserved
            and now_s >= self._backoff_until_s
            and self.is_available(now_s)
        )

    def backoff_left_s(self, now_s: float) -> float:
        """Return the remaining back-off after refused calls, in seconds."""
        return max(0.0, self._backoff_until_s - now_s)

    def serves(self, collection: str, index_version: int) -> bool:
        """Return whether the server holds an index version, by its last report.

        Before the first contact, it is assumed to hold every configured version.
        """
        if not self.process_id:
            return True
        return index_version in self.index_versions.get(collection, ())

    def expected_latency_s(self, now_s: float) -> float:
        """Return the expected latency of one more call, in seconds.

        The inter-zone round-trip time, a constant within the observed latency, does not grow with
        the load; the rest is taken as at least a tenth of it. A stale average is scaled down, so
        that the server is tried again.
        """
        rtt_s = 0.0 if self.is_same_zone else INTER_ZONE_RTT_S
        service_time_s = max(self._trend.ewma_s - rtt_s, rtt_s / 10)
        since_answer_s = now_s - self._last_answer_s
        if since_answer_s > LATENCY_STALENESS_S:
            service_time_s /= since_answer_s / LATENCY_STALENESS_S
        return rtt_s + service_time_s * (1.0 + self.in_flight / max(1, self.concurrency_limit()))

    def call_started(self, fingerprint: str) -> None:
        """Count a call that is about to be sent."""
        self.in_flight += 1
        self.in_flight_by_fingerprint[fingerprint] = (
            self.in_flight_by_fingerprint.get(fingerprint, 0) + 1
        )

    def call_withdrawn(self, fingerprint: str) -> None:
        """Uncount a call that was counted as started and never sent."""
        self._remove_call(fingerprint)

    def call_finished(
        self, fingerprint: str, query_class: str, result: CallResult, took_s: float, now_s: float
    ) -> None:
        """Update limits, health and latency with the result of a call."""
        self._remove_call(fingerprint)
        if isinstance(result, CallFailure):
            self._record_call_failure(result, query_class, took_s, now_s)
            return
        self._record_contact(result.process_id, now_s)
        if isinstance(result, BackendRefusal):
            self._record_refusal(result.reason, now_s)
        if result.state is not None:
            self._apply_state(result.state, now_s)
        if isinstance(result, BackendAnswer):
            self._record_answer(query_class, took_s, now_s)

    def state_reported(self, state: ServerState, now_s: float) -> None:
        """Apply a response of the server's state endpoint."""
        self._record_contact(state.process_id, now_s)
        self._apply_state(state, now_s)

    def has_fresh_state(self, now_s: float, within_s: float) -> bool:
        """Return whether the server has reported its state in the last ``within_s`` seconds."""
        return now_s - self._last_state_s < within_s

    def mark_unreachable(self, now_s: float) -> None:
        """Start no calls for a while after a connection was lost or could not be established."""
        if self._unreachable_since_s is None:
            self._unreachable_since_s = now_s
        self._unreachable_until_s = now_s + UNREACHABLE_COOLDOWN_S

    def warm_reported(self, process_id: str) -> None:
        """Skip the cold start of a process that its former owner reports as warm.

        The limit starts low, since the former owner may still be using the server.
        """
        if self.cold_start.is_cold and process_id == self.process_id:
            logger.notice("backend server {} is warm: reported by its former owner", self.name)
            self.cold_start.finish()
            self._limit.start_at(int(self.slots * HANDOVER_LIMIT_FRACTION))

    def begin_cold_start(self, cause: str, now_s: float) -> None:
        """Begin a cold start."""
        if not self._policy.cold_start:
            return
        if not self.cold_start.is_cold:
            logger.notice("backend server {} is cold: {}", self.name, cause)
        self.cold_start.restart(now_s)
        self._trend.reset()

    def _remove_call(self, fingerprint: str) -> None:
        self.in_flight -= 1
        left = self.in_flight_by_fingerprint[fingerprint] - 1
        if left:
            self.in_flight_by_fingerprint[fingerprint] = left
        else:
            del self.in_flight_by_fingerprint[fingerprint]

    def _record_contact(self, process_id: str, now_s: float) -> None:
        self._unreachable_until_s = 0.0
        unreachable_since_s, self._unreachable_since_s = self._unreachable_since_s, None
        if process_id != self.process_id:
            previous_id, self.process_id = self.process_id, process_id
            self.draining = self._drain_was_reported = self._is_reported_cold = False
            self.begin_cold_start("new process ID" if previous_id else "first contact", now_s)
        elif unreachable_since_s is not None and now_s - unreachable_since_s >= COLD_AFTER_OUTAGE_S:
            self.begin_cold_start("reachable again after an outage", now_s)

    def _apply_state(self, state: ServerState, now_s: float) -> None:
        self._last_state_s = now_s
        self.index_versions = state.index_versions
        self._apply_drain_report(state.state == "draining", now_s)
        is_cold = state.state == "cold"
        if is_cold and not self._is_reported_cold and self._policy.cold_start:
            self.begin_cold_start("reported", now_s)
            self.cold_start.hold_at_one_call(now_s)
        elif self._is_reported_cold and not is_cold:
            self.cold_start.release_hold()
        self._is_reported_cold = is_cold

    def _apply_drain_report(self, is_reported: bool, now_s: float) -> None:
        """Begin or revoke a drain as the server's state reports it.

        A report may be stuck, so it does not revoke a drain that only a refusal has shown.
        """
        if is_reported:
            self._begin_drain("reported", now_s)
            self._drain_was_reported = True
            return
        revoked = now_s - self._last_drain_sign_s >= DRAIN_REVOCATION_DELAY_S
        if self.draining and self._drain_was_reported and revoked:
            logger.notice("backend server {} is no longer draining: reported", self.name)
            self.draining = self._drain_was_reported = False

    def _begin_drain(self, cause: str, now_s: float) -> None:
        if not self.draining:
            logger.notice("backend server {} is draining: {}", self.name, cause)
        self.draining = True
        self._last_drain_sign_s = now_s

    def _record_call_failure(
        self, failure: CallFailure, query_class: str, took_s: float, now_s: float
    ) -> None:
        if failure.fault is CallFault.CONNECTION_LIMIT:
            return
        if failure.fault is CallFault.TIMEOUT:
            if self._trend.is_slow(query_class, took_s):
                self._record_overload_sign("timeout", now_s)
            return
        self._record_overload_sign(failure.fault.value, now_s)
        if failure.fault is not CallFault.BAD_ANSWER:
            self.mark_unreachable(now_s)

    def _record_refusal(self, reason: str, now_s: float) -> None:
        if reason == "draining":
            self._begin_drain("a call was refused", now_s)
        if reason in NEUTRAL_REFUSAL_REASONS:
            return
        self._backoff_until_s = now_s + self._backoff_s
        self._backoff_s = min(2 * self._backoff_s, MAX_BACKOFF_S)
        self._record_overload_sign(f"a call within its limit was refused as {reason}", now_s)
        self.begin_cold_start(f"a call within its limit was refused as {reason}", now_s)

    def _record_overload_sign(self, cause: str, now_s: float) -> None:
        self._limit.overloaded(now_s)
        if self.cold_start.is_cold:
            self.begin_cold_start(cause, now_s)

    def _record_answer(self, query_class: str, took_s: float, now_s: float) -> None:
        self._last_answer_s = now_s
        self._backoff_s = INITIAL_BACKOFF_S
        self._trend.observe(query_class, took_s)
        if not self.cold_start.is_cold:
            if self._trend.has_jumped:
                self.begin_cold_start("latency of all calls jumped", now_s)
                return
            if self._trend.has_grown:
                self._limit.latency_grew(now_s)
                return
        self._limit.call_answered(now_s)
        was_cold = self.cold_start.is_cold
        self.cold_start.call_answered(now_s)
        if was_cold and not self.cold_start.is_cold:
            logger.notice(
                "backend server {} is warm: answered at its full concurrency limit", self.name
            )


def connection_quota(slots: int, connection_limit: int) -> int:
    """Return the maximum number of connections that one owner opens.

    Two processes that both believe they own the server together stay below its limit.
    """
    return max(1, min(slots + 2, (connection_limit - 1) // 2))
