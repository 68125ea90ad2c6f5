"""Steps about backend servers that fail, leave or change owner, in virtual time."""

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

QUERIES = 300
INTERVAL_S = 0.01
CRASH = "a request crashes servers"
CRASHING = Search(filter=msgspec.Raw(b'{"crash":"mark"}'))


class View:
    """A fleet view that a test changes."""

    def __init__(self, *names):
        self.names = list(names)

    def aggregators(self):
        """Return the aggregators, all of one zone."""
        return [Candidate(name, "z1") for name in self.names]


def _behave(standins, **changes):
    for standin in standins:
        for name, value in changes.items():
            setattr(standin.behaviour, name, value)


def _cut(standins):
    """Drop every connection once, as a partition does, with the processes unharmed."""
    _behave(standins, drop_at="before_answer", drops_left=2)


FAULTS = {
    "nothing": lambda all_: None,
    "one is absent": lambda all_: _behave(all_[:1], absent=True),
    "one drains": lambda all_: _behave(all_[:1], draining=True),
    "one restarts": lambda all_: all_[0].restart(0.3),
    "one turns cold": lambda all_: all_[0].begin_cold_start(),
    "all turn cold": lambda all_: [standin.begin_cold_start() for standin in all_],
    "one sheds half": lambda all_: _behave(all_[:1], shed_share=0.5),
    "all shed all": lambda all_: _behave(all_, shed_share=1.0),
    "all are absent": lambda all_: _behave(all_, absent=True),
    "reports are stuck": lambda all_: _behave(all_, report="stuck"),
    "reports are zero": lambda all_: _behave(all_, report="zero"),
    "reports are absurd": lambda all_: _behave(all_, report="absurd"),
    "reports are absent": lambda all_: _behave(all_, report="absent"),
    CRASH: lambda all_: None,
    "a partition": _cut,
}


@given("back ends of {servers:d} replicas that are warm")
def back_ends(context, servers):
    context.document = document(servers=servers)


@when('at the back ends "{fault}" happens while queries run')
def happen(context, fault):
    context.outcomes, context.aggregator = virtual_time.run(_run(context.document, fault))


async def _run(configured, fault):
    aggregator = AggregatorFixture(configured)
    await aggregator.warm()
    FAULTS[fault](list(aggregator.standins.values()))
    asked = []
    for number in range(QUERIES):
        changes = {"remaining_s": 0.3}
        if number % 2:
            changes |= {"repeatable": False, "request_id": f"once-{number}"}
        if fault == CRASH and number % 20 == 0:
            changes |= {"search": CRASHING, "fingerprint": "crash"}
        asked.append(asyncio.create_task(aggregator.run_sub_query(**changes)))
        await asyncio.sleep(INTERVAL_S)
    outcomes = await asyncio.gather(*asked)
    if fault == CRASH:
        outcomes = [outcome for number, outcome in enumerate(outcomes) if number % 20]
    return outcomes, aggregator


@then("at least {share:g} of the queries at the back ends are answered whole")
def answered(context, share):
    whole = sum(not outcome.missing for outcome in context.outcomes)
    assert whole >= share * len(context.outcomes), whole


@then(
    "the back ends lost at most {lost:d} servers and had at most {overloads:d} overloaded moments"
)
def lost(context, lost, overloads):
    counters = [standin.counters for standin in context.aggregator.standins.values()]
    assert sum(sum(each.crashes.values()) for each in counters) <= lost
    moments = sum(each.overloaded_moments for each in counters)
    assert moments <= overloads, moments


@then("the back ends ran no request that is not repeatable twice")
def at_most_once(context):
    runs = {}
    for standin in context.aggregator.standins.values():
        for request_id, count in standin.executions.items():
            runs[request_id] = runs.get(request_id, 0) + count
    once = [count for name, count in runs.items() if name.startswith("once-")]
    assert max(once, default=0) <= 1


@then("the extra load at the back ends was at most {share:g} and no refusal was false")
def extra_load(context, share):
    budget = context.aggregator.service.shared.budgets.for_class("desk")
    assert budget.extra_calls <= share * budget.first_calls
    for outcome in context.outcomes:
        proven = {"not_connected", "connection_limit"}
        assert outcome.sent or all(attempt.result in proven for attempt in outcome.attempts)


@when('at the back ends one server leaves by "{sign}"')
def leave(context, sign):
    context.late = virtual_time.run(_leave(context.document, sign))


async def _leave(configured, sign):
    aggregator = AggregatorFixture(configured)
    await aggregator.warm()
    standin = aggregator.standins["b1"]
    raw = raw_document()
    standin.behaviour.draining = sign in ("report", "refusal")
    if sign == "refusal":
        standin.behaviour.report = "stuck"
    if sign == "configuration":
        raw["backend_servers"]["b1"]["leaving"] = True
    if sign == "zone out":
        raw["zones"]["z2"]["in_service"] = False
    before = standin.counters.searches
    if sign in ("configuration", "zone out"):
        aggregator.service.configure(msgspec.convert(raw, Document))
    for _number in range(100):
        await aggregator.run_sub_query()
    return standin.counters.searches - before


@then("at most {late:d} calls reach it afterwards")
def no_new_work(context, late):
    assert context.late <= late, context.late


@given("two aggregators, of which the first owns the back ends")
def two_aggregators(context):
    context.document = document()


@when("the second aggregator is asked for the group {how}")
def ask_second(context, how):
    context.result, context.calls = virtual_time.run(_ask_second(context.document, how))


async def _ask_second(configured, how):
    board, view = FactBoard(), View("a1")
    first = AggregatorFixture(configured, name="a1", fleet=view, facts=board)
    await first.warm(800)
    second = AggregatorFixture(configured, name="a2", fleet=view, facts=board)
    second.client = first.client
    await second.wait_for_first_contact()
    for standin in second.standins.values():
        standin.process_id = first.standins[standin.name].process_id
    if how.endswith("planned stop"):
        first.service.stop()
    if how.endswith("hands it over"):
        view.names[:] = ["a2"]
        await second.wait_for_first_contact()
    takeover = "takeover" in how
    outcome = await second.run_sub_query(takeover=takeover)
    allowed = max((server.concurrency_limit() for server in second.servers().values()), default=0)
    await second.wait_for_first_contact()
    if not outcome.missing:
        allowed = max(server.concurrency_limit() for server in second.servers().values())
        return "answered", allowed
    return outcome.missing[0].kind.value, allowed


@then('it answers "{result}" and calls at most {calls:d} at once')
def result_is(context, result, calls):
    assert context.result == result, context.result
    assert context.calls == calls, context.calls
