"""Serves callers on a socket from a router with scripted backend servers."""

from __future__ import annotations

import asyncio

from tornado.testing import bind_unused_port

from fighinge.platform.headers import PlatformCodec
from fighinge.router.caller_guard import CallerGuard
from fighinge.router.http_server import CallerServer
from tests.router.builders import RouterFixture, backend_record, route, table

REQUEST = (
    b"GET /single/x?y=%2F HTTP/1.1\r\nHost: search.example\r\nX-Request-Id: r1\r\n"
    b"X-Deadline-Ms: 2000\r\n\r\n"
)
MEMORY_BYTES = 512 * 1024 * 1024
MAX_DESCRIPTORS = 4096


def serve(exercise, call_s=0.02, **changes):
    """Run a coroutine function with a server, its port and the router behind it.

    :param call_s: time that a backend server takes
    """

    async def run():
        router = RouterFixture()
        router.publish(table(route(**changes)), backend_record("i1"))
        router.calls.default_delay_s = call_s
        codec = PlatformCodec()
        guard = CallerGuard(codec, router.clock, router.log, MEMORY_BYTES, MAX_DESCRIPTORS)
        server = CallerServer(router.service, codec, router.clock, guard)
        listener, port = bind_unused_port()
        listener.close()
        server.listen(port, "127.0.0.1")
        try:
            return await exercise(server, port, router)
        finally:
            server.stop_listening()
            await server.close()

    return asyncio.run(run())


async def read_response(reader):
    """Return the status line, the headers and the body of a response."""
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 3)
    lines = head.decode().split("\r\n")
    headers = {
        name.lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines[1:] if line)
    }
    body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body
