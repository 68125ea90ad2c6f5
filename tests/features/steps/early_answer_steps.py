"""Steps about early answers."""

from __future__ import annotations

from behave import given, then, when

from fighinge.entry.coverage import EarlyAnswerRule
from fighinge.entry.response_times import ResponseTimes
from fighinge.model import Service


@given("a service with the rule {rule} and a minimum coverage of {minimum_coverage:g}")
def given_service(context, rule, minimum_coverage):
    configured = Service(
        collection="c",
        query_class="desk",
        rule=rule,
        soft_deadline_s=0.1,
        deadline_s=1.0,
        minimum_coverage=minimum_coverage,
    )
    context.rule = EarlyAnswerRule.from_service(configured, 0.0, 1.0)


@given("past answers that took {times_ms} ms")
def given_past_answers(context, times_ms):
    context.response_times = ResponseTimes()
    for took_ms in times_ms.split(","):
        context.response_times.observe("g", int(took_ms) / 1000, answered=True)


@given("past calls that were abandoned without an answer after {times_ms} ms")
def given_abandoned_calls(context, times_ms):
    context.response_times = ResponseTimes()
    for waited_ms in times_ms.split(","):
        context.response_times.observe("g", int(waited_ms) / 1000, answered=False)


@when("a fraction of {fraction:g} of the shards is included after {now_ms:d} ms")
def apply_rule(context, fraction, now_ms):
    now_s = now_ms / 1000
    probability = context.response_times.response_probability(
        "g", now_s, context.rule.horizon_s(now_s), context.rule.default_probability
    )
    context.is_early = context.rule.allows_answer(fraction, probability, now_s)


@then("an early answer is returned: {early}")
def check_early_answer(context, early):
    assert context.is_early is (early == "yes")
