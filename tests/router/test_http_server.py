"""Tests of the HTTP server for callers over real sockets."""

from __future__ import annotations

import asyncio
import socket

from fighinge.router.http_server import IDLE_CHECK_S
from tests.router.http_serving import REQUEST, read_response, serve


async def _connect(port):
    return await asyncio.open_connection("127.0.0.1", port)


def test_connection_serves_several_requests():
    async def exercise(server, port, router):
        reader, writer = await _connect(port)
        statuses = []
        for _ in range(3):
            writer.write(REQUEST)
            status, headers, body = await read_response(reader)
            statuses.append(status)
            assert headers["x-server-stamp"] == "sig-i1"
            assert body == b"record-000000001"
        writer.close()
        return statuses

    assert serve(exercise) == ["HTTP/1.1 200 OK"] * 3


def test_call_is_cancelled_if_the_caller_disconnects():
    async def exercise(server, port, router):
        _, writer = await _connect(port)
        writer.write(REQUEST)
        await asyncio.sleep(0.1)
        assert len(router.calls.sent) == 1
        writer.close()
        await asyncio.sleep(0.1)
        return router.calls.cancelled_calls["i1"], router.log.events()

    cancelled_calls, events = serve(exercise, call_s=1.0)
    assert cancelled_calls == 1
    assert "caller disconnected" in events


def test_draining_router_answers_and_closes_connections():
    async def exercise(server, port, router):
        reader, writer = await _connect(port)
        writer.write(REQUEST)
        await asyncio.sleep(0.05)
        server.start_draining()
        first = await read_response(reader)
        reader2, writer2 = await _connect(port)
        writer2.write(REQUEST)
        second = await read_response(reader2)
        for opened in (writer, writer2):
            opened.close()
        return first, second

    for status, headers, _ in serve(exercise, call_s=0.1):
        assert status == "HTTP/1.1 200 OK"
        assert headers["connection"] == "close"


def test_request_sent_while_the_router_waits_until_idle_is_answered():
    async def exercise(server, port, router):
        reader, writer = await _connect(port)
        await asyncio.sleep(0.02)
        server.start_draining()
        server.stop_listening()
        drained = asyncio.create_task(server.wait_until_idle(3.0))
        await asyncio.sleep(IDLE_CHECK_S / 2)
        writer.write(REQUEST)
        status, _, _ = await read_response(reader)
        was_answered_first = not drained.done()
        assert await drained
        writer.close()
        return status, was_answered_first

    assert serve(exercise, call_s=0.2) == ("HTTP/1.1 200 OK", True)


def test_pending_connection_is_answered_when_listening_stops():
    async def exercise(server, port, router):
        caller = socket.create_connection(("127.0.0.1", port))
        caller.sendall(REQUEST)
        server.start_draining()
        server.stop_listening()
        reader, writer = await asyncio.open_connection(sock=caller)
        status, headers, _ = await read_response(reader)
        writer.close()
        return status, headers["connection"]

    status, connection = serve(exercise)
    assert status.startswith("HTTP/1.1 200")
    assert connection == "close"


def test_request_after_the_drain_is_not_forwarded():
    async def exercise(server, port, router):
        reader, writer = await _connect(port)
        server.refuse_requests()
        writer.write(REQUEST)
        received = await asyncio.wait_for(reader.read(), 2)
        writer.close()
        return received, router.calls.sent

    assert serve(exercise) == (b"", [])


def test_bad_request_is_rejected_with_the_name_of_the_field():
    async def exercise(server, port, router):
        reader, writer = await _connect(port)
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        status, _, body = await read_response(reader)
        writer.close()
        return status, body

    status, body = serve(exercise)
    assert status.startswith("HTTP/1.1 400")
    assert b"X-Request-Id" in body


def test_round_trip_time_to_the_caller_is_logged():
    async def exercise(server, port, router):
        reader, writer = await _connect(port)
        for _ in range(2):
            writer.write(REQUEST)
            await read_response(reader)
        writer.close()
        return [line["way_s"] for line in router.log.lines if line["event"] == "request"]

    first, second = serve(exercise)
    assert 0 <= second < 0.1
    assert 0 <= first < 0.1
