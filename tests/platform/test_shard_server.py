"""Tests of what the stand-in backend server of the routers' tests records."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

from tornado import httputil

from standins.shard_server import ShardServer


def test_pause_that_no_client_was_told_of_is_not_recorded():
    async def serve_closed_connection():
        server = ShardServer("i-1", "single", [])
        server.retry_after_s, server.is_leaving = 2.0, True
        connection = SimpleNamespace(stream=None, context=SimpleNamespace(remote_ip="127.0.0.1"))
        start_line = httputil.RequestStartLine("GET", "/one/x", "HTTP/1.1")
        await server.serve(connection, start_line, httputil.HTTPHeaders(), b"")
        return len(server.events.arrivals), server.events.refusals, server.events.leavings

    assert asyncio.run(serve_closed_connection()) == (1, [], [])
