"""Tests that statements of backend servers are heeded even if their calls were cancelled."""

from __future__ import annotations

import asyncio

import pytest

from fighinge.aggregator.base import Address
from fighinge.router.backend_calls import PooledBackendCalls
from fighinge.router.backend_connection import BackendConnection
from fighinge.router.connection_pool import LATE_WAIT_S, MAX_LATE_RESPONSES
from fighinge.router.limited_calls import CallKind
from standins.scripted_server import ConnectionServer, response
from tests.router.builders import RouterFixture, backend_record, request, route, table

REFUSAL = response(status="503 Full", X_Not_Executed="1", Retry_After="3")


class IgnoringServer(ConnectionServer):
    """Records when callers close their side of the connection, and calls ``reply`` nevertheless."""

    def __init__(self, reply):
        super().__init__()
        self.reply = reply
        self.closed_by_callers = 0

    async def serve_request(self, reader, writer):
        """Reply to one request and wait until the caller closes the connection."""
        await reader.readuntil(b"\r\n\r\n")
        await self.reply(writer)
        self.closed_by_callers += not await reader.read()
        return False


class Fixture:
    """A router with one real backend server and the task of its first call."""

    def __init__(self, reply):
        self.router = RouterFixture()
        self.server = IgnoringServer(reply)
        self.calls = PooledBackendCalls.create()
        self.router.call_runner._calls = self.calls
        self.call = None

    @property
    def backend(self):
        """Return the state of the only backend server."""
        return self.router.pool.service("s0").backends[0]

    async def start(self):
        """Start the server and a call to it."""
        await self.server.start()
        address = Address("127.0.0.1", self.server.port)
        self.router.publish(table(route()), backend_record("i1", address=address))
        self.call = self.start_call()

    def start_call(self):
        """Start a call to the server and return its task."""
        return self.router.call_runner.start(
            request(),
            self.backend,
            "single",
            2.0,
            fingerprint="f",
            is_probe=False,
            follows_loss=False,
            is_idempotent=True,
            kind=CallKind.HEDGE,
        )

    async def wait(self):
        """Wait until the call has ended and its connection must be closed."""
        await asyncio.wait([self.call])
        await asyncio.sleep(LATE_WAIT_S + 0.1)

    def close(self):
        """End the server and the calls."""
        self.calls.close()
        self.server.stop()


def _run(reply, exercise):
    async def run():
        fixture = Fixture(lambda writer: reply(fixture, writer))
        try:
            return await exercise(fixture)
        finally:
            fixture.close()

    return asyncio.run(run())


async def _start_and_wait(fixture):
    await fixture.start()
    await fixture.wait()
    return fixture.call.cancelled(), fixture.backend.refusal_left_s(fixture.router.clock())


@pytest.mark.parametrize("delay_s", [0.0, 0.02], ids=["just before", "after"])
def test_statement_that_crosses_the_cancellation_of_its_call_is_heeded(delay_s):
    async def reply(fixture, writer):
        if delay_s:
            fixture.call.cancel()
            await asyncio.sleep(delay_s)
        writer.write(REFUSAL)
        fixture.call.cancel()

    is_cancelled, refusal_left_s = _run(reply, _start_and_wait)
    assert is_cancelled
    assert 2.0 < refusal_left_s <= 3.0


def test_statement_of_a_call_that_ends_as_it_is_cancelled_is_heeded(monkeypatch):
    async def reply(_fixture, writer):
        writer.write(REFUSAL)

    async def exercise(fixture):
        complete = BackendConnection._complete

        def complete_and_cancel(connection):
            complete(connection)
            fixture.call.cancel()

        monkeypatch.setattr(BackendConnection, "_complete", complete_and_cancel)
        return await _start_and_wait(fixture)

    is_cancelled, refusal_left_s = _run(reply, exercise)
    assert is_cancelled
    assert 2.0 < refusal_left_s <= 3.0


def test_statement_is_heeded_before_the_rest_of_the_response():
    async def reply(fixture, writer):
        writer.write(REFUSAL.replace(b"Content-Length: 0", b"Content-Length: 10"))
        await asyncio.sleep(0.05)
        fixture.call.cancel()

    is_cancelled, refusal_left_s = _run(reply, _start_and_wait)
    assert is_cancelled
    assert 2.0 < refusal_left_s <= 3.0


@pytest.mark.parametrize("body", [b"", b"HTTP/1.1 ", b"x" * 100_000], ids=["no", "part", "no HTTP"])
def test_server_without_a_response_sees_at_once_that_the_call_was_cancelled(body):
    async def reply(fixture, writer):
        fixture.call.cancel()
        writer.write(body)

    async def exercise(fixture):
        await fixture.start()
        await asyncio.wait([fixture.call])
        await asyncio.sleep(LATE_WAIT_S / 2)
        closed_at_once = fixture.server.closed_by_callers
        await fixture.wait()
        return closed_at_once, fixture.server.open_connections, fixture.calls.late_responses

    assert _run(reply, exercise) == (1, 0, 0)


def test_number_of_responses_that_are_waited_for_is_limited():
    async def reply(_fixture, _writer):
        return None

    async def exercise(fixture):
        await fixture.start()
        calls = [fixture.call, *(fixture.start_call() for _ in range(MAX_LATE_RESPONSES + 10))]
        await asyncio.sleep(0.5)
        for call in calls:
            call.cancel()
        await asyncio.wait(calls)
        waiting = fixture.calls.late_responses
        await asyncio.sleep(LATE_WAIT_S + 0.1)
        return waiting, fixture.calls.late_responses, fixture.server.open_connections

    assert _run(reply, exercise) == (MAX_LATE_RESPONSES, 0, 0)
