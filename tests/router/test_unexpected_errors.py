"""Tests that an error in the router itself leaves no request without an answer."""

from __future__ import annotations

import pytest

from fighinge.platform.headers import PlatformCodec
from fighinge.router.model import Target
from tests.router.builders import (
    RouterFixture,
    backend_record,
    gather_route,
    route,
    shard_backend_records,
    table,
)
from tests.virtual_time import run


def _raise(*_args):
    raise RuntimeError("unexpected")


# A request whose work ended by an error that nobody expected got no answer.
@pytest.mark.parametrize("path", ["/single/a", "/all/a"])
def test_request_is_answered_and_its_calls_end_after_an_unexpected_error(path, monkeypatch):
    async def ask():
        router = RouterFixture()
        records = [backend_record("single-0", "s9"), *shard_backend_records()]
        single = route(targets=(Target("s9"),))
        router.publish(table(single, gather_route(), services=10), *records)
        monkeypatch.setattr(PlatformCodec, "decode_response", _raise)
        answer = await router.send(path)
        in_flight = [
            backend.in_flight for service in router.pool.services() for backend in service.backends
        ]
        return answer.status, answer.is_not_run, sum(in_flight), router.log.events()

    status, is_not_run, in_flight, events = run(ask())
    assert (status, is_not_run, in_flight) == (500, False, 0)
    assert "request failed unexpectedly" in events
