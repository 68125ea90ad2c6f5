"""The first call, hedge and retry for shards with the same replicas, and their cancellation."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from fighinge.aggregator.admission_queue import Refused, Waiter, eligible_replicas
from fighinge.aggregator.base import CallFault, proves_not_sent
from fighinge.aggregator.quarantine import Verdict
from fighinge.errors import ErrorKind, Failure
from fighinge.messages import (
    Attempt,
    BackendAnswer,
    BackendRefusal,
    GroupOutcome,
    ShardMissing,
)

if TYPE_CHECKING:
    from fighinge.aggregator.backend_server import BackendServer, CallResult
    from fighinge.aggregator.replica_group import ReplicaGroup
    from fighinge.messages import SubQuery

MIN_HEDGE_RECHECK_S = 0.001
PROBE_RETRY_AFTER_S = 1.0
BUDGET_EXEMPT_REASONS = frozenset({"draining", "index_version"})
CANCELLED = "cancelled"
ERROR_KIND_BY_FAULT = {
    CallFault.NOT_CONNECTED: ErrorKind.NO_REPLICA,
    CallFault.CONNECTION_LIMIT: ErrorKind.OVERLOADED,
    CallFault.CONNECTION_LOST: ErrorKind.BACKEND_LOST,
    CallFault.TIMEOUT: ErrorKind.DEADLINE_EXCEEDED,
    CallFault.BAD_ANSWER: ErrorKind.BACKEND_FAULT,
}


class InFlightCall:
    """A call that was sent and has not ended."""

    __slots__ = ("attempt", "call_id", "server")

    def __init__(self, server: BackendServer, call_id: str, attempt: Attempt) -> None:
        self.server = server
        self.call_id = call_id
        self.attempt = attempt


class ShardBatchRun:
    """Queries shards with the same replicas until they are answered or no retry is allowed."""

    __slots__ = (
        "_budget",
        "_calls",
        "_deadline_s",
        "_group",
        "_hedge_at_s",
        "_is_probe",
        "_pending_shards",
        "_replicas",
        "_started_s",
        "_sub_query",
        "_tried",
        "outcome",
    )

    def __init__(
        self,
        group: ReplicaGroup,
        sub_query: SubQuery,
        replicas: list[BackendServer],
        shards: tuple[str, ...],
        deadline_s: float,
    ) -> None:
        self.outcome = GroupOutcome(group=group.name)
        self._group = group
        self._sub_query = sub_query
        self._replicas = replicas
        self._pending_shards = shards
        self._deadline_s = deadline_s
        self._budget = group.budgets.for_class(sub_query.query_class)
        self._calls: dict[asyncio.Task[CallResult], InFlightCall] = {}
        self._tried: set[str] = set()
        self._hedge_at_s: float | None = None
        self._is_probe = False
        self._started_s = group.clock()

    async def run(self) -> GroupOutcome:
        """Return the outcome and cancel the calls still in flight at their servers."""
        try:
            refused = await self._start_first()
            while refused is None:
                result = await self._next_result()
                if isinstance(result, BackendAnswer) and self._merge_answer(result):
                    return self.outcome
                if not self._calls:
                    refused = await self._retry(result)
            return self._fail(refused)
        finally:
            self._cancel_calls()

    async def _start_first(self) -> Refused | None:
        """Start the first call and return none, or why it was not started."""
        verdict = self._group.quarantine.verdict(self._sub_query.fingerprint, self._started_s)
        if verdict is Verdict.QUARANTINED:
            return _refuse_quarantined("the request is quarantined")
        candidates = self._candidates()
        if not candidates:
            return Refused(Failure(ErrorKind.NO_REPLICA, "no replica serves the index version"))
        if verdict is Verdict.SUSPECT or self._sub_query.is_suspect:
            return await self._start_probe(candidates, "first")
        server = await self._acquire(candidates)
        if isinstance(server, Refused):
            return server
        self._start_call(server, "first")
        return None

    async def _next_result(self) -> CallResult:
        """Return the result of the next call to end, an answer first if several have ended.

        Meanwhile, start the hedge when its delay expires.
        """
        while True:
            done, _running = await asyncio.wait(
                self._calls, timeout=self._hedge_timeout_s(), return_when=asyncio.FIRST_COMPLETED
            )
            if not done:
                self._start_hedge()
                continue
            ended = min(done, key=lambda task: not isinstance(task.result(), BackendAnswer))
            call, result = self._calls.pop(ended), ended.result()
            self._finish_call(call, result)
            return result

    def _merge_answer(self, answer: BackendAnswer) -> bool:
        """Merge an answer into the outcome and return whether every shard is answered."""
        unanswered = set(self._pending_shards)
        results = [result for result in answer.parts if result.shard in unanswered]
        self.outcome.parts.extend(results)
        unanswered.difference_update(result.shard for result in results)
        if not unanswered:
            return True
        self._pending_shards = tuple(shard for shard in self._pending_shards if shard in unanswered)
        self.outcome.missing = [item for item in answer.missing if item.shard in unanswered]
        return False

    async def _retry(self, result: CallResult) -> Refused | None:
        """Retry on another replica if that is safe and within the retry budget.

        :returns: why no retry was started, or none if one was
        """
        failure = _to_failure(result)
        final = Refused(failure, self.outcome.retry_after_s)
        if self._is_probe or not self._may_retry(result):
            return final
        now_s = self._group.clock()
        verdict = self._group.quarantine.verdict(self._sub_query.fingerprint, now_s)
        if verdict is Verdict.QUARANTINED:
            return _refuse_quarantined(
                "the request was in flight when two backend servers were lost"
            )
        candidates = self._candidates()
        if not candidates or now_s >= self._deadline_s or not self._is_within_budget(result):
            return final
        if verdict is Verdict.SUSPECT:
            refused = await self._start_probe(candidates, "retry")
            return final if refused is not None else None
        server = await self._acquire(candidates)
        if isinstance(server, Refused):
            return Refused(failure, server.retry_after_s)
        self._start_call(server, "retry")
        return None

    def _may_retry(self, result: CallResult) -> bool:
        """Return whether a retry cannot run a non-idempotent request twice."""
        return self._sub_query.repeatable or proves_not_sent(result)

    def _is_within_budget(self, result: CallResult) -> bool:
        """Return whether the budget allows a retry; one after a call that did no work is exempt."""
        is_exempt = proves_not_sent(result) or (
            isinstance(result, BackendRefusal) and result.reason in BUDGET_EXEMPT_REASONS
        )
        return is_exempt or not self._group.policy.limited_retries or self._budget.spend()

    async def _start_probe(self, candidates: list[BackendServer], reason: str) -> Refused | None:
        """Run a suspect request on a server that runs nothing else."""
        fingerprint = self._sub_query.fingerprint
        quarantine = self._group.quarantine
        lost = quarantine.lost_servers(fingerprint, self._group.clock())
        candidates = [server for server in candidates if server.name not in lost]
        if not quarantine.begin_probe(fingerprint):
            return _refuse_quarantined(
                "the request may crash backend servers and its probe is still running"
            )
        self._is_probe = True
        try:
            server = await self._group.reserve_idle_server(candidates, self._deadline_s)
        except BaseException:
            quarantine.end_probe(fingerprint)
            raise
        if server is None:
            quarantine.end_probe(fingerprint)
            return _refuse_quarantined(
                "the request may crash backend servers and none was idle for a probe"
            )
        server.call_started(fingerprint)
        self._start_call(server, reason)
        return None

    def _candidates(self) -> list[BackendServer]:
        return [
            server
            for server in eligible_replicas(
                self._replicas, self._sub_query.collection, self._sub_query.index_version
            )
            if server.name not in self._tried
        ]

    async def _acquire(self, candidates: list[BackendServer]) -> BackendServer | Refused:
        sub_query = self._sub_query
        waiter = Waiter(
            sub_query.query_class,
            sub_query.tenant,
            sub_query.fingerprint,
            self._deadline_s,
            candidates,
        )
        return await self._group.acquire(waiter)

    def _start_call(self, server: BackendServer, reason: str) -> None:
        """Start a call whose slot is reserved."""
        now_s = self._group.clock()
        attempt = Attempt(
            backend_server=server.name,
            shards=len(self._pending_shards),
            reason=reason,
            started_ms=(now_s - self._started_s) * 1000,
            took_ms=0.0,
            result="running",
        )
        self.outcome.attempts.append(attempt)
        self._tried.add(server.name)
        if reason == "first":
            self._budget.earn()
        call_id = self._group.next_call_id()
        task = self._group.start_call(
            server,
            call_id,
            self._sub_query,
            self._pending_shards,
            self._deadline_s,
            is_probe=self._is_probe,
        )
        self._calls[task] = InFlightCall(server, call_id, attempt)
        if reason == "first" and self._sub_query.repeatable and not self._is_probe:
            delay_s = self._group.hedge_delay_s(self._sub_query.query_class)
            self._hedge_at_s = None if delay_s is None else now_s + delay_s

    def _hedge_timeout_s(self) -> float | None:
        if self._hedge_at_s is None:
            return None
        return max(0.0, self._hedge_at_s - self._group.clock())

    def _start_hedge(self) -> None:
        """Start a hedged call if a slot is free, no call is queued and the retry budget allows it.

        Suspect and quarantined requests are never hedged.
        """
        now_s = self._group.clock()
        if self._group.quarantine.verdict(self._sub_query.fingerprint, now_s) is not Verdict.CLEAR:
            self._hedge_at_s = None
            return
        free = [server for server in self._candidates() if server.can_start_call(now_s)]
        if not free or not self._group.has_empty_queue or not self._budget.spend():
            delay_s = self._group.hedge_delay_s(self._sub_query.query_class) or 0.0
            self._hedge_at_s = now_s + max(MIN_HEDGE_RECHECK_S, delay_s)
            return
        self._hedge_at_s = None
        server = self._group.chooser.choose(free, now_s)
        server.call_started(self._sub_query.fingerprint)
        self._start_call(server, "hedge")

    def _finish_call(self, call: InFlightCall, result: CallResult) -> None:
        call.attempt.took_ms = (
            self._group.clock() - self._started_s
        ) * 1000 - call.attempt.started_ms
        call.attempt.result = _result_name(result)
        if not proves_not_sent(result):
            self.outcome.sent = True

    def _cancel_calls(self) -> None:
        """Cancel the calls in flight at their servers."""
        now_ms = (self._group.clock() - self._started_s) * 1000
        for call in self._calls.values():
            self.outcome.sent = True
            call.attempt.result = CANCELLED
            call.attempt.took_ms = now_ms - call.attempt.started_ms
            self._group.cancel_call(call.server, call.call_id)
        self._calls.clear()

    def _fail(self, refused: Refused) -> GroupOutcome:
        outcome = self.outcome
        explained = {item.shard for item in outcome.missing}
        outcome.missing.extend(
            ShardMissing(shard, refused.failure.kind, refused.failure.reason)
            for shard in self._pending_shards
            if shard not in explained
        )
        outcome.retry_after_s = refused.retry_after_s
        return outcome


def _to_failure(result: CallResult) -> Failure:
    if isinstance(result, BackendAnswer):
        return Failure(ErrorKind.NO_REPLICA, "the replica's answer lacks the shard")
    if isinstance(result, BackendRefusal):
        if result.reason == "index_version":
            return Failure(ErrorKind.SNAPSHOT_GONE, "the replica no longer holds the index version")
        return Failure(
            ErrorKind.BACKEND_SHED, f"the backend server refused the call: {result.reason}"
        )
    return Failure(ERROR_KIND_BY_FAULT[result.fault], result.reason)


def _refuse_quarantined(reason: str) -> Refused:
    return Refused(Failure(ErrorKind.QUARANTINED, reason), PROBE_RETRY_AFTER_S)


def _result_name(result: CallResult) -> str:
    if isinstance(result, BackendAnswer):
        return "answered"
    if isinstance(result, BackendRefusal):
        return result.reason
    return result.fault.value
