"""Steps about answers that are returned before the deadline with shards missing."""

from __future__ import annotations

from behave import given, then, when

from fighinge.entry.coverage import EarlyAnswerRule
from fighinge.entry.response_times import ResponseTimes
from fighinge.model import Service


@given(
    "a service: soft deadline {soft_ms:d} ms, deadline {deadline_ms:d} ms,"
    " rule {rule}, minimum coverage {minimum_coverage:g}"
)
def given_service(context, soft_ms, deadline_ms, rule, minimum_coverage):
    configured = Service(
        collection="c",
        query_class="desk",
        rule=rule,
        soft_deadline_s=soft_ms / 1000,
        deadline_s=deadline_ms / 1000,
        minimum_coverage=minimum_coverage,
    )
    context.rule = EarlyAnswerRule.from_service(configured, 0.0, configured.deadline_s)


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
