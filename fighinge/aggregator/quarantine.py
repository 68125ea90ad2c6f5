"""Quarantine of requests that may crash the backend servers that run them."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import logbook

from fighinge.facts import Fact, FactKind

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

logger = logbook.Logger(__name__)

QUARANTINE_TTL_S = 300.0
SUSPECT_TTL_S = 60.0
QUARANTINE_LOSSES = 2
PARTITION_WINDOW_S = 1.0
MIN_PARTITION_SERVERS = 3
MAX_FINGERPRINTS = 10_000


class Verdict(enum.Enum):
    """Whether requests with a fingerprint may run."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


class _Loss:
    """The loss of a backend server while a request with the fingerprint was in flight there."""

    __slots__ = ("expires_s", "is_confirmed")

    def __init__(self, expires_s: float, *, is_confirmed: bool) -> None:
        self.expires_s = expires_s
        self.is_confirmed = is_confirmed


class _UnresolvedLoss:
    """A lost connection that may be due to a crash or to the network."""

    __slots__ = ("fingerprints", "lost_at_s", "process_id")

    def __init__(self, process_id: str, fingerprints: frozenset[str], lost_at_s: float) -> None:
        self.process_id = process_id
        self.fingerprints = fingerprints
        self.lost_at_s = lost_at_s


