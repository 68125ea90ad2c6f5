"""Tests of the bounds of an entry on the bytes and the connections of all callers."""

from __future__ import annotations

import asyncio

from tornado.testing import bind_unused_port

from fighinge.entry.http_server import HttpLimits, create_server
from tests.test_http_server import RefusingExecutor

HEAD = b"POST /v1/services/desk/query HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"
QUERY = HEAD % 21 + b'{"request_id": "r-9"}'
HALF_BODY = HEAD % 100_000 + bytes(60_000)
WAIT_S = 10.0


def _serve(exercise, **limits):
    async def run():
        server = create_server(RefusingExecutor(), None, limits=HttpLimits(**limits))
        sock, port = bind_unused_port()
        server.add_socket(sock)
        try:
            return await asyncio.wait_for(exercise(server.bounds, port), WAIT_S)
        finally:
            server.stop()
            await server.close_all_connections()

    return asyncio.run(run())


async def _open(port: int, data: bytes):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    await asyncio.sleep(0.05)
    return reader, writer


async def _status(reader) -> bytes:
    return (await reader.readuntil(b"\r\n\r\n"))[:12]


def test_bodies_that_stop_half_way_leave_room_for_other_callers():
    async def exercise(bounds, port):
        stalled = [await _open(port, HALF_BODY) for _ in range(5)]
        reader, writer = await _open(port, QUERY)
        status = await _status(reader)
        ended = await stalled[0][0].read()
        for _, opened in (*stalled, (reader, writer)):
            opened.close()
        await asyncio.sleep(0.1)
        return status, ended, bounds.memory.used_bytes, len(bounds.connections)

    assert _serve(exercise, max_held_bytes=200_000) == (b"HTTP/1.1 429", b"", 0, 0)


def test_body_that_is_discarded_does_not_count_as_held():
    # Guards against callers that lose their connection, and the error, for bytes nobody holds.
    async def exercise(bounds, port):
        reader, writer = await _open(port, HEAD % 900_000 + bytes(900_000))
        status = await _status(reader)
        writer.close()
        return status

    limits = {"max_body_bytes": 50_000, "max_held_bytes": 200_000}
    assert _serve(exercise, **limits) == b"HTTP/1.1 413"


def test_new_connection_takes_the_place_of_a_silent_one():
    async def exercise(bounds, port):
        bounds.connections.limit = 4
        reader, writer = await _open(port, QUERY)
        statuses = [await _status(reader)]
        await reader.readexactly(1)
        silent = [await _open(port, b"") for _ in range(9)]
        count = len(bounds.connections)
        other_reader, other_writer = await _open(port, QUERY)
        statuses.append(await _status(other_reader))
        is_kept = not reader.at_eof()
        for _, opened in (*silent, (reader, writer), (other_reader, other_writer)):
            opened.close()
        return statuses, count, is_kept

    assert _serve(exercise) == ([b"HTTP/1.1 429"] * 2, 4, True)
