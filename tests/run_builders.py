"""Builders of single query runs and of links with scripted responses."""

from __future__ import annotations

import asyncio
import itertools

from fighinge.entry.query_parameters import QueryParameters, QueryRunContext
from fighinge.entry.query_plan import QueryPlanner
from fighinge.entry.query_run import QueryRun
from fighinge.entry.response_times import ResponseTimes
from fighinge.entry.sub_query_budget import SubQueryRetryBudget
from fighinge.errors import ErrorKind
from fighinge.messages import GroupOutcome, Record, Search, ShardMissing, ShardResult
from fighinge.ownership import Candidate
from tests.builders import document

DEADLINE_S = 1.0


class ScriptedLinks:
    """The links of an entry; ``scripts`` maps each aggregator to the name of its response."""

    def __init__(self, scripts):
        self.scripts = scripts
        self.sent = []
        self.cancelled = []

    def link(self, aggregator):
        return ScriptedLink(self, aggregator)


class ScriptedLink:
    """The link to one aggregator, which runs its script."""

    def __init__(self, links, aggregator):
        self.links = links
        self.aggregator = aggregator

    def send(self, sub_query, listener):
        self.links.sent.append((self.aggregator, sub_query.takeover))
        script = self.links.scripts.get(self.aggregator, "no_response")
        if script == "no_response":
            return
        delay_s, action = SCRIPTS[script]
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, action, self.aggregator, sub_query, listener)

    def cancel(self, call):
        self.links.cancelled.append(self.aggregator)


def shard_result(shard, version, number=1):
    """Return a shard's result with one record."""
    return ShardResult(shard, version, [Record(f"{shard[1:]}-{number}", f"{number}")], 1)


def _answers(_aggregator, sub_query, listener):
    for requested in sub_query.groups:
        parts = [shard_result(shard, sub_query.index_version) for shard in requested.shards]
        listener.on_outcome(GroupOutcome(group=requested.group, parts=parts, sent=True))


def _answers_twice(aggregator, sub_query, listener):
    """Send the outcome of a group not requested, then each requested outcome twice."""
    listener.on_outcome(
        GroupOutcome(group="g-unknown", parts=[shard_result("s0001", 1, 9)], sent=True)
    )
    _answers(aggregator, sub_query, listener)
    _answers(aggregator, sub_query, listener)


def _wrong_version(_aggregator, sub_query, listener):
    for requested in sub_query.groups:
        parts = [shard_result(shard, sub_query.index_version + 1) for shard in requested.shards]
        listener.on_outcome(GroupOutcome(group=requested.group, parts=parts, sent=True))


def _answers_without_results(_aggregator, sub_query, listener):
    for requested in sub_query.groups:
        listener.on_outcome(GroupOutcome(group=requested.group, sent=True))


def _fails(kind, *, sent, retry_after_s=0.0):
    def action(_aggregator, sub_query, listener):
        for requested in sub_query.groups:
            missing = [ShardMissing(shard, kind, kind.value) for shard in requested.shards]
            listener.on_outcome(
                GroupOutcome(
                    group=requested.group, missing=missing, sent=sent, retry_after_s=retry_after_s
                )
            )

    return action


def _loses_link(*, sent):
    return lambda aggregator, _sub_query, listener: listener.on_link_lost(aggregator, sent=sent)


SCRIPTS = {
    "answer": (0.01, _answers),
    "late": (0.5, _answers),
    "duplicate_results": (0.01, _answers_twice),
    "wrong_version": (0.01, _wrong_version),
    "no_results": (0.01, _answers_without_results),
    "overloaded": (0.01, _fails(ErrorKind.OVERLOADED, sent=False, retry_after_s=2.0)),
    "stopping": (0.01, _fails(ErrorKind.STOPPING, sent=False)),
    "not_owner": (0.01, _fails(ErrorKind.NOT_OWNER, sent=False)),
    "snapshot_gone": (0.01, _fails(ErrorKind.SNAPSHOT_GONE, sent=False)),
    "backend_shed": (0.01, _fails(ErrorKind.BACKEND_SHED, sent=True)),
    "link_lost_unsent": (0.01, _loses_link(sent=False)),
    "link_lost_sent": (0.01, _loses_link(sent=True)),
}


def new_run(links, *, is_idempotent=True, rule=None):
    """Create a run over two shards that ``a1`` owns."""
    configured = document(servers=1)
    planner = QueryPlanner(configured)
    planner.set_candidates([Candidate("a1", "z1"), Candidate("a2", "z2")])
    plan = planner.plan("c", configured.collections["c"].snapshots[0])
    budget = SubQueryRetryBudget()
    budget.earn(1, 0.05)
    clock = asyncio.get_running_loop().time
    parameters = QueryParameters(
        request_id="r",
        service="desk",
        collection="c",
        query_class="desk",
        tenant="t",
        search=Search(),
        is_idempotent=is_idempotent,
        fingerprint="f",
        configuration_version=1,
    )
    context = QueryRunContext(links, itertools.count().__next__, clock, ResponseTimes(), budget)
    return QueryRun(parameters, plan, context, clock() + DEADLINE_S, rule)
