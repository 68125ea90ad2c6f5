"""Steps about single query runs."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from fighinge.entry.query_errors import run_error
from tests import virtual_time
from tests.run_builders import ScriptedLinks, new_run


@given("a query run that is {kind}")
def kind(context, kind):
    context.repeatable = kind == "repeatable"


@when("its owner {first} and the next aggregator {second}")
def run(context, first, second):
    context.links = ScriptedLinks({"a1": first, "a2": second})

    async def timed():
        clock = asyncio.get_running_loop().time
        started_s = clock()
        context.run = new_run(context.links, repeatable=context.repeatable)
        await context.run.run()
        return clock() - started_s

    context.took_s = virtual_time.run(timed())


@then('the run asks "{asked}", is over after {took:d} ms and includes {share:g}')
def over(context, asked, took, share):
    shown = ["takeover" if takeover else name for name, takeover in context.links.sent]
    assert shown == asked.split(","), shown
    assert round(context.took_s * 1000) == took, context.took_s
    assert context.run.collector.included_fraction == share


@then('the run may say "not run": {not_run}, with the error "{error}"')
def outcome(context, not_run, error):
    run = context.run
    assert run.sent is (not_run == "no")
    coverage = run.collector.coverage()
    if error == "none":
        assert len(run.collector.merge().records) == 2
        return
    shown = run_error("r", coverage, sent=run.sent, retry_after_s=run.retry_after_s)
    assert (shown.kind.value, shown.not_run) == (error, not_run == "yes")
    if error == "overloaded":
        assert shown.retry_after_s == 2.0
