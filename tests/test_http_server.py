"""Tests of the entry's HTTP interface with valid requests."""

from __future__ import annotations

import asyncio
import contextlib

import logbook
import msgspec
import pytest
from tornado.testing import bind_unused_port

from fighinge.curl import create_client
from fighinge.entry.http_server import create_server
from fighinge.errors import ErrorKind, Failure
from fighinge.logs import add_request_id, bind_request_id
from fighinge.metrics import QueryLabels
from fighinge.queries import QueryError


class BlockingExecutor:
    """Execute queries that end only by cancellation."""

    ready = False

    def __init__(self):
        self.started = asyncio.Event()
        self.cancelled = asyncio.Event()

    async def query(self, _name, _request, *, forwarded=False):
        self.started.set()
        try:
            await asyncio.sleep(60)
        finally:
            self.cancelled.set()


class FailingExecutor:
    """Raise an unexpected exception for each query."""

    ready = True

    async def query(self, _name, _request, *, forwarded=False):
        raise ValueError("secret")


class RefusingExecutor:
    """Refuse each query, to be repeated after a time."""

    ready = True

    async def query(self, _name, _request, *, forwarded=False):
        return QueryError(
            request_id="r-9",
            kind=ErrorKind.OVERLOADED,
            reason="busy",
            may_resend=True,
            not_run=True,
            retry_after_s=1.4,
        )


@contextlib.asynccontextmanager
async def _serving(executor, entries=None):
    server = create_server(executor, entries, lambda _name: QueryLabels("vaquero", "desk"))
    sock, port = bind_unused_port()
    server.add_socket(sock)
    client = create_client(10)
    try:
        yield client, f"http://127.0.0.1:{port}"
    finally:
        client.close()
        server.stop()
        await server.close_all_connections()


def test_query_is_cancelled_if_the_caller_disconnects():
    async def run():
        executor = BlockingExecutor()
        async with _serving(executor) as (_client, url):
            _reader, writer = await asyncio.open_connection("127.0.0.1", int(url.split(":")[2]))
            writer.write(b"POST /v1/services/desk/query HTTP/1.1\r\nHost: x\r\n")
            writer.write(b"Content-Length: 2\r\n\r\n{}")
            await asyncio.wait_for(executor.started.wait(), 5)
            writer.close()
            await asyncio.wait_for(executor.cancelled.wait(), 5)

    asyncio.run(run())


# Rounded to the nearest second, it let callers return early and be refused again.
def test_caller_is_never_told_to_return_before_the_wait_ends():
    async def run():
        async with _serving(RefusingExecutor()) as (_client, url):
            reader, writer = await asyncio.open_connection("127.0.0.1", int(url.split(":")[2]))
            writer.write(b"POST /v1/services/desk/query HTTP/1.1\r\nHost: x\r\n")
            writer.write(b'Content-Length: 21\r\n\r\n{"request_id": "r-9"}')
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5)
            writer.close()
            return head

    assert b"\r\nRetry-After: 2\r\n" in asyncio.run(run())


def test_unexpected_exception_is_counted_and_not_shown_to_the_caller():
    async def run():
        async with _serving(FailingExecutor()) as (client, url):
            response = await client.fetch(
                f"{url}/v1/services/desk/query",
                method="POST",
                body=b'{"request_id": "r-9"}',
                raise_error=False,
            )
            metrics = await client.fetch(f"{url}/metrics")
            return response, metrics

    response, metrics = asyncio.run(run())
    error = msgspec.json.decode(response.body, type=QueryError)
    assert (response.code, error.kind, error.request_id) == (500, ErrorKind.INTERNAL, "r-9")
    assert b"secret" not in response.body
    counted = 'fighinge_query_errors_total{kind="internal",query_class="desk",tenant="vaquero"} 1.0'
    assert counted in metrics.body.decode()


@pytest.mark.parametrize("path", ["/v1/entries", "/readyz"])
def test_not_ready_without_an_active_configuration(path):
    async def run():
        def entries(_caller, _zone):
            return Failure(ErrorKind.NOT_READY, "no configuration is known yet")

        async with _serving(BlockingExecutor(), entries) as (client, url):
            return await client.fetch(url + path, raise_error=False)

    assert asyncio.run(run()).code == 503


def test_log_records_of_a_request_have_its_identifier():
    async def run():
        bind_request_id("r-7")
        logbook.Logger("x").info("about a request")

    with logbook.TestHandler() as handler, logbook.Processor(add_request_id):
        asyncio.run(run())
        logbook.Logger("x").info("about none")
    assert [record.extra.get("request_id") for record in handler.records] == ["r-7", None]
