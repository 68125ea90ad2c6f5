"""Steps about faults, departures and ownership of backend servers, in virtual time."""

from __future__ import annotations

import asyncio

import msgspec
from behave import given, then, when

from fighinge.facts import FactBoard
from fighinge.messages import Search
from fighinge.model import Document
from fighinge.ownership import Candidate
from tests import virtual_time
from tests.backend_builders import AggregatorFixture
from tests.builders import document, raw_document

QUERY_COUNT = 300
QUERY_INTERVAL_S = 0.01
NON_IDEMPOTENT_PREFIX = "non-idempotent-"
CRASHING_QUERY_INTERVAL = 20  # queries
CRASH_FAULT = "a recurring request crashes its servers"
CRASHING_SEARCH = Search(filter=msgspec.Raw(b'{"crash":"c1"}'))


class FleetView:
    """A fleet view whose aggregators a test sets."""

    def __init__(self, *names):
        self.names = list(names)

    def aggregators(self):
        """Return the aggregators, all in one data centre."""
        return [Candidate(name, "z1") for name in self.names]


def _set_behaviour(standins, **changes):
    for standin in standins:
        for name, value in changes.items():
            setattr(standin.behaviour, name, value)


def _break_connections(standins):
    """Break each server's next two connections, as in a partition; its process keeps running."""
    _set_behaviour(standins, drop_at="before_answer", drops_left=2)


FAULTS = {
    "nothing fails": lambda servers: None,
    "one server is unavailable": lambda servers: _set_behaviour(servers[:1], absent=True),
    "one server drains": lambda servers: _set_behaviour(servers[:1], draining=True),
    "one server restarts": lambda servers: servers[0].restart(0.3),
    "one server becomes cold": lambda servers: servers[0].begin_cold_start(),
    "all servers become cold": lambda servers: [standin.begin_cold_start() for standin in servers],
    "one server sheds half of its load": lambda servers: _set_behaviour(
        servers[:1], shed_share=0.5
    ),
    "all servers shed all load": lambda servers: _set_behaviour(servers, shed_share=1.0),
    "all servers are unavailable": lambda servers: _set_behaviour(servers, absent=True),
    "all state reports are stuck": lambda servers: _set_behaviour(servers, report="stuck"),
    "all state reports are zero": lambda servers: _set_behaviour(servers, report="zero"),
    "all state reports are absurd": lambda servers: _set_behaviour(servers, report="absurd"),
    "all state reports are absent": lambda servers: _set_behaviour(servers, report="absent"),
    CRASH_FAULT: lambda servers: None,
    "a partition breaks connections": _break_connections,
}


@given("a group of {servers:d} warm replicas")
def given_replicas(context, servers):
    context.document = document(servers=servers)


@when("{fault} while queries run")
def run_queries(context, fault):
    context.outcomes, context.aggregator = virtual_time.run(_run_queries(context.document, fault))


async def _run_queries(configured, fault):
    aggregator = AggregatorFixture(configured)
    await aggregator.warm()
    FAULTS[fault](list(aggregator.standins.values()))
    sub_queries = []
    for number in range(QUERY_COUNT):
        changes = {"remaining_s": 0.3}
        if number % 2:
            changes |= {"repeatable": False, "request_id": f"{NON_IDEMPOTENT_PREFIX}{number}"}
        if fault == CRASH_FAULT and number % CRASHING_QUERY_INTERVAL == 0:
            changes |= {"search": CRASHING_SEARCH, "fingerprint": "crash"}
        sub_queries.append(asyncio.create_task(aggregator.run_sub_query(**changes)))
        await asyncio.sleep(QUERY_INTERVAL_S)
    outcomes = await asyncio.gather(*sub_queries)
    if fault == CRASH_FAULT:
        outcomes = [
            outcome for number, outcome in enumerate(outcomes) if number % CRASHING_QUERY_INTERVAL
        ]
    return outcomes, aggregator


