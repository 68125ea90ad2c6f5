"""One query on its way: sends sub-queries, asks other owners and collects the parts."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from fighinge.entry.canary import CanaryDecision
from fighinge.entry.merge import PartCollector
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
OWNER_TIMEOUT_MAX_FRACTION = 0.3
OWNER_TIMEOUT_P95_FACTOR = 4.0
OWNER_TIMEOUT_MIN_S = 0.02
MIN_WAIT_S = 0.0001


class QueryRun:
    """Collects the parts of one query until all groups answered or time is up.

    ``sent`` stays false only while it is certain that no backend server was sent the request.
    Once many shards are no longer served at the snapshot, ``find_replacement`` is asked for
    another one; with a ``replacement`` the run ends at once.
    """

    __slots__ = (
        "_calls",
        "_canary",
        "_context",
        "_deadline_s",
        "_done",
        "_next_owner",
        "_pending",
        "_plan",
        "_rule",
        "_silence_s",
        "_terms",
        "_unasked",
        "_vanished_share",
        "collector",
        "find_replacement",
        "replacement",
        "retry_after_s",
        "sent",
        "snapshot",
        "traces",
    )

    def __init__(
        self,
        terms: QueryParameters,
        plan: QueryPlan,
        context: QueryRunContext,
        deadline_s: float,
        rule: EarlyAnswerRule | None = None,
        canary: CanaryRun | None = None,
    ) -> None:
        search = terms.search
        self.snapshot = plan.snapshot
        self.collector = PartCollector(plan.snapshot, search.limit, descending=search.descending)
        self.traces: list[GroupTrace] = []
        self.sent = False
        self.retry_after_s = 0.0
        self.find_replacement: Callable[[QueryRun], Snapshot | None] | None = None
        self.replacement: Snapshot | None = None
        self._terms = terms
        self._plan = plan
        self._context = context
        self._deadline_s = deadline_s
        self._rule = rule
        self._canary = canary
        self._unasked = {name for name, group in plan.groups.items() if group.owners}
        self._silence_s = 0.0
        self._vanished_share = 0.0
        self._pending = dict.fromkeys(plan.groups, 0.0)
        self._next_owner: dict[str, int] = {}
        self._calls: dict[int, SubQueryCall] = {}
        self._done = asyncio.Event()

    @property
    def fingerprint(self) -> str:
        """Return what identifies the query when it is sent again."""
        return self._terms.fingerprint

    @property
    def vanished(self) -> bool:
        """Return whether many shards are no longer served at the snapshot."""
        return self.vanished_share >= REPLAN_UNSERVED_FRACTION

    @property
    def dropped(self) -> bool:
        """Return whether backend servers no longer hold the snapshot of many shards."""
        count = len(self.snapshot.shards)
        return self.collector.missing_of(DELETED_KINDS) >= REPLAN_UNSERVED_FRACTION * count

    @property
    def reachable_share(self) -> float:
        """Return the share of the shards that may still be served at the snapshot."""
        return 1 - self.vanished_share

    @property
    def vanished_share(self) -> float:
        """Return the share of the shards that no replica serves at the snapshot."""
        return self.collector.missing_of(UNSERVED_KINDS) / len(self.snapshot.shards)

    async def run(self) -> None:
        """Send everything and wait for all groups, the early answer or the deadline."""
        started_s = self._context.clock()
        left_s = self._deadline_s - started_s
        self._silence_s = min(
            OWNER_TIMEOUT_MAX_FRACTION * left_s,
            max(OWNER_TIMEOUT_MIN_S, OWNER_TIMEOUT_P95_FACTOR * self._context.times.slow_s()),
        )
        self._pending = dict.fromkeys(self._plan.groups, started_s)
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
        """Give up what is still outstanding, which may have been sent."""
        now_s = self._context.clock()
        for call in self._calls.values():
            self.sent = True
            self._context.links.link(call.aggregator).cancel(call.number)
        self._calls.clear()
        for group, sent_s in self._pending.items():
            self._context.times.observe(group, now_s - sent_s, answered=False)

    def outcome_of(
        self, call: SubQueryCall, shards: tuple[str, ...], outcome: GroupOutcome
    ) -> None:
        """Take one group's outcome, asked for some shards."""
        now_s = self._context.clock()
        self._context.times.heard_from(call.aggregator, now_s)
        self.sent = self.sent or outcome.sent
        if outcome.group not in self._pending:
            return
        self.retry_after_s = max(self.retry_after_s, outcome.retry_after_s)
        self.traces.append(
            GroupTrace(outcome.group, call.aggregator, call.takeover, outcome.attempts)
        )
        if self._wants_replacement(outcome) and self._has_next_owner(outcome.group):
            self._send([outcome.group], takeover=True)
            return
        if self._canary is not None:
            self._canary.outcome(outcome)
        self._collect(shards, outcome)
        if not outcome.parts and self._is_asked_elsewhere(outcome.group):
            return
        took_s = now_s - self._pending[outcome.group]
        self._context.times.observe(outcome.group, took_s, answered=True)
        self._finish(outcome.group)

    def lost(self, call: SubQueryCall, *, sent: bool) -> None:
        """Ask the next aggregator for the groups that a lost one has not answered for."""
        self._calls.pop(call.number, None)
        self.sent = self.sent or sent
        again = [group for group in call.left if group in self._pending]
        if call.replaced or not again:
            return
        if sent and not self._terms.repeatable:
            reason = f"the link to aggregator {call.aggregator} was lost"
            for group in again:
                self._fail(group, ErrorKind.OUTCOME_UNKNOWN, reason)
            return
        self._send(again, takeover=True)

    def call_ended(self, number: int) -> None:
        """Forget a call of which nothing more is to come."""
        self._calls.pop(number, None)

    async def _wait(self, now_s: float) -> None:
        """Wait until done; look at silent owners and the soft deadline meanwhile."""
        while not self._done.is_set() and now_s < self._deadline_s:
            try:
                async with asyncio.timeout(self._next_check_s(now_s) - now_s):
                    await self._done.wait()
            except TimeoutError:
                pass
            now_s = self._context.clock()
            if not self._done.is_set():
                self._check(now_s)

    def _next_check_s(self, now_s: float) -> float:
        check_s = self._deadline_s
        if self._rule is not None:
            soft_s = max(self._rule.soft_deadline_s, now_s + self._rule.recheck_s)
            check_s = min(check_s, soft_s)
        if self._terms.repeatable:
            waits = [c.sent_s + self._silence_s for c in self._calls.values() if not c.checked]
            check_s = min([check_s, *waits])
        return max(check_s, now_s + MIN_WAIT_S)

    def _check(self, now_s: float) -> None:
        if self._answers_early(now_s):
            self._done.set()
            return
        if not self._terms.repeatable:
            return
        for call in list(self._calls.values()):
            if not call.checked and now_s >= call.sent_s + self._silence_s:
                call.checked = True
                self._replace_silent(call)

    def _answers_early(self, now_s: float) -> bool:
        rule = self._rule
        if rule is None or now_s < rule.soft_deadline_s:
            return False
        horizon_s = rule.horizon_s(now_s)
        best_chance = max(
            self._context.times.chance(group, now_s - sent_s, horizon_s, rule.unknown_chance)
            for group, sent_s in self._pending.items()
        )
        return rule.allows(self.collector.share, best_chance, now_s)

    def _replace_silent(self, call: SubQueryCall) -> None:
        """Ask the next owners where an aggregator has answered nothing since it was asked."""
        if not self._context.times.silent_since(call.aggregator, call.sent_s):
            return
        groups = [
            group for group in call.left if group in self._pending and self._has_next_owner(group)
        ]
        if groups and self._context.budget.spend(len(groups)):
            call.replaced = True
            self._send(groups, takeover=True)

    def _wants_replacement(self, outcome: GroupOutcome) -> bool:
        if outcome.sent or outcome.parts or not outcome.missing:
            return False
        return all(missing.kind in NEXT_OWNER_KINDS for missing in outcome.missing)

    def _collect(self, shards: tuple[str, ...], outcome: GroupOutcome) -> None:
        asked = set(shards)
        for part in outcome.parts:
            if part.shard in asked:
                self.collector.add_part(part)
        for missing in outcome.missing:
            if missing.shard in asked:
                self.collector.add_missing(missing)
        if len(outcome.parts) < len(shards):
            answered = {part.shard for part in outcome.parts}
            self.collector.add_unanswered(shard for shard in shards if shard not in answered)
        if self.find_replacement is not None:
            self._look_for_replacement()

    def _look_for_replacement(self) -> None:
        """Look for another snapshot each time that a further share of the shards vanished."""
        vanished_share = self.vanished_share
        if vanished_share < self._vanished_share + REPLAN_UNSERVED_FRACTION:
            return
        self._vanished_share = vanished_share
        self.replacement = self.find_replacement(self)
        if self.replacement is not None:
            self._done.set()

    def _is_asked_elsewhere(self, group: str) -> bool:
        """Return whether another aggregator may still answer for a group."""
        return any(group in call.left for call in self._calls.values())

    def _has_next_owner(self, group: str) -> bool:
        return self._next_owner.get(group, 1) < len(self._plan.groups[group].owners)

    async def _send_after_canary(self, canary: CanaryRun) -> None:
        """Ask one group, and the others once that is known to cost no backend servers."""
        verdict = await canary.run(self._send_canary)
        if verdict is CanaryDecision.RELEASED:
            self._send_planned()
            return
        reason = "not asked, since the request cost backend servers elsewhere"
        for group in self._unasked | set(self._plan.unowned):
            self._fail(group, ErrorKind.QUARANTINED, reason)

    def _send_canary(self, group: str) -> None:
        planned = self._plan.groups[group]
        self._unasked.discard(group)
        self._pending[group] = self._context.clock()
        self._send_to(planned.owners[0], (planned.wanted,), takeover=False)

    def _send_planned(self) -> None:
        """Ask the owners of all groups that were not asked yet."""
        for group in self._plan.unowned:
            self._fail(group, ErrorKind.OWNER_UNREACHABLE, "no aggregator takes work")
        now_s = self._context.clock()
        for owner, planned in self._plan.by_owner.items():
            wanted = tuple(shards for shards in planned if shards.group in self._unasked)
            self._pending.update((shards.group, now_s) for shards in wanted)
            if wanted:
                self._send_to(owner, wanted, takeover=False)
        self._unasked.clear()

    def _send(self, groups: Iterable[str], *, takeover: bool) -> None:
        by_owner: dict[str, list[GroupShards]] = {}
        for group in groups:
            planned: PlannedGroup = self._plan.groups[group]
            position = self._next_owner.get(group, 1)
            if position >= len(planned.owners):
                self._fail(group, ErrorKind.OWNER_UNREACHABLE, "no aggregator is left to ask")
                continue
            self._next_owner[group] = position + 1
            by_owner.setdefault(planned.owners[position], []).append(planned.wanted)
        for owner, wanted in by_owner.items():
            self._send_to(owner, tuple(wanted), takeover=takeover)

    def _send_to(self, owner: str, groups: tuple[GroupShards, ...], *, takeover: bool) -> None:
        terms = self._terms
        now_s = self._context.clock()
        number = self._context.next_call()
        sub_query = SubQuery(
            call=number,
            request_id=terms.request_id,
            service=terms.service,
            collection=terms.collection,
            index_version=self.snapshot.index_version,
            query_class=terms.query_class,
            tenant=terms.tenant,
            groups=groups,
            search=terms.search,
            remaining_s=max(0.0, self._deadline_s - now_s),
            repeatable=terms.repeatable,
            fingerprint=terms.fingerprint,
            configuration_version=terms.configuration_version,
            takeover=takeover,
            is_suspect=self._canary is not None and self._canary.is_suspect,
        )
        call = SubQueryCall(self, number, owner, groups, now_s, takeover=takeover)
        self._calls[number] = call
        self._context.links.link(owner).send(sub_query, call)

    def _fail(self, group: str, kind: ErrorKind, reason: str) -> None:
        shards = self._plan.groups[group].wanted.shards
        for missing in failed_group(group, shards, kind, reason, sent=False).missing:
            self.collector.add_missing(missing)
        if not self._is_asked_elsewhere(group):
            self._finish(group)

    def _finish(self, group: str) -> None:
        self._pending.pop(group, None)
        if not self._pending:
            self._done.set()
