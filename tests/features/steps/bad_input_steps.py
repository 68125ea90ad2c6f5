"""Steps about bad input over real connections."""

from __future__ import annotations

import asyncio
import json

from behave import given, then, when
from tornado.testing import bind_unused_port

from fighinge.entry.at_most_once import AtMostOnceExecutor
from fighinge.entry.http_server import HttpLimits, create_server
from fighinge.entry.tickets import TicketRegistry
from tests.systems import whole_system

SERVICE = "/v1/services/desk/query"
READ_TIMEOUT_S = 5.0


def _field(**fields) -> bytes:
    return json.dumps({"request_id": "r-1", **fields}).encode()


BODIES = {
    "body too large": b'{"sort": "' + b"x" * 3000 + b'"}',
    "deep JSON": b"[" * 1900,
    "deep filter": b'{"filter": ' + b"[" * 1800 + b"}",
    "broken JSON": b'{"limit": 1,',
    "empty body": b"",
    "not UTF-8": b'{"sort": "\xff\xfe"}',
    "JSON list": b"[]",
    "negative limit": _field(limit=-1),
    "huge limit": _field(limit=10**9),
    "past deadline": _field(deadline_ms=-5),
    "endless deadline": _field(deadline_ms=1e12),
    "unknown field": _field(colour="red"),
    "wrong type": _field(facets=[7]),
    "too many facets": _field(facets=["a"] * 17),
    "wrong request id": _field(request_id="<script>"),
    "wrong cursor": _field(cursor="%%%"),
    "no ticket": _field(repeatable=False),
    "wrong ticket": _field(repeatable=False, ticket="x"),
}
GOOD = _field(limit=1)


def _post(body: bytes, path: str = SERVICE, headers: str = "", length: int | None = None) -> bytes:
    length = len(body) if length is None else length
    head = f"POST {path} HTTP/1.1\r\nHost: x\r\n{headers}Content-Length: {length}\r\n\r\n"
    return head.encode() + body


def _raw(name: str) -> bytes:
    if name in BODIES:
        return _post(BODIES[name])
    chunk = b"%x\r\n%s\r\n0\r\n\r\n" % (3000, b"x" * 3000)
    head = f"POST {SERVICE} HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    return {
        "chunked too large": head.encode() + chunk,
        "huge length": _post(b"{", length=10**12),
        "unknown service": _post(_field(), "/v1/services/none/query"),
        "unknown path": _post(_field(), "/v2/none"),
        "wrong method": f"DELETE {SERVICE} HTTP/1.1\r\nHost: x\r\n\r\n".encode(),
        "slow sender": _post(b"{", length=10),
        "header flood": _post(_field(), headers="".join(f"X-{n}: y\r\n" for n in range(4000))),
        "noise": b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n",
        "endless headers": b"GET / HTTP/1.1\r\n" + b"X: yyyyyyyyyyyyyyyyyyyyyyyy\r\n" * 20000,
        "two lengths": _post(b"{}", headers="Content-Length: 7\r\n"),
        "cut short": b"POST /v1/serv",
    }[name]


async def _exchange(port: int, data: bytes, *, end: bool = False) -> tuple[int, bytes]:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(data)
        if end:
            writer.write_eof()
        async with asyncio.timeout(READ_TIMEOUT_S):
            return await _read_response(reader)
    finally:
        writer.close()


async def _read_response(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        lengths = [line for line in head.splitlines() if line.startswith("Content-Length")]
        body = await reader.readexactly(int(lengths[0].split()[1])) if lengths else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return 0, b""
    return int(head.split()[1]), body


async def _serve(limits: HttpLimits, *exchanges) -> list[tuple[int, bytes]]:
    async with whole_system() as service:
        loop = asyncio.get_running_loop()
        queries = AtMostOnceExecutor(service, TicketRegistry.create("e1"), None, loop.time)
        server = create_server(queries, lambda _caller, _zone: None, limits=limits)
        sock, port = bind_unused_port()
        server.add_socket(sock)
        try:
            return [await _exchange(port, data, end=end) for data, end in exchanges]
        finally:
            server.stop()
            await server.close_all_connections()


@given("an entry's HTTP interface that takes {size:d} bytes of body and {seconds:g} s to send it")
def interface(context, size, seconds):
    context.limits = HttpLimits(max_body_bytes=size, body_timeout_s=seconds)


@when('a caller sends the bad input "{name}"')
def send(context, name):
    exchanges = ((_raw(name), False), (_post(GOOD), False))
    context.bad, context.good = asyncio.run(_serve(context.limits, *exchanges))


@when('a caller sends the bytes of "{name}"')
def send_bytes(context, name):
    exchanges = ((_raw(name), name == "cut short"), (_post(GOOD), False))
    context.bad, context.good = asyncio.run(_serve(context.limits, *exchanges))


@then('the bad input is answered with status {status:d}, kind "{kind}" and field "{field}"')
def answered(context, status, kind, field):
    code, body = context.bad
    error = json.loads(body)
    assert (code, error["kind"], error["field"]) == (status, kind, field), context.bad
    assert error["reason"]
    assert "Traceback" not in error["reason"]


@then('the bad input is answered with status {status:d}, kind "{kind}" and field ""')
def answered_without_field(context, status, kind):
    answered(context, status, kind, "")


@then('the bad input\'s answer has the request id "{request_id}" and says not run')
def echoed(context, request_id):
    error = json.loads(context.bad[1])
    assert (error["request_id"], error["not_run"]) == (request_id, True), error


@then('the bad input\'s answer has the request id "" and says not run')
def not_echoed(context):
    echoed(context, "")


@then("the connection ends without details")
def ended(context):
    assert context.bad[0] in (0, 400), context.bad
    assert context.bad[1] == b""


@then("the next good request is answered")
def serves_on(context):
    assert context.good[0] == 200, context.good
