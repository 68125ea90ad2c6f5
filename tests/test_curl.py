"""Tests of the curl client that processes share."""

from __future__ import annotations

import asyncio

from tornado.httpclient import HTTPRequest

from fighinge.aggregator.base import Address, CallFault
from fighinge.aggregator.http_client import HttpBackendClient
from fighinge.curl import TransferFailure, create_client, fetch_once
from standins.scripted_server import ScriptedServer, response

REQUESTS = 3
UNUSED_PROXY = "http://127.0.0.1:9"


async def _reply(_head, writer):
    writer.write(response(b"ok"))
    await writer.drain()
    return True


def test_all_connections_come_from_the_source_address():
    async def run():
        server = ScriptedServer(_reply)
        await server.start()
        client = create_client(1, "127.0.0.7")
        callers = []
        server.reply = lambda head, writer: _record_caller(callers, head, writer)
        request = HTTPRequest(f"http://127.0.0.1:{server.port}/")
        for _ in range(REQUESTS):
            await fetch_once(client, request, dedicated_connection=True)
        client.close()
        server.stop()
        return callers

    assert asyncio.run(run()) == ["127.0.0.7"] * REQUESTS


async def _record_caller(callers, head, writer):
    callers.append(writer.get_extra_info("peername")[0])
    return await _reply(head, writer)


def test_options_that_all_requests_share_hold_for_each_request_of_a_handle(monkeypatch):
    """A handle without its shared options would use the proxy of the environment."""
    monkeypatch.setenv("http_proxy", UNUSED_PROXY)

    async def run():
        server = ScriptedServer(_reply)
        await server.start()
        client = create_client(1)
        url = f"http://127.0.0.1:{server.port}/"
        results = [await fetch_once(client, HTTPRequest(url)) for _ in range(REQUESTS)]
        client.close()
        server.stop()
        return [isinstance(result, TransferFailure) for result in results]

    assert asyncio.run(run()) == [False] * REQUESTS


def test_status_outside_the_protocol_fails_the_call_and_ends_its_connection():
    """libcurl takes 600 and 999 as answers, and keeps the connection for the next request."""

    async def call(status: str) -> tuple[object, int]:
        async def reply(_head, writer):
            writer.write(response(b"{}", status=status))
            return True

        server = ScriptedServer(reply)
        await server.start()
        client = HttpBackendClient.create()
        address = Address("127.0.0.1", server.port)
        results = [await client.state(address, 5.0) for _ in range(2)]
        client.close()
        server.stop()
        return [getattr(result, "fault", result) for result in results], server.opened_connections

    async def run():
        return [await call(status) for status in ("000 X", "099 X", "600 X", "999 X")]

    for faults, connections in asyncio.run(run()):
        assert set(faults) <= {CallFault.BAD_ANSWER, CallFault.CONNECTION_LOST}
        assert connections == 2
