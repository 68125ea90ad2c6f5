"""Detection, across all routers, of requests that crash backend servers."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import msgspec

from fighinge.router.crash_evidence import Quarantine
from fighinge.router.crash_ledger import (
    CRASHES_TO_QUARANTINE,
    CRASHES_TO_SUSPECT,
    NEVER_S,
    CrashLedger,
    count_servers,
)
from fighinge.router.metrics import CRASH_EVIDENCE

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from fighinge.facts import FactBoard
    from fighinge.router.crash_evidence import Crash, SentCall
    from fighinge.router.decision_log import DecisionLog
    from fighinge.router.exchange import CallerRequest

CANARY_DURATION_S = 5.0  # requests that crash servers come in groups, and are repeated
CONFIRM_WINDOW_S = 3.0  # a later refused connection is a separate event
REPLACED_WINDOW_S = 10.0  # servers start again, and are listed, some seconds after their end
LEARNING_S = 5.0  # popular requests come to each router within this time
SETTLE_S = 1.0  # a crashing request beside a popular one is quarantined within this time
PROBES_BESIDE_OTHERS = 2  # another request rarely ends the servers of two probes
MAX_SERVERS = 10_000  # about a megabyte


class _Loss(msgspec.Struct):
    """A call that was lost or cancelled; not yet confirmed as a crash.

    With ``was_refused``, the server has refused a connection since, for whatever reason.
    """

    call: SentCall
    lost_s: float
    was_refused: bool = False


class CrashSuspects:
    """Counts the servers that crashed under a request, by its fingerprint.

    A lost connection alone proves no crash: a server that answers a later call has not crashed,
    and only one that has ended did. Nor does a crash prove that the request is its cause, since a
    server or data centre that fails for another reason takes along all requests in flight. So two
    crashes only make a request suspect, unless a server of the same service answers a later call.
    The next attempt of a suspect request is a probe, which gets one call; if a server crashes under
    that as well, and three have, the request is quarantined. So is a request of which a retry has
    ended one of three servers: it was sent after another server had crashed.

    An answer outweighs the crashes under calls that were sent before it, and no later ones: what a
    request does to a server may change with the data. A request that was answered shortly before
    is quarantined only by a probe that was sent some time after the first crash, when another
    request that crashed the servers under both has been found; by two, if a request that was
    answered less recently may have ended the server of the first one.

    A crash has one cause. It does not count against a request if another one that is more likely
    the cause was in flight at the server, see :meth:`CrashLedger.unexplained_crashes`.
    """

    __slots__ = ("_ledger", "_log", "_losses", "_on_quarantine", "_started_s")

    def __init__(
        self,
        board: FactBoard,
        log: DecisionLog,
        on_quarantine: Callable[[str], None] = lambda _fingerprint: None,
        started_s: float = NEVER_S,
    ) -> None:
        """Initialise without evidence.

        :param on_quarantine: called with the fingerprint of a request that is quarantined here
        :param started_s: when this router started; it cannot know answers of before
        """
        self._started_s = started_s
        self._ledger = CrashLedger(board)
        self._log = log
        self._on_quarantine = on_quarantine
        self._losses: dict[str, list[_Loss]] = {}

    def is_quarantined(self, fingerprint: str, now_s: float) -> bool:
        """Return whether the request crashed enough servers, as far as any router knows."""
        if not self._ledger.may_have_facts(fingerprint):
            return False
        for quarantine in self._ledger.quarantines(fingerprint, now_s):
            if self._applies(quarantine, fingerprint, now_s):
                return True
        if not self._has_enough_crashes(self._ledger.unanswered_crashes(fingerprint, now_s)):
            return False
        crashes = self._ledger.unexplained_crashes(fingerprint, now_s)
        if not self._has_enough_crashes(crashes):
            return False
        is_settled = self._is_settled(fingerprint, crashes, now_s)
        services = {crash.service for crash in crashes}
        was_answered = self._ledger.was_answered(fingerprint, services, now_s)
        if not is_settled and (was_answered or not self._has_proof(crashes, now_s)):
            return False
        quarantine = Quarantine.from_crashes(crashes, is_settled=is_settled)
        self._ledger.add_quarantine(fingerprint, quarantine, now_s)
        self._on_quarantine(fingerprint)
        return True

    def suspect_services(self, fingerprint: str, now_s: float) -> set[str]:
        """Return the services whose servers crashed under a suspect request, otherwise none."""
        if not self._ledger.may_have_facts(fingerprint):
            return set()
        crashes = self._ledger.possible_crashes(fingerprint, now_s)
        if count_servers(crashes) < CRASHES_TO_SUSPECT:
            return set()
        return {crash.service for crash in crashes}

    def needs_canary(self, fingerprint: str, services: Collection[str], now_s: float) -> bool:
        """Return whether a request should prove itself at one service before it goes to all.

        That is so while another request has ended servers shortly before, unless this one was
        answered recently.
        """
        if now_s - self._ledger.last_suspect_s > CANARY_DURATION_S:
            return False
        return not self._ledger.was_answered(fingerprint, services, now_s)

    def unanswered_since(
        self, fingerprint: str, services: Collection[str], since_s: float, now_s: float
    ) -> set[str]:
        """Return the services none of whose servers has answered a call sent after a time."""
        last_s = self._ledger.last_answers_s(fingerprint, services, now_s)
        return {service for service, at_s in last_s.items() if at_s < since_s}

    def describe(self, fingerprint: str, now_s: float) -> dict[str, object]:
        """Return what is known of a request, as fields of a log line."""
        crashes = self._ledger.crashes(fingerprint, now_s)
        unanswered = self._ledger.possible_crashes(fingerprint, now_s)
        services = {crash.service for crash in unanswered}
        return {
            "crashes": len(crashes),
            "unanswered": len(unanswered),
            "unconfirmed": sum(not crash.is_confirmed for crash in unanswered),
            "probes": sum(crash.is_probe for crash in unanswered),
            "services": len(services),
            "was_answered": self._ledger.was_answered(fingerprint, services, now_s),
            "age_s": round(now_s - max((crash.sent_s for crash in crashes), default=now_s), 3),
        }

    def record_lost_connection(self, call: SentCall, now_s: float) -> None:
        """Record that the connection of a call was lost before its response."""
        self._add_loss(call, "connection lost", now_s)

    def record_cancelled(self, call: SentCall, now_s: float) -> bool:
        """Record that a call was cancelled after it was sent.

        A request that has failed ends the servers of its other calls all the same.

        :returns: whether an end of the server would be evidence, as the request has lost calls
        """
        has_losses = any(
            loss.call.fingerprint == call.fingerprint
            for losses in self._losses.values()
            for loss in losses
        )
        if not has_losses and not self._ledger.possible_crashes(call.fingerprint, now_s):
            return False
        self._add_loss(call, "cancelled in flight", now_s)
        return True

    def _add_loss(self, call: SentCall, evidence: str, now_s: float) -> None:
        loss = _Loss(call, now_s)
        self._losses.setdefault(call.server, []).append(loss)
        if len(self._losses) > MAX_SERVERS:
            del self._losses[next(iter(self._losses))]
        self._write(evidence, loss, now_s)

    def has_unconfirmed_losses(self, server: str) -> bool:
        """Return whether calls were lost at a server that is not known to have crashed."""
        return server in self._losses

    def record_response(self, call: SentCall, now_s: float, *, was_run: bool) -> None:
        """Record that a call was answered.

        The server did not crash under calls that were lost before this one was sent. If it ran
        the request, calls that were sent before did not crash the servers of its service.
        """
        key = (call.fingerprint, call.service)
        if was_run:
            self._ledger.add_answer(call, now_s)
        for server in list(self._losses):
            kept = []
            for loss in self._losses[server]:
                if now_s - loss.lost_s > REPLACED_WINDOW_S:
                    self._write("expired before a confirmation", loss, now_s)
                elif (
                    server == call.server and loss.lost_s <= call.started_s and not loss.was_refused
                ):
                    self._write("withdrawn, the server answered", loss, now_s)
                elif (
                    was_run
                    and (loss.call.fingerprint, loss.call.service) == key
                    and loss.call.started_s <= call.started_s
                ):
                    self._write("withdrawn, a later call was answered", loss, now_s)
                else:
                    kept.append(loss)
            self._keep_losses(server, kept)

    def record_unclear_refusal(self, server: str, now_s: float) -> None:
        """Record that a server has ended, or that this router was cut off from it.

        If it answers later, it may have started again; only its record tells. Until then its losses
        make a request suspect at all routers, as many may come with it once servers are back.
        """
        for loss in self._losses.get(server, ()):
            if not loss.was_refused:
                loss.was_refused = True
                self._write("unclear, all servers refuse", loss, now_s)
                self._ledger.add_crash(loss.call, now_s, is_confirmed=False)

    def record_end(self, server: str, now_s: float) -> None:
        """Record that a server has ended, which confirms the crashes under calls lost there."""
        self._confirm(server, CONFIRM_WINDOW_S, "confirmed, the server has ended", now_s)

    def record_replaced(self, server: str, now_s: float) -> None:
        """Record that another run is listed at a server's address, so that the server has ended."""
        self._confirm(server, REPLACED_WINDOW_S, "confirmed, the server was replaced", now_s)

    def _confirm(self, server: str, window_s: float, evidence: str, now_s: float) -> None:
        """Count the calls that a server lost within a time as crashes, and keep the others."""
        losses = self._losses.pop(server, [])
        older = [loss for loss in losses if now_s - loss.lost_s > window_s]
        if older:
            self._losses[server] = older
        confirmed = [loss for loss in losses if now_s - loss.lost_s <= window_s]
        for loss in confirmed:
            self._write(evidence, loss, now_s)
            self._ledger.add_crash(loss.call, now_s)
        # Which of these requests has crashed the server depends on the crashes of the others.
        for loss in confirmed:
            self.is_quarantined(loss.call.fingerprint, now_s)

    def _applies(self, quarantine: Quarantine, fingerprint: str, now_s: float) -> bool:
        """Return whether a decision holds here, as far as is known of answers and other crashes."""
        was_answered = self._ledger.was_answered(fingerprint, quarantine.services, now_s)
        if was_answered and not quarantine.is_settled:
            return False
        if self._has_enough_crashes(self._ledger.unanswered_crashes(fingerprint, now_s)):
            crashes = self._ledger.unexplained_crashes(fingerprint, now_s)
            if not self._has_enough_crashes(crashes):
                return False
            if was_answered and not self._is_settled(fingerprint, crashes, now_s):
                return False
        last_s = self._ledger.last_answers_s(fingerprint, quarantine.services, now_s)
        return any(at_s < quarantine.sent_s for at_s in last_s.values())

    def _is_settled(self, fingerprint: str, crashes: Collection[Crash], now_s: float) -> bool:
        """Return whether probes that were sent some time after the first crash prove the cause.

        One does, unless another request may have ended its server; then it takes two. A probe does
        not count at a server with another request that is suspect as well.
        """
        settled_from_s = min(crash.sent_s for crash in crashes) + SETTLE_S
        unclear = []
        for crash in crashes:
            if crash.is_probe and crash.sent_s >= settled_from_s:
                others = self._ledger.crashes_of_other_cause(fingerprint, crash, now_s)
                if not others:
                    return True
                if others < CRASHES_TO_SUSPECT:
                    unclear.append(crash)
        return count_servers(unclear) >= PROBES_BESIDE_OTHERS

    def _has_proof(self, crashes: Iterable[Crash], now_s: float) -> bool:
        """Return whether a server crashed under a call that was sent after another had crashed.

        A router that has just started cannot know which requests were answered before, so that
        only a probe counts.
        """
        if now_s - self._started_s < LEARNING_S:
            return any(crash.is_probe for crash in crashes)
        return any(crash.follows_crash for crash in crashes)

    @staticmethod
    def _has_enough_crashes(crashes: Iterable[Crash]) -> bool:
        return count_servers(crashes) >= CRASHES_TO_QUARANTINE

    def _keep_losses(self, server: str, losses: list[_Loss]) -> None:
        if losses:
            self._losses[server] = losses
        else:
            del self._losses[server]

    def _write(self, evidence: str, loss: _Loss, now_s: float) -> None:
        CRASH_EVIDENCE.labels(evidence).inc()
        self._log.write(
            "crash evidence",
            evidence=evidence,
            fingerprint=loss.call.fingerprint,
            request=loss.call.request_id,
            server=loss.call.server,
            service=loss.call.service,
            probe=loss.call.is_probe,
            age_s=round(now_s - loss.lost_s, 3),
            crashes=len(self._ledger.crashes(loss.call.fingerprint, now_s)),
        )


def request_fingerprint(request: CallerRequest) -> str:
    """Return a hash that is equal for all callers' attempts of the same request."""
    digest = hashlib.blake2b(digest_size=12)
    for field in (request.method, request.host, request.target):
        digest.update(field.encode())
        digest.update(b"\0")
    digest.update(request.body)
    return digest.hexdigest()
