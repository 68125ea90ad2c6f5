"""Steps about single query runs, in virtual time."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from fighinge.entry.query_errors import run_error
from tests import virtual_time
from tests.run_builders import ScriptedLinks, new_run

ROLES = {"a1": "owner"}


@given("the run of one {kind} query")
def given_run(context, kind):
    context.is_idempotent = kind == "idempotent"


@when('its owner reacts with "{first}" and the next aggregator with "{second}"')
def run_query(context, first, second):
    context.links = ScriptedLinks({"a1": first, "a2": second})

    async def run_timed():
        clock = asyncio.get_running_loop().time
        started_s = clock()
        context.run = new_run(context.links, is_idempotent=context.is_idempotent)
        await context.run.run()
        return clock() - started_s

    context.took_s = virtual_time.run(run_timed())


@then(
    'the run asks "{asked}", ends after {took_ms:d} ms'
    " and includes a fraction of {fraction:g} of the shards"
)
def check_run(context, asked, took_ms, fraction):
    shown = [
        "takeover" if takeover else ROLES.get(name, name) for name, takeover in context.links.sent
    ]
    assert shown == asked.split(","), shown
    assert round(context.took_s * 1000) == took_ms, context.took_s
    assert context.run.collector.included_fraction == fraction


@then('the run may report "not run": {not_run}, with the error "{error}"')
def check_error(context, not_run, error):
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
