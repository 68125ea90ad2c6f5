"""Execution of one query: sends sub-queries, retries at other owners and collects results."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from fighinge.entry.canary import CanaryDecision
from fighinge.entry.merge import ShardResultCollector
from fighinge.entry.sub_query_call import SubQueryCall
from fighinge.errors import ErrorKind
from fighinge.messages import GroupShards, SubQuery, failed_group
from fighinge.queries import GroupTrace

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from fighinge.entry.canary import CanaryRun
    from fighinge.entry.coverage import EarlyAnswerRule
    from fighinge.entry.query_parameters import QueryParameters, QueryRunContext
    from fighinge.entry.query_plan import PlannedGroup, QueryPlan
    from fighinge.messages import GroupOutcome
    from fighinge.model import Snapshot

NEXT_OWNER_KINDS = frozenset(
    {ErrorKind.NOT_OWNER, ErrorKind.STOPPING, ErrorKind.NOT_READY, ErrorKind.ZONE_OUT}
)
UNSERVED_KINDS = frozenset({ErrorKind.SNAPSHOT_GONE, ErrorKind.NO_REPLICA})
DELETED_KINDS = frozenset({ErrorKind.SNAPSHOT_GONE})
REPLAN_UNSERVED_FRACTION = 0.1
# An owner times out after a multiple of the 95th percentile of response times, bounded below by a
# minimum and above by a fraction of the time to the deadline.
OWNER_TIMEOUT_MAX_FRACTION = 0.3
OWNER_TIMEOUT_P95_FACTOR = 4.0
OWNER_TIMEOUT_MIN_S = 0.02
MIN_WAIT_S = 0.0001  # prevents a busy loop if the next check is already due


class QueryRun:
    """Collect the shard results of one query until all groups have answered or the deadline passes.

    ``sent`` is false only while it is certain that the request was sent to no backend server.
    Once many shards are no longer served at the snapshot, ``find_replacement_snapshot`` is called;
    if it returns a snapshot, that becomes ``replacement_snapshot`` and the run ends at once.
    """

    __slots__ = (
        "_calls",
        "_canary",
        "_checked_unserved_fraction",
        "_context",
        "_deadline_s",
        "_done",
        "_early_answer_rule",
        "_next_owner_index",
        "_owner_timeout_s",
        "_parameters",
        "_pending_since_s",
        "_plan",
        "_unsent_groups",
        "collector",
        "find_replacement_snapshot",
        "replacement_snapshot",
        "retry_after_s",
        "sent",
        "snapshot",
        "traces",
    )

    def __init__(
        self,
        parameters: QueryParameters,
        plan: QueryPlan,
        context: QueryRunContext,
        deadline_s: float,
        rule: EarlyAnswerRule | None = None,
        canary: CanaryRun | None = None,
    ) -> None:
        search = parameters.search
        self.snapshot = plan.snapshot
        self.collector = ShardResultCollector(
            plan.snapshot, search.limit, descending=search.descending
        )
        self.traces: list[GroupTrace] = []
        self.sent = False
        self.retry_after_s = 0.0
        self.find_replacement_snapshot: Callable[[QueryRun], Snapshot | None] | None = None
        self.replacement_snapshot: Snapshot | None = None
        self._parameters = parameters
        self._plan = plan
        self._context = context
        self._deadline_s = deadline_s
        self._early_answer_rule = rule
        self._canary = canary
        self._unsent_groups = {name for name, group in plan.groups.items() if group.owners}
        self._owner_timeout_s = 0.0
        self._checked_unserved_fraction = 0.0
        self._pending_since_s = dict.fromkeys(plan.groups, 0.0)
        self._next_owner_index: dict[str, int] = {}
        self._calls: dict[int, SubQueryCall] = {}
        self._done = asyncio.Event()

    @property
    def fingerprint(self) -> str:
        """Return the fingerprint, which is equal for each resend of the query."""
        return self._parameters.fingerprint

    @property
    def is_unserved(self) -> bool:
        """Return whether the unserved fraction is high enough to replan the query."""
        return self.unserved_fraction >= REPLAN_UNSERVED_FRACTION

    @property
    def is_snapshot_deleted(self) -> bool:
        """Return whether backend servers have deleted the snapshot of many shards."""
        count = len(self.snapshot.shards)
        return self.collector.count_missing(DELETED_KINDS) >= REPLAN_UNSERVED_FRACTION * count

    @property
    def servable_fraction(self) -> float:
        """Return the fraction of the shards that may still be served at the snapshot."""
        return 1 - self.unserved_fraction

    @property
    def unserved_fraction(self) -> float:
        """Return the fraction of the shards that no replica serves at the snapshot."""
        return self.collector.count_missing(UNSERVED_KINDS) / len(self.snapshot.shards)

    async def run(self) -> None:
        """Send the sub-queries and wait for all groups, an early answer or the deadline."""
        started_s = self._context.clock()
        remaining_s = self._deadline_s - started_s
        self._owner_timeout_s = min(
            OWNER_TIMEOUT_MAX_FRACTION * remaining_s,
            max(
                OWNER_TIMEOUT_MIN_S, OWNER_TIMEOUT_P95_FACTOR * self._context.response_times.p95_s()
            ),
        )
        self._pending_since_s = dict.fromkeys(self._plan.groups, started_s)
        canary = None
        if self._canary is None:
            self._send_planned()
        else:
            canary = asyncio.create_task(self._send_after_canary(self._canary))
        try:
            await self._wait(started_s)
        finally:
            if canary is not None:
                canary.cancel()
            self.cancel()

    def cancel(self) -> None:
        """Cancel the calls in flight, which may have reached backend servers."""
        now_s = self._context.clock()
        for call in self._calls.values():
            self.sent = True
            self._context.links.link(call.aggregator).cancel(call.number)
        self._calls.clear()
        for group, sent_s in self._pending_since_s.items():
            self._context.response_times.observe(group, now_s - sent_s, answered=False)

    def on_outcome(
        self, call: SubQueryCall, shards: tuple[str, ...], outcome: GroupOutcome
    ) -> None:
        """Handle the outcome of one group.

        :param shards: shards of the group that the call requested
        """
        now_s = self._context.clock()
        self._context.response_times.record_response(call.aggregator, now_s)
        self.sent = self.sent or outcome.sent
        if outcome.group not in self._pending_since_s:
            return
        self.retry_after_s = max(self.retry_after_s, outcome.retry_after_s)
        self.traces.append(
            GroupTrace(outcome.group, call.aggregator, call.takeover, outcome.attempts)
        )
        if self._is_retryable(outcome) and self._has_next_owner(outcome.group):
            self._send_to_next_owners([outcome.group], takeover=True)
            return
        if self._canary is not None:
            self._canary.on_outcome(outcome)
        self._collect(shards, outcome)
        if not outcome.parts and self._has_open_call(outcome.group):
            return
        took_s = now_s - self._pending_since_s[outcome.group]
        self._context.response_times.observe(outcome.group, took_s, answered=True)
        self._finish_group(outcome.group)

    def on_link_lost(self, call: SubQueryCall, *, sent: bool) -> None:
        """Retry the unanswered groups of a lost call at their next owners, if that is safe."""
        self._calls.pop(call.number, None)
        self.sent = self.sent or sent
        unanswered = [group for group in call.pending_groups if group in self._pending_since_s]
        if call.is_replaced or not unanswered:
            return
        if sent and not self._parameters.is_idempotent:
            reason = f"lost the connection to aggregator {call.aggregator}"
            for group in unanswered:
                self._fail_group(group, ErrorKind.OUTCOME_UNKNOWN, reason)
            return
        self._send_to_next_owners(unanswered, takeover=True)

    def remove_call(self, number: int) -> None:
        """Remove a call whose groups have all answered."""
        self._calls.pop(number, None)

    async def _wait(self, now_s: float) -> None:
        """Wait until done, checking owner timeouts and the soft deadline."""
        while not self._done.is_set() and now_s < self._deadline_s:
            try:
                async with asyncio.timeout(self._next_check_s(now_s) - now_s):
                    await self._done.wait()
            except TimeoutError:
                pass
            now_s = self._context.clock()
            if not self._done.is_set():
                self._check_progress(now_s)

    def _next_check_s(self, now_s: float) -> float:
        check_s = self._deadline_s
        if self._early_answer_rule is not None:
            soft_s = max(
                self._early_answer_rule.soft_deadline_s, now_s + self._early_answer_rule.recheck_s
            )
            check_s = min(check_s, soft_s)
        if self._parameters.is_idempotent:
            timeouts_s = [
                call.sent_s + self._owner_timeout_s
                for call in self._calls.values()
                if not call.timeout_checked
            ]
            check_s = min([check_s, *timeouts_s])
        return max(check_s, now_s + MIN_WAIT_S)

    def _check_progress(self, now_s: float) -> None:
        if self._allows_early_answer(now_s):
            self._done.set()
            return
        if not self._parameters.is_idempotent:
            return
        for call in list(self._calls.values()):
            if not call.timeout_checked and now_s >= call.sent_s + self._owner_timeout_s:
                call.timeout_checked = True
                self._retry_unresponsive(call)

    def _allows_early_answer(self, now_s: float) -> bool:
        rule = self._early_answer_rule
        if rule is None or now_s < rule.soft_deadline_s:
            return False
        horizon_s = rule.horizon_s(now_s)
        max_probability = max(
            self._context.response_times.response_probability(
                group, now_s - sent_s, horizon_s, rule.default_probability
            )
            for group, sent_s in self._pending_since_s.items()
        )
        return rule.allows_answer(self.collector.included_fraction, max_probability, now_s)

    def _retry_unresponsive(self, call: SubQueryCall) -> None:
        """Retry at the next owners if no outcome of the aggregator arrived since the call."""
        if not self._context.response_times.has_no_response_since(call.aggregator, call.sent_s):
            return
        groups = [
            group
            for group in call.pending_groups
            if group in self._pending_since_s and self._has_next_owner(group)
        ]
        if groups and self._context.budget.spend(len(groups)):
            call.is_replaced = True
            self._send_to_next_owners(groups, takeover=True)

    def _is_retryable(self, outcome: GroupOutcome) -> bool:
        if outcome.sent or outcome.parts or not outcome.missing:
            return False
        return all(missing.kind in NEXT_OWNER_KINDS for missing in outcome.missing)

    def _collect(self, shards: tuple[str, ...], outcome: GroupOutcome) -> None:
        requested = set(shards)
        for result in outcome.parts:
            if result.shard in requested:
                self.collector.add_result(result)
        for missing in outcome.missing:
            if missing.shard in requested:
                self.collector.add_missing(missing)
        if len(outcome.parts) < len(shards):
            answered = {result.shard for result in outcome.parts}
            self.collector.add_unexplained(shard for shard in shards if shard not in answered)
        if self.find_replacement_snapshot is not None:
            self._check_unserved()

    def _check_unserved(self) -> None:
        """Look for another snapshot whenever a further ``REPLAN_UNSERVED_FRACTION`` is unserved."""
        unserved_fraction = self.unserved_fraction
        if unserved_fraction < self._checked_unserved_fraction + REPLAN_UNSERVED_FRACTION:
            return
        self._checked_unserved_fraction = unserved_fraction
        self.replacement_snapshot = self.find_replacement_snapshot(self)
        if self.replacement_snapshot is not None:
            self._done.set()

    def _has_open_call(self, group: str) -> bool:
        """Return whether a call in flight includes the group."""
        return any(group in call.pending_groups for call in self._calls.values())

    def _has_next_owner(self, group: str) -> bool:
        return self._next_owner_index.get(group, 1) < len(self._plan.groups[group].owners)

    async def _send_after_canary(self, canary: CanaryRun) -> None:
        """Send the canary, and the other groups once the canary releases them."""
        decision = await canary.run(self._send_canary)
        if decision is CanaryDecision.RELEASED:
            self._send_planned()
            return
        reason = (
            "not sent, because backend servers of another group were lost while running the request"
        )
        for group in self._unsent_groups | set(self._plan.unowned_groups):
            self._fail_group(group, ErrorKind.QUARANTINED, reason)

    def _send_canary(self, group: str) -> None:
        planned = self._plan.groups[group]
        self._unsent_groups.discard(group)
        self._pending_since_s[group] = self._context.clock()
        self._send_sub_query(planned.owners[0], (planned.group_shards,), takeover=False)

    def _send_planned(self) -> None:
        """Send the groups that were not sent yet to their owners."""
        for group in self._plan.unowned_groups:
            self._fail_group(group, ErrorKind.OWNER_UNREACHABLE, "no aggregator accepts new work")
        now_s = self._context.clock()
        for owner, planned in self._plan.groups_by_owner.items():
            unsent = tuple(shards for shards in planned if shards.group in self._unsent_groups)
            self._pending_since_s.update((shards.group, now_s) for shards in unsent)
            if unsent:
                self._send_sub_query(owner, unsent, takeover=False)
        self._unsent_groups.clear()

    def _send_to_next_owners(self, groups: Iterable[str], *, takeover: bool) -> None:
        by_owner: dict[str, list[GroupShards]] = {}
        for group in groups:
            planned: PlannedGroup = self._plan.groups[group]
            index = self._next_owner_index.get(group, 1)
            if index >= len(planned.owners):
                self._fail_group(
                    group, ErrorKind.OWNER_UNREACHABLE, "no other candidate aggregator is left"
                )
                continue
            self._next_owner_index[group] = index + 1
            by_owner.setdefault(planned.owners[index], []).append(planned.group_shards)
        for owner, owned in by_owner.items():
            self._send_sub_query(owner, tuple(owned), takeover=takeover)

    def _send_sub_query(
        self, owner: str, groups: tuple[GroupShards, ...], *, takeover: bool
    ) -> None:
        parameters = self._parameters
        now_s = self._context.clock()
        number = self._context.next_call_number()
        sub_query = SubQuery(
            call=number,
            request_id=parameters.request_id,
            service=parameters.service,
            collection=parameters.collection,
            index_version=self.snapshot.index_version,
            query_class=parameters.query_class,
            tenant=parameters.tenant,
            groups=groups,
            search=parameters.search,
            remaining_s=max(0.0, self._deadline_s - now_s),
            repeatable=parameters.is_idempotent,
            fingerprint=parameters.fingerprint,
            configuration_version=parameters.configuration_version,
            takeover=takeover,
            is_suspect=self._canary is not None and self._canary.is_suspect,
        )
        call = SubQueryCall(self, number, owner, groups, now_s, takeover=takeover)
        self._calls[number] = call
        self._context.links.link(owner).send(sub_query, call)

    def _fail_group(self, group: str, kind: ErrorKind, reason: str) -> None:
        shards = self._plan.groups[group].group_shards.shards
        for missing in failed_group(group, shards, kind, reason, sent=False).missing:
            self.collector.add_missing(missing)
        if not self._has_open_call(group):
            self._finish_group(group)

    def _finish_group(self, group: str) -> None:
        self._pending_since_s.pop(group, None)
        if not self._pending_since_s:
            self._done.set()
