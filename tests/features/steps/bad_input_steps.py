"""Steps about invalid requests and malformed HTTP over real connections."""

from __future__ import annotations

import asyncio
import json

from behave import given, then, when
from tornado.testing import bind_unused_port

from fighinge.entry.at_most_once import AtMostOnceExecutor
from fighinge.entry.http_server import HttpLimits, create_server
from fighinge.entry.tickets import TicketRegistry
from tests.systems import whole_system

QUERY_PATH = "/v1/services/desk/query"
READ_TIMEOUT_S = 5.0


def _query_body(**fields) -> bytes:
    return json.dumps({"request_id": "r-1", **fields}).encode()


BODIES = {
    "body too large": b'{"sort": "' + b"x" * 3000 + b'"}',
    "deeply nested JSON": b"[" * 1900,
    "deeply nested filter": b'{"filter": ' + b"[" * 1800 + b"}",
    "incomplete JSON": b'{"limit": 1,',
    "empty body": b"",
    "not UTF-8": b'{"sort": "\xff\xfe"}',
    "JSON list": b"[]",
    "negative limit": _query_body(limit=-1),
    "huge limit": _query_body(limit=10**9),
    "negative deadline": _query_body(deadline_ms=-5),
    "huge deadline": _query_body(deadline_ms=1e12),
    "unknown field": _query_body(colour="red"),
    "wrong type": _query_body(facets=[7]),
    "too many facets": _query_body(facets=["a"] * 17),
    "invalid request id": _query_body(request_id="<script>"),
    "invalid cursor": _query_body(cursor="%%%"),
    "no ticket": _query_body(repeatable=False),
    "invalid ticket": _query_body(repeatable=False, ticket="x"),
}
VALID_BODY = _query_body(limit=1)


def _post_request(
    body: bytes, path: str = QUERY_PATH, headers: str = "", length: int | None = None
) -> bytes:
    length = len(body) if length is None else length
    head = f"POST {path} HTTP/1.1\r\nHost: x\r\n{headers}Content-Length: {length}\r\n\r\n"
    return head.encode() + body


def _request_bytes(name: str) -> bytes:
    if name in BODIES:
        return _post_request(BODIES[name])
    chunk = b"%x\r\n%s\r\n0\r\n\r\n" % (3000, b"x" * 3000)
    head = f"POST {QUERY_PATH} HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    return {
        "chunked body too large": head.encode() + chunk,
        "huge Content-Length": _post_request(b"{", length=10**12),
        "unknown service": _post_request(_query_body(), "/v1/services/none/query"),
        "unknown path": _post_request(_query_body(), "/v2/none"),
        "wrong method": f"DELETE {QUERY_PATH} HTTP/1.1\r\nHost: x\r\n\r\n".encode(),
        "slow body": _post_request(b"{", length=10),
        "too many headers": _post_request(
            _query_body(), headers="".join(f"X-{n}: y\r\n" for n in range(4000))
        ),
        "binary data": b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n",
        "endless headers": b"GET / HTTP/1.1\r\n" + b"X: yyyyyyyyyyyyyyyyyyyyyyyy\r\n" * 20000,
        "conflicting lengths": _post_request(b"{}", headers="Content-Length: 7\r\n"),
        "incomplete head": b"POST /v1/serv",
    }[name]


async def _exchange(port: int, data: bytes, *, send_eof: bool = False) -> tuple[int, bytes]:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(data)
        if send_eof:
            writer.write_eof()
        async with asyncio.timeout(READ_TIMEOUT_S):
            return await _read_response(reader)
    finally:
        writer.close()


async def _read_response(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    """Return the status and the body; the status is 0 if the connection ends before them."""
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
        executor = AtMostOnceExecutor(service, TicketRegistry.create("e1"), None, loop.time)
        server = create_server(executor, lambda _caller, _zone: None, limits=limits)
        sock, port = bind_unused_port()
        server.add_socket(sock)
        try:
            return [await _exchange(port, data, send_eof=send_eof) for data, send_eof in exchanges]
        finally:
            server.stop()
            await server.close_all_connections()


@given("an entry whose HTTP interface accepts {max_bytes:d} bytes of body within {timeout_s:g} s")
def given_http_interface(context, max_bytes, timeout_s):
    context.limits = HttpLimits(max_body_bytes=max_bytes, body_timeout_s=timeout_s)


@when('a caller sends the invalid request "{name}"')
@when('a caller sends the malformed HTTP "{name}"')
def send_invalid_input(context, name):
    exchanges = (
        (_request_bytes(name), name == "incomplete head"),
        (_post_request(VALID_BODY), False),
    )
    context.invalid_response, context.valid_response = asyncio.run(
        _serve(context.limits, *exchanges)
    )


@then('the entry responds with status {status:d}, error kind "{kind}" and field "{field}"')
def check_error(context, status, kind, field):
    code, body = context.invalid_response
    error = json.loads(body)
    assert (code, error["kind"], error["field"]) == (status, kind, field), context.invalid_response
    assert error["reason"]
    assert "Traceback" not in error["reason"]


@then('the entry responds with status {status:d}, error kind "{kind}" and field ""')
def check_error_without_field(context, status, kind):
    check_error(context, status, kind, "")


@then('the error has the request id "{request_id}" and says that the request did not run')
def check_request_id(context, request_id):
    error = json.loads(context.invalid_response[1])
    assert (error["request_id"], error["not_run"]) == (request_id, True), error


@then('the error has the request id "" and says that the request did not run')
def check_no_request_id(context):
    check_request_id(context, "")


@then("the response is absent or has status 400 and no body")
def check_no_response_body(context):
    assert context.invalid_response[0] in (0, 400), context.invalid_response
    assert context.invalid_response[1] == b""


@then("the entry answers the next valid request")
def check_next_answer(context):
    assert context.valid_response[0] == 200, context.valid_response
