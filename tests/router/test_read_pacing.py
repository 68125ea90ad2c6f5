"""Tests of the bound on the processor time for responses in very many small chunks."""

from __future__ import annotations

import asyncio

from fighinge.aggregator.base import Address
from fighinge.router.backend_calls import PooledBackendCalls
from fighinge.router.exchange import BackendRequest
from fighinge.router.read_pacing import FREE_PARTS, MAX_PARTS_PER_S, ReadPacing
from standins.scripted_server import ScriptedServer

NOW_S = 1000.0
CHUNKS = 30_000
PARTS_OF_READ = 40_000  # chunks of one byte in 256 KiB
GET = BackendRequest("GET", "/", (("Host", "h.example"),), b"")


def test_reads_of_ordinary_responses_are_not_delayed():
    pacing = ReadPacing()
    assert [pacing.delay_s(parts, NOW_S) for parts in (0, 1, FREE_PARTS)] == [0.0, 0.0, 0.0]


def test_costly_reads_of_all_connections_share_one_rate():
    pacing = ReadPacing()
    due_s = [NOW_S] * 7
    reads = 0
    while min(due_s) < NOW_S + 10.0:
        connection = due_s.index(min(due_s))
        now_s = due_s[connection]
        reads += 1
        due_s[connection] = now_s + pacing.delay_s(PARTS_OF_READ, now_s)
    undelayed = len(due_s)  # the first read of each connection
    assert (reads - undelayed) * PARTS_OF_READ <= 10.0 * MAX_PARTS_PER_S


def test_response_in_many_small_chunks_is_complete():
    async def reply(_head, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        writer.write(b"1\r\nx\r\n" * CHUNKS + b"0\r\n\r\n")
        return True

    async def exercise():
        server = ScriptedServer(reply)
        await server.start()
        calls = PooledBackendCalls.create()
        try:
            address = Address("127.0.0.1", server.port)
            return [await calls.call(address, GET, 5.0, is_idempotent=True) for _ in range(2)]
        finally:
            calls.close()
            server.stop()

    responses = asyncio.run(exercise())
    assert [(response.status, response.body) for response in responses] == [
        (200, b"x" * CHUNKS),
        (200, b"x" * CHUNKS),
    ]
