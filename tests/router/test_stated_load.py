"""Tests of what backend servers state of their load: nonsense must cost nothing but a log line."""

from __future__ import annotations

from prometheus_client import REGISTRY

from tests.router.builders import RouterFixture, answer, backend_record, route, table
from tests.virtual_time import run

EVENT = "stated load unreadable"


async def _send_with_load(text: str, requests: int = 1) -> RouterFixture:
    router = RouterFixture()
    router.publish(table(route()), backend_record("i1"))
    router.calls.script("i1", (0.01, answer(X_Server_Load=text)))
    for number in range(requests):
        assert (await router.send(request_id=f"r{number}")).status == 200
    return router


def _unreadable() -> float:
    return REGISTRY.get_sample_value("fighinge_unreadable_loads_total") or 0.0


def test_unreadable_load_is_counted_each_time_and_logged_once_in_a_while():
    before = _unreadable()
    router = run(_send_with_load("3,0,8,fast", requests=20))
    lines = [line for line in router.log.lines if line["event"] == EVENT]
    assert [(line["backend"], line["unreadable"]) for line in lines] == [("i1", "3,0,8,fast")]
    assert _unreadable() - before == 20
    assert not router.pool.load_policy.is_on


def test_stated_slowness_does_not_turn_load_management_on():
    """Guards the deployments whose servers state four figures but that rank no callers."""
    router = run(_send_with_load("3,0,8,100"))
    assert not router.pool.load_policy.is_on
    assert EVENT not in router.log.events()
