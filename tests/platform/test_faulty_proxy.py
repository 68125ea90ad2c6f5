"""Tests of the proxy that injects faults into the connections of the soak."""

from __future__ import annotations

import asyncio

from standins.faulty_proxy import FaultyProxy


def test_answer_reaches_a_client_that_has_closed_its_own_side():
    async def serve(reader, writer):
        await reader.read()
        writer.write(b"answer")
        await writer.drain()
        writer.close()

    async def ask():
        server = await asyncio.start_server(serve, "127.0.0.1")
        proxy = FaultyProxy("127.0.0.1", server.sockets[0].getsockname()[1])
        await proxy.start("127.0.0.1")
        reader, writer = await asyncio.open_connection("127.0.0.1", proxy.port)
        writer.write(b"question")
        writer.write_eof()
        try:
            async with asyncio.timeout(2.0):
                return await reader.read()
        finally:
            writer.close()
            proxy.stop()
            server.close()

    assert asyncio.run(ask()) == b"answer"
