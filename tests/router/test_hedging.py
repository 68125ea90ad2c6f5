"""Tests of hedges that are due and not sent: each has to be explained, and costs no busy loop."""

from __future__ import annotations

import pytest
from prometheus_client import REGISTRY

from fighinge.router.hedging import RECHECK_S, Hedging, UnsentReason
from fighinge.router.service_call import CallLimits, ServiceCall
from tests.router.builders import TYPICAL_S, RouterFixture, backend_record, request, route, table
from tests.virtual_time import run

TIMEOUT_S = 1.0


def _count(reason: UnsentReason) -> float:
    labels = {"reason": reason.value}
    return REGISTRY.get_sample_value("fighinge_hedges_not_sent_total", labels) or 0.0


def _call(router: RouterFixture, may_hedge=lambda: True, **changes) -> ServiceCall:
    now_s = router.clock()
    limits = CallLimits("single", True, 2, now_s + TIMEOUT_S / 2, now_s + TIMEOUT_S)
    return ServiceCall(
        request(received_s=now_s),
        limits,
        router.pool.service("s0"),
        router.pool,
        router.call_runner,
        router.clock,
        may_hedge,
        **changes,
    )


def _router(servers: int = 2, typical_s: float = TYPICAL_S, **changes) -> RouterFixture:
    """Return a router whose backend servers are all silent."""
    router = RouterFixture(**changes)
    router.publish(table(route()), *(backend_record(f"i{number}") for number in range(servers)))
    router.set_typical_latency("single", typical_s)
    for number in range(servers):
        router.calls.script(f"i{number}", (60.0, None))
    return router


@pytest.mark.parametrize(
    ("reason", "servers", "budget", "may_hedge", "is_probe"),
    [
        (UnsentReason.BUDGET, 2, 0.0, True, False),
        (UnsentReason.NO_SERVER, 1, 100.0, True, False),
        (UnsentReason.TOO_MANY, 2, 100.0, False, False),
        (UnsentReason.PROBE, 2, 100.0, True, True),
    ],
)
def test_hedge_that_is_not_sent_is_explained_once_in_the_trace_and_counted_once(
    reason, servers, budget, may_hedge, is_probe
):
    async def scenario():
        router = _router(servers, budget_slack=budget, budget_ratio=0.0)
        call = _call(router, lambda: may_hedge, is_probe=is_probe)
        before = _count(reason)
        await call.run()
        return call, _count(reason) - before

    call, counted = run(scenario())
    notes = [entry for entry in call.trace.entries if entry.startswith("hedge")]
    assert notes == [f"hedge not sent: {reason.value}"]
    assert counted == 1
    assert f"hedge not sent: {reason.value}" in call.trace_text()


def test_hedge_that_would_answer_after_the_deadline_is_explained():
    async def scenario():
        typical_s = 3 * TYPICAL_S
        router = _router(typical_s=typical_s)
        for backend in router.pool.service("s0").backends:
            for _ in range(20):
                number = backend.start_call(typical_s, router.clock() - 30 * typical_s)
                backend.cancel_call(number, router.clock())
        call = _call(router)
        await call.run()
        return call.trace.entries

    assert "hedge not sent: no time" in run(scenario())


@pytest.mark.parametrize(
    ("reason", "is_lasting"), [(UnsentReason.BUDGET, False), (UnsentReason.QUARANTINE, True)]
)
def test_unsent_hedge_is_considered_again_only_if_its_reason_may_pass(reason, is_lasting):
    async def scenario():
        router = _router()
        now_s = router.clock()
        limits = CallLimits("single", True, 2, now_s + TIMEOUT_S / 2, now_s + TIMEOUT_S)
        service = router.pool.service("s0")
        hedging = Hedging(limits, service, router.pool, router.typical_latencies, lambda: True)
        due_s = hedging.due_s(now_s, now_s)
        is_new = [hedging.record_unsent(reason), hedging.record_unsent(reason)]
        return due_s, hedging.due_s(now_s, due_s), limits.hard_deadline_s, is_new

    due_s, next_s, hard_deadline_s, is_new = run(scenario())
    assert next_s == (hard_deadline_s if is_lasting else pytest.approx(due_s + RECHECK_S))
    assert is_new == [True, False]


def test_hedge_without_a_server_is_tried_a_bounded_number_of_times():
    """A hedge that is due again at once would keep the event loop busy until the deadline."""

    async def scenario():
        router = _router(servers=1)
        checks = 0

        def may_hedge() -> bool:
            nonlocal checks
            checks += 1
            return True

        await _call(router, may_hedge).run()
        return checks

    assert 1 <= run(scenario()) <= TIMEOUT_S / RECHECK_S