@then("at least a fraction of {fraction:g} of the non-crashing queries gets a complete answer")
def check_complete_answers(context, fraction):
    complete = sum(not outcome.missing for outcome in context.outcomes)
    assert complete >= fraction * len(context.outcomes), complete


@then(
    "the servers crash at most {crashes:d} times and have at most {overloads:d} overloaded moments"
)
def check_crashes_and_overloads(context, crashes, overloads):
    counters = [standin.counters for standin in context.aggregator.standins.values()]
    assert sum(sum(each.crashes.values()) for each in counters) <= crashes
    overloaded = sum(each.overloaded_moments for each in counters)
    assert overloaded <= overloads, overloaded


@then("no non-idempotent request runs twice on the servers")
def check_at_most_once(context):
    executions = {}
    for standin in context.aggregator.standins.values():
        for request_id, count in standin.executions.items():
            executions[request_id] = executions.get(request_id, 0) + count
    counts = [count for name, count in executions.items() if name.startswith(NON_IDEMPOTENT_PREFIX)]
    assert max(counts, default=0) <= 1


@then("extra calls are at most {ratio:g} of first calls and no request reported as unsent was sent")
def check_extra_calls(context, ratio):
    budget = context.aggregator.service.shared.budgets.for_class("desk")
    assert budget.extra_calls <= ratio * budget.first_calls
    for outcome in context.outcomes:
        unsent = {"not_connected", "connection_limit"}
        assert outcome.sent or all(attempt.result in unsent for attempt in outcome.attempts)


@when("{sign} shows that one server is leaving")
def count_further_calls(context, sign):
    context.further_calls = virtual_time.run(_count_further_calls(context.document, sign))


async def _count_further_calls(configured, sign):
    aggregator = AggregatorFixture(configured)
    await aggregator.warm()
    standin = aggregator.standins["b1"]
    raw = raw_document()
    standin.behaviour.draining = sign in ("its state report", "a refused call")
    if sign == "a refused call":
        standin.behaviour.report = "stuck"
    if sign == "its configuration":
        raw["backend_servers"]["b1"]["leaving"] = True
    if sign == "the evacuation of its data centre":
        raw["zones"]["z2"]["in_service"] = False
    before = standin.counters.searches
    if sign in ("its configuration", "the evacuation of its data centre"):
        aggregator.service.configure(msgspec.convert(raw, Document))
    for _number in range(100):
        await aggregator.run_sub_query()
    return standin.counters.searches - before


@then("it gets at most {calls:d} further calls")
def check_further_calls(context, calls):
    assert context.further_calls <= calls, context.further_calls


@given("two aggregators, the first of which owns the group of backend servers")
def given_aggregators(context):
    context.document = document()


@when("the second aggregator is sent a sub-query for the group {how}")
def ask_second_aggregator(context, how):
    context.result, context.limit = virtual_time.run(_ask_second(context.document, how))


async def _ask_second(configured, how):
    board, view = FactBoard(), FleetView("a1")
    first = AggregatorFixture(configured, name="a1", fleet=view, facts=board)
    await first.warm(800)
    second = AggregatorFixture(configured, name="a2", fleet=view, facts=board)
    second.client = first.client
    await second.wait_for_state_polls()
    for standin in second.standins.values():
        standin.process_id = first.standins[standin.name].process_id
    if how.endswith("graceful shutdown"):
        first.service.stop()
    if how.endswith("hands the group over"):
        view.names[:] = ["a2"]
        await second.wait_for_state_polls()
    takeover = "takeover" in how
    outcome = await second.run_sub_query(takeover=takeover)
    limit = max((server.concurrency_limit() for server in second.servers().values()), default=0)
    await second.wait_for_state_polls()
    if not outcome.missing:
        limit = max(server.concurrency_limit() for server in second.servers().values())
        return "answered", limit
    return outcome.missing[0].kind.value, limit


@then('its result is "{result}" and its highest concurrency limit of a server is {limit:d}')
def check_result_and_limit(context, result, limit):
    assert context.result == result, context.result
    assert context.limit == limit, context.limit
