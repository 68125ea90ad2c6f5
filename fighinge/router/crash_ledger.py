"""The crashes and answers of requests, as far as any router knows of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fighinge.facts import FactKind
from fighinge.router.crash_evidence import CallAnswer, Crash, Quarantine
from fighinge.router.recent_keys import RecentKeys

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from fighinge.facts import Fact, FactBoard
    from fighinge.router.crash_evidence import SentCall

CRASHES_TO_SUSPECT = 2  # one crash takes along requests that have nothing to do with it
CRASHES_TO_QUARANTINE = 3  # of different servers
ANSWERED_TTL_S = 60.0  # popular requests are answered far more often
MAX_SERVERS = 10_000  # about a megabyte
MAX_REQUESTS = 4_096  # about a megabyte
NEVER_S = float("-inf")


class CrashLedger:
    """Crashes and answers by request fingerprint, on a board that routers share.

    Answers of this router stay here unless they outweigh a crash that any router has recorded.
    """

    __slots__ = ("_answered", "_board", "_requests_at", "last_suspect_s")

    def __init__(self, board: FactBoard) -> None:
        self._board = board
        self._answered = RecentKeys(ANSWERED_TTL_S, MAX_REQUESTS)
        self._requests_at: dict[str, set[str]] = {}
        self.last_suspect_s = NEVER_S  # when a request was sent that made it suspect
        board.listen(self._record_fact)

    def add_crash(self, call: SentCall, now_s: float, *, is_confirmed: bool = True) -> None:
        """Record that a server has ended under a call, or may have."""
        crash = Crash.from_call(call, is_confirmed=is_confirmed)
        self._board.add(crash.to_fact(call.fingerprint), now_s)

    def add_answer(self, call: SentCall, now_s: float) -> None:
        """Record that a call was answered; routers that know of earlier crashes are told."""
        key = (call.fingerprint, call.service)
        self._answered.add(key, max(call.started_s, self._answered.last_s(key, now_s)))
        if not self.may_have_facts(call.fingerprint):
            return
        published_s = self._published_answers(call.fingerprint, now_s).get(call.service, NEVER_S)
        outweighed_s = [
            crash.sent_s
            for crash in self._reported_crashes(call.fingerprint, now_s)
            if crash.service == call.service
        ]
        outweighed_s += [
            quarantine.sent_s
            for quarantine in self.quarantines(call.fingerprint, now_s)
            if call.service in quarantine.services
        ]
        if max(outweighed_s, default=NEVER_S) > published_s:
            answer = CallAnswer(call.service, call.started_s)
            self._board.add(answer.to_fact(call.fingerprint), now_s)

    def may_have_facts(self, fingerprint: str) -> bool:
        """Return whether a router may have recorded anything of a request; false is certain."""
        return self._board.may_have(fingerprint)

    def add_quarantine(self, fingerprint: str, quarantine: Quarantine, now_s: float) -> None:
        """Tell all routers not to send a request."""
        self._board.add(quarantine.to_fact(fingerprint), now_s)

    def quarantines(self, fingerprint: str, now_s: float) -> list[Quarantine]:
        """Return the decisions of any router not to send a request."""
        facts = self._board.facts(FactKind.QUARANTINE, fingerprint, now_s)
        return [Quarantine.from_fact(fact) for fact in facts]

    def crashes(self, fingerprint: str, now_s: float) -> list[Crash]:
        """Return the confirmed crashes under a request that any router has recorded."""
        reported = self._reported_crashes(fingerprint, now_s)
        return [crash for crash in reported if crash.is_confirmed]

    def last_answers_s(
        self, fingerprint: str, services: Collection[str], now_s: float
    ) -> dict[str, float]:
        """Return when the last call to each service that is known to be answered was sent."""
        published = self._published_answers(fingerprint, now_s)
        return {
            service: max(
                self._answered.last_s((fingerprint, service), now_s),
                published.get(service, NEVER_S),
            )
            for service in services
        }

    def was_answered(self, fingerprint: str, services: Collection[str], now_s: float) -> bool:
        """Return whether any of some services has answered the request shortly before."""
        last_s = self.last_answers_s(fingerprint, services, now_s)
        return any(at_s > now_s - ANSWERED_TTL_S for at_s in last_s.values())

    def unanswered_crashes(self, fingerprint: str, now_s: float) -> list[Crash]:
        """Return the confirmed crashes at services that have answered no later call."""
        return self._without_answered(self.crashes(fingerprint, now_s), fingerprint, now_s)

    def possible_crashes(self, fingerprint: str, now_s: float) -> list[Crash]:
        """Return the unanswered crashes, including those that are not confirmed."""
        reported = self._reported_crashes(fingerprint, now_s)
        return self._without_answered(reported, fingerprint, now_s)

    def _reported_crashes(self, fingerprint: str, now_s: float) -> list[Crash]:
        facts = self._board.facts(FactKind.LOSS, fingerprint, now_s)
        return [crash for fact in facts if (crash := Crash.from_fact(fact))]

    def _without_answered(
        self, crashes: list[Crash], fingerprint: str, now_s: float
    ) -> list[Crash]:
        if not crashes:
            return []
        last_s = self.last_answers_s(fingerprint, {crash.service for crash in crashes}, now_s)
        return [crash for crash in crashes if crash.sent_s > last_s[crash.service]]

    def unexplained_crashes(self, fingerprint: str, now_s: float) -> list[Crash]:
        """Return the unanswered crashes without those that another request explains better.

        A server has one cause of its crash. Of the requests that were in flight there and have
        crashed enough servers for a quarantine, it is the one whose last answer is longest ago; of
        those that were never answered, the one under which most servers crashed.
        """
        crashes = self.unanswered_crashes(fingerprint, now_s)
        own = self._cause_order(fingerprint, crashes, now_s)
        others = set().union(*(self._requests_at.get(crash.server, ()) for crash in crashes))
        likelier = set()
        for other in others - {fingerprint}:
            other_crashes = self.unanswered_crashes(other, now_s)
            is_candidate = count_servers(other_crashes) >= CRASHES_TO_QUARANTINE
            if is_candidate and self._cause_order(other, other_crashes, now_s) < own:
                likelier.add(other)
        return [
            crash for crash in crashes if not likelier & self._requests_at.get(crash.server, set())
        ]

    def crashes_of_other_cause(self, fingerprint: str, crash: Crash, now_s: float) -> int:
        """Return how many servers have ended under the likeliest other cause of a crash.

        Other causes are requests in flight at the server that were answered less recently; 0 if
        there is none.
        """
        services = {crash.service}
        own_s = self.last_answers_s(fingerprint, services, now_s)[crash.service]
        others = self._requests_at.get(crash.server, set()) - {fingerprint}
        counts = [
            count_servers(self.unanswered_crashes(other, now_s))
            for other in others
            if self.last_answers_s(other, services, now_s)[crash.service] < own_s
        ]
        return max(counts, default=0)

    def _cause_order(
        self, fingerprint: str, crashes: list[Crash], now_s: float
    ) -> tuple[float, int]:
        """Return a key that is lower for the request that caused a crash than for harmless ones."""
        services = {crash.service for crash in crashes}
        last_s = self.last_answers_s(fingerprint, services, now_s)
        return max(last_s.values(), default=NEVER_S), -count_servers(crashes)

    def _published_answers(self, fingerprint: str, now_s: float) -> dict[str, float]:
        """Return when the last answered call to each service was sent, as routers have told."""
        facts = self._board.facts(FactKind.LOSS, fingerprint, now_s)
        answers = [answer for fact in facts if (answer := CallAnswer.from_fact(fact))]
        last_s: dict[str, float] = {}
        for answer in answers:
            last_s[answer.service] = max(answer.sent_s, last_s.get(answer.service, NEVER_S))
        return last_s

    def _record_fact(self, fact: Fact) -> None:
        """Record which requests were in flight at a server that crashed.

        Routers that do not know yet that a request was answered shortly before are told.
        """
        if fact.kind is FactKind.QUARANTINE:
            self.last_suspect_s = max(self.last_suspect_s, Quarantine.from_fact(fact).sent_s)
        crash = Crash.from_fact(fact) if fact.kind is FactKind.LOSS else None
        if crash is None or not crash.is_confirmed:
            return
        self._requests_at.setdefault(crash.server, set()).add(fact.key)
        if len(self._requests_at) > MAX_SERVERS:
            del self._requests_at[next(iter(self._requests_at))]
        if count_servers(self.unanswered_crashes(fact.key, crash.sent_s)) >= CRASHES_TO_SUSPECT:
            self.last_suspect_s = max(self.last_suspect_s, crash.sent_s)
        answered_s = self._answered.last_s((fact.key, crash.service), crash.sent_s)
        if answered_s > self._published_answers(fact.key, crash.sent_s).get(crash.service, NEVER_S):
            answer = CallAnswer(crash.service, answered_s, is_reminder=True)
            self._board.add(answer.to_fact(fact.key), crash.sent_s)


def count_servers(crashes: Iterable[Crash]) -> int:
    """Return the number of runs of servers that have crashed."""
    return len({crash.server for crash in crashes})