class Quarantine:
    """Correlates lost connections with the requests that were in flight.

    One loss makes every request in flight at the server a suspect, which is probed on at most one
    more server that runs nothing else. Losses on two servers quarantine a fingerprint. A server
    that answers again with the same process ID did not crash, which withdraws its loss. While
    several servers without a common request are lost at once, a network partition is likely, and
    only confirmed losses count.
    """

    __slots__ = (
        "_losses",
        "_publish",
        "_quarantined_until_s",
        "_running_probes",
        "_unresolved_losses",
    )

    def __init__(self, publish: Callable[[Fact, float], object] | None = None) -> None:
        self._publish = publish or (lambda _fact, _now_s: None)
        self._losses: dict[str, dict[str, _Loss]] = {}
        self._unresolved_losses: dict[str, _UnresolvedLoss] = {}
        self._running_probes: set[str] = set()
        self._quarantined_until_s: dict[str, float] = {}

    def verdict(self, fingerprint: str, now_s: float) -> Verdict:
        """Return whether a request may run, alone if it is a suspect."""
        if fingerprint not in self._losses and fingerprint not in self._quarantined_until_s:
            return Verdict.CLEAR
        if self._quarantined_until_s.get(fingerprint, 0.0) > now_s:
            return Verdict.QUARANTINED
        losses = self._current_losses(fingerprint, now_s)
        if not losses:
            return Verdict.CLEAR
        is_partitioned = self._is_partitioned(now_s)
        counted = [loss for loss in losses.values() if loss.is_confirmed or not is_partitioned]
        if len(counted) >= QUARANTINE_LOSSES:
            return Verdict.QUARANTINED
        return Verdict.SUSPECT

    def lost_servers(self, fingerprint: str, now_s: float) -> set[str]:
        """Return the servers lost while a request with the fingerprint was in flight."""
        return set(self._current_losses(fingerprint, now_s))

    def begin_probe(self, fingerprint: str) -> bool:
        """Reserve the probe of a suspect and return whether none was running."""
        if fingerprint in self._running_probes:
            return False
        self._running_probes.add(fingerprint)
        return True

    def end_probe(self, fingerprint: str) -> None:
        """Release the reservation of a probe."""
        self._running_probes.discard(fingerprint)

    def record_loss(
        self, server: str, process_id: str, fingerprints: Iterable[str], now_s: float
    ) -> None:
        """Record a connection lost with requests in flight at a server."""
        in_flight = frozenset(fingerprints)
        existing = self._unresolved_losses.get(server)
        if existing is not None and existing.process_id == process_id:
            in_flight = in_flight | existing.fingerprints
        self._unresolved_losses[server] = _UnresolvedLoss(process_id, in_flight, now_s)
        for fingerprint in in_flight:
            self._add_loss(fingerprint, server, now_s + SUSPECT_TTL_S, is_confirmed=False)

    def resolve_loss(self, server: str, process_id: str | None, now_s: float) -> None:
        """Confirm or withdraw the loss of a server.

        :param process_id: the process ID that answers now, or none where nothing listens
        """
        lost = self._unresolved_losses.pop(server, None)
        if lost is None:
            return
        if process_id == lost.process_id:
            logger.info("backend server {} was unreachable but did not crash", server)
            for fingerprint in lost.fingerprints:
                self._withdraw_loss(fingerprint, server)
            return
        for fingerprint in lost.fingerprints:
            self._confirm_loss(fingerprint, server, now_s)

    def clear(self, fingerprint: str, servers: Iterable[str]) -> None:
        """Withdraw the losses of a request that a replica of the same shards has answered."""
        if fingerprint in self._losses:
            for server in servers:
                self._withdraw_loss(fingerprint, server)

    def apply_fact(self, fact: Fact, now_s: float) -> None:
        """Apply a fact published by another process."""
        if fact.kind is FactKind.LOSS:
            self._add_loss(fact.key, fact.value, fact.expires_s, is_confirmed=True)
        elif fact.kind is FactKind.QUARANTINE and fact.expires_s > now_s:
            self._quarantine(fact.key, fact.expires_s, fact.value)

    def _current_losses(self, fingerprint: str, now_s: float) -> dict[str, _Loss]:
        losses = self._losses.get(fingerprint, {})
        for server in [name for name, loss in losses.items() if loss.expires_s <= now_s]:
            self._withdraw_loss(fingerprint, server)
        return self._losses.get(fingerprint, {})

    def _is_partitioned(self, now_s: float) -> bool:
        """Return whether several servers without a common request were lost at once."""
        recent = [
            lost
            for lost in self._unresolved_losses.values()
            if now_s - lost.lost_at_s < PARTITION_WINDOW_S
        ]
        if len(recent) < MIN_PARTITION_SERVERS:
            return False
        return not frozenset.intersection(*(lost.fingerprints for lost in recent))

    def _add_loss(
        self, fingerprint: str, server: str, expires_s: float, *, is_confirmed: bool
    ) -> None:
        losses = self._losses.setdefault(fingerprint, {})
        existing = losses.get(server)
        if existing is None:
            losses[server] = _Loss(expires_s, is_confirmed=is_confirmed)
        else:
            existing.expires_s = max(existing.expires_s, expires_s)
            existing.is_confirmed = existing.is_confirmed or is_confirmed
        if len(self._losses) > MAX_FINGERPRINTS:
            del self._losses[next(iter(self._losses))]

    def _withdraw_loss(self, fingerprint: str, server: str) -> None:
        losses = self._losses.get(fingerprint)
        if losses is not None:
            losses.pop(server, None)
            if not losses:
                del self._losses[fingerprint]

    def _confirm_loss(self, fingerprint: str, server: str, now_s: float) -> None:
        loss = self._losses.get(fingerprint, {}).get(server)
        if loss is None:
            return
        loss.is_confirmed = True
        loss.expires_s = now_s + QUARANTINE_TTL_S
        self._publish(Fact(FactKind.LOSS, fingerprint, server, loss.expires_s), now_s)
        confirmed = [
            name for name, other in self._losses[fingerprint].items() if other.is_confirmed
        ]
        if len(confirmed) >= QUARANTINE_LOSSES:
            reason = f"in flight when {', '.join(sorted(confirmed))} were lost"
            self._quarantine(fingerprint, loss.expires_s, reason)
            self._publish(Fact(FactKind.QUARANTINE, fingerprint, reason, loss.expires_s), now_s)

    def _quarantine(self, fingerprint: str, until_s: float, reason: str) -> None:
        if fingerprint not in self._quarantined_until_s:
            logger.warning("request {} is quarantined: {}", fingerprint, reason)
        existing_until_s = self._quarantined_until_s.get(fingerprint, 0.0)
        self._quarantined_until_s[fingerprint] = max(existing_until_s, until_s)
        if len(self._quarantined_until_s) > MAX_FINGERPRINTS:
            del self._quarantined_until_s[next(iter(self._quarantined_until_s))]
