"""Steps about early answers."""

from __future__ import annotations

from behave import given, then, when

from fighinge.entry.coverage import EarlyAnswerRule
from fighinge.entry.response_times import ResponseTimes
from fighinge.model import Service


@given("a service whose rule is {rule} with minimum coverage {minimum:g}")
def service(context, rule, minimum):
    configured = Service(
        collection="c",
        query_class="desk",
        rule=rule,
        soft_deadline_s=0.1,
        deadline_s=1.0,
        minimum_coverage=minimum,
    )
    context.rule = EarlyAnswerRule.from_service(configured, 0.0, 1.0)


@given("past answers that took {times} ms")
def past(context, times):
    context.times = ResponseTimes()
    for took_ms in times.split(","):
        context.times.observe("g", int(took_ms) / 1000, answered=True)


@given("past waits of {times} ms without an answer")
def past_waits(context, times):
    context.times = ResponseTimes()
    for waited_ms in times.split(","):
        context.times.observe("g", int(waited_ms) / 1000, answered=False)


@when("{share:g} of the shards is included after {now:d} ms")
def look(context, share, now):
    now_s = now / 1000
    chance = context.times.response_probability(
        "g", now_s, context.rule.horizon_s(now_s), context.rule.default_probability
    )
    context.early = context.rule.allows_answer(share, chance, now_s)


@then("the early answer is {given}")
def early(context, given):
    assert context.early is (given == "yes")
