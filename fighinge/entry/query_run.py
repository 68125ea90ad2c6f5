"""One query on its way: sends sub-queries, re-plans lost ones and collects the parts."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from fighinge.entry.merge import PartCollector
from fighinge.errors import ErrorKind
from fighinge.messages import GroupShards, SubQuery, failed_group
from fighinge.queries import GroupTrace

if TYPE_CHECKING:
    from collections.abc import Callable

    from fighinge.entry.base import AggregatorLinks
    from fighinge.messages import GroupOutcome, Search
    from fighinge.model import Snapshot

REPLACED_KINDS = frozenset(
    {ErrorKind.NOT_OWNER, ErrorKind.STOPPING, ErrorKind.NOT_READY, ErrorKind.ZONE_OUT}
)


class Assignment(msgspec.Struct):
    """A group's shards and the aggregators that may be asked, the owner first."""

    group: str
    shards: tuple[str, ...]
    owners: list[str]
    next_owner: int = 0


class QueryTerms(msgspec.Struct, frozen=True, kw_only=True):
    """What all sub-queries of one query have in common."""

    request_id: str
    service: str
    collection: str
    query_class: str
    tenant: str
    search: Search
    repeatable: bool
    fingerprint: str
    configuration_version: int


class QueryRun:
    """Collects the parts of one query until all groups answered or time is up."""

    __slots__ = (
        "_assignments",
        "_calls",
        "_clock",
        "_deadline_s",
        "_done",
        "_links",
        "_next_call",
        "_pending",
        "_terms",
        "collector",
        "retry_after_s",
        "sent",
        "snapshot",
        "traces",
    )

    def __init__(
        self,
        terms: QueryTerms,
        snapshot: Snapshot,
        assignments: list[Assignment],
        links: AggregatorLinks,
        next_call: Callable[[], int],
        clock: Callable[[], float],
        deadline_s: float,
    ) -> None:
        self.snapshot = snapshot
        self.collector = PartCollector(snapshot)
        self.traces: list[GroupTrace] = []
        self.sent = False
        self.retry_after_s = 0.0
        self._terms = terms
        self._assignments = {assignment.group: assignment for assignment in assignments}
        self._pending = set(self._assignments)
        self._links = links
        self._next_call = next_call
        self._clock = clock
        self._deadline_s = deadline_s
        self._calls: dict[int, str] = {}
        self._done = asyncio.Event()

    async def run(self) -> None:
        """Send everything and wait for all groups or the deadline."""
        self._send(list(self._assignments.values()), takeover=False)
        try:
            async with asyncio.timeout(max(0.0, self._deadline_s - self._clock())):
                await self._done.wait()
        except TimeoutError:
            return
        finally:
            self.cancel()

    def cancel(self) -> None:
        """Give up what is still outstanding."""
        for call, aggregator in self._calls.items():
            self._links.link(aggregator).cancel(call)
        self._calls.clear()

    def outcome_of(self, aggregator: str, outcome: GroupOutcome, *, takeover: bool) -> None:
        """Take one group's outcome."""
        if outcome.group not in self._pending:
            return
        self.sent = self.sent or outcome.sent
        self.retry_after_s = max(self.retry_after_s, outcome.retry_after_s)
        trace = GroupTrace(outcome.group, aggregator, takeover, outcome.attempts)
        self.traces.append(trace)
        for part in outcome.parts:
            self.collector.add_part(part)
        for missing in outcome.missing:
            self.collector.add_missing(missing)
        if self._wants_replacement(outcome):
            self._send([self._assignments[outcome.group]], takeover=True)
            return
        self._finish(outcome.group)

    def lost(self, aggregator: str, groups: tuple[GroupShards, ...], *, sent: bool) -> None:
        """Ask the next aggregator for the groups that a lost one has not answered for."""
        self.sent = self.sent or sent
        again = [
            self._assignments[wanted.group] for wanted in groups if wanted.group in self._pending
        ]
        if sent and not self._terms.repeatable:
            reason = f"the link to aggregator {aggregator} was lost"
            for assignment in again:
                self._fail(assignment, ErrorKind.OUTCOME_UNKNOWN, reason)
            return
        self._send(again, takeover=True)

    def _wants_replacement(self, outcome: GroupOutcome) -> bool:
        if outcome.sent or outcome.parts or not outcome.missing:
            return False
        return all(missing.kind in REPLACED_KINDS for missing in outcome.missing)

    def _send(self, assignments: list[Assignment], *, takeover: bool) -> None:
        by_owner: dict[str, list[Assignment]] = {}
        for assignment in assignments:
            if assignment.next_owner >= len(assignment.owners):
                self._fail(assignment, ErrorKind.OWNER_UNREACHABLE, "no aggregator is left to ask")
                continue
            owner = assignment.owners[assignment.next_owner]
            assignment.next_owner += 1
            by_owner.setdefault(owner, []).append(assignment)
        for owner, owned in by_owner.items():
            self._send_to(owner, owned, takeover=takeover)

    def _send_to(self, owner: str, assignments: list[Assignment], *, takeover: bool) -> None:
        call = self._next_call()
        groups = tuple(GroupShards(owned.group, owned.shards) for owned in assignments)
        sub_query = SubQuery(
            call=call,
            request_id=self._terms.request_id,
            service=self._terms.service,
            collection=self._terms.collection,
            index_version=self.snapshot.index_version,
            query_class=self._terms.query_class,
            tenant=self._terms.tenant,
            groups=groups,
            search=self._terms.search,
            remaining_s=max(0.0, self._deadline_s - self._clock()),
            repeatable=self._terms.repeatable,
            fingerprint=self._terms.fingerprint,
            configuration_version=self._terms.configuration_version,
            takeover=takeover,
        )
        self._calls[call] = owner
        listener = _CallListener(self, call, owner, groups, takeover=takeover)
        self._links.link(owner).send(sub_query, listener)

    def call_ended(self, call: int) -> None:
        """Forget a call of which nothing more is to come."""
        self._calls.pop(call, None)

    def _fail(self, assignment: Assignment, kind: ErrorKind, reason: str) -> None:
        outcome = failed_group(assignment.group, assignment.shards, kind, reason, sent=False)
        for missing in outcome.missing:
            self.collector.add_missing(missing)
        self._finish(assignment.group)

    def _finish(self, group: str) -> None:
        self._pending.discard(group)
        if not self._pending:
            self._done.set()


class _CallListener:
    """Hears what became of one sub-query of a run."""

    __slots__ = ("_aggregator", "_call", "_groups", "_left", "_run", "_takeover")

    def __init__(
        self,
        run: QueryRun,
        call: int,
        aggregator: str,
        groups: tuple[GroupShards, ...],
        *,
        takeover: bool,
    ) -> None:
        self._run = run
        self._call = call
        self._aggregator = aggregator
        self._groups = groups
        self._left = len(groups)
        self._takeover = takeover

    def outcome(self, outcome: GroupOutcome) -> None:
        """Hand an outcome on."""
        self._left -= 1
        if self._left == 0:
            self._run.call_ended(self._call)
        self._run.outcome_of(self._aggregator, outcome, takeover=self._takeover)

    def link_lost(self, aggregator: str, *, sent: bool) -> None:
        """Hand a loss on."""
        self._run.call_ended(self._call)
        self._run.lost(aggregator, self._groups, sent=sent)
