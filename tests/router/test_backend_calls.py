"""Tests of HTTP calls to backend servers over real sockets."""

from __future__ import annotations

import asyncio
import os
import resource
import socket
import struct
import time

import pytest

from fighinge.aggregator.base import Address, CallFailure, CallFault
from fighinge.router.backend_calls import PooledBackendCalls
from fighinge.router.backend_connection import (
    DEFAULT_IDLE_TIMEOUT_S,
    KEEP_ALIVE_MARGIN_S,
    idle_timeout_s,
)
from fighinge.router.exchange import BackendRequest
from fighinge.router.response_parser import (
    MAX_RESPONSE_BYTES,
    SMALL_RESPONSE_BYTES,
    ResponseBuffers,
    ResponseParser,
)
from standins.scripted_server import ScriptedServer, header, response

CHUNK_BYTES = 65_536
GET = BackendRequest("GET", "/a/../b%2f?x=1&&y", (("Host", "h.example"), ("X-Empty", "")), b"")
POST = BackendRequest("POST", "/a", (("Host", "h.example"), ("X-Request-Id", "r")), b"body")


def _run(reply, exercise):
    async def run():
        server = ScriptedServer(reply)
        await server.start()
        calls = PooledBackendCalls.create()
        try:
            return await exercise(calls, Address("127.0.0.1", server.port), server)
        finally:
            calls.close()
            server.stop()

    return asyncio.run(run())


async def _reply_ok(_head, writer):
    writer.write(response(b"ok"))
    return True


def test_request_is_sent_byte_for_byte():
    async def exercise(calls, address, server):
        await calls.call(address, GET, 1.0, is_idempotent=True)
        return server.heads[0]

    head = _run(_reply_ok, exercise)
    assert head.startswith(b"GET /a/../b%2f?x=1&&y HTTP/1.1\r\n")
    names = sorted(line.partition(b":")[0].lower() for line in head.split(b"\r\n")[1:-2])
    assert names == [b"host", b"x-empty"]
    assert header(head, "Host") == "h.example"


@pytest.mark.parametrize("method", ["POST", "PUT", "DELETE", "PATCH"])
def test_method_and_body_are_unchanged(method):
    async def exercise(calls, address, server):
        content = BackendRequest(method, "/a", (("Host", "h"),), b"body")
        result = await calls.call(address, content, 1.0, is_idempotent=False)
        return result, server.heads[0], server.bodies[0]

    result, head, body = _run(_reply_ok, exercise)
    assert result.body == b"ok"
    assert head.startswith(method.encode() + b" /a ")
    assert body == b"body"


@pytest.mark.parametrize("is_idempotent", [True, False])
@pytest.mark.parametrize("content", [GET, POST], ids=["get", "post"])
def test_request_arrives_once_if_the_server_closes_a_reused_connection(content, is_idempotent):
    arrivals = []

    async def reply(head, writer):
        arrivals.append(head)
        if len(arrivals) == 1:
            writer.write(response(b"ok"))
            return True
        return False

    async def exercise(calls, address, server):
        await calls.call(address, GET, 1.0, is_idempotent=True)
        result = await calls.call(address, content, 1.0, is_idempotent=is_idempotent)
        await asyncio.sleep(0.05)
        return result

    result = _run(reply, exercise)
    assert isinstance(result, CallFailure)
    assert result.fault is CallFault.CONNECTION_LOST
    assert "pre-request" not in result.reason
    assert result.reason == "the connection closed before the whole response"
    assert len(arrivals) == 2


def test_idempotent_requests_share_a_connection():
    async def exercise(calls, address, server):
        for _ in range(5):
            await calls.call(address, GET, 1.0, is_idempotent=True)
        return server.opened_connections

    assert _run(_reply_ok, exercise) == 1


def test_non_idempotent_requests_leave_no_connection_open():
    """None of them would use it, so that they would fill the server's limit of connections."""

    async def exercise(calls, address, server):
        for _ in range(5):
            await calls.call(address, POST, 1.0, is_idempotent=False)
        await asyncio.sleep(0.05)
        return server.opened_connections, server.open_connections

    assert _run(_reply_ok, exercise) == (5, 0)


def test_connection_is_not_reused_after_the_keep_alive_timeout():
    async def reply(_head, writer):
        writer.write(response(b"ok", Keep_Alive="timeout=1"))
        return True

    async def exercise(calls, address, server):
        await calls.call(address, GET, 1.0, is_idempotent=True)
        await asyncio.sleep(0.7)
        await calls.call(address, GET, 1.0, is_idempotent=True)
        return server.opened_connections

    assert _run(reply, exercise) == 2


# A wrong byte or too many digits raised an error in the connection, after its answer was given.
@pytest.mark.parametrize(
    "number", ["\xb2", "1\xb9", "9" * 400, "9" * 5000, "-1", "", "1e3", "soon"]
)
def test_keep_alive_timeout_that_is_no_number_of_seconds_is_ignored(number):
    headers = (("Keep-Alive", f"timeout={number}"),)
    assert idle_timeout_s(headers) == DEFAULT_IDLE_TIMEOUT_S


def test_keep_alive_timeout_is_read():
    headers = (("Keep-Alive", "max=5, timeout=20"),)
    assert idle_timeout_s(headers) == 20 - KEEP_ALIVE_MARGIN_S


def test_connection_with_a_spoiled_keep_alive_timeout_carries_the_next_request():
    async def reply(_head, writer):
        raw = response(b"ok").replace(b"\r\n\r\n", b"\r\nKeep-Alive: timeout=\xb2\r\n\r\n", 1)
        writer.write(raw)
        return True

    async def exercise(calls, address, server):
        errors = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _loop, context: errors.append(context))
        for _ in range(3):
            await calls.call(address, GET, 1.0, is_idempotent=True)
        return server.opened_connections, errors

    assert _run(reply, exercise) == (1, [])


def test_surplus_bytes_after_a_response_match_no_request():
    async def reply(head, writer):
        writer.write(response(b"ok", X_Answers=header(head, "X-Request-Id")))
        writer.write(response(b"extra", X_Answers="another"))
        return True

    async def exercise(calls, address, server):
        bodies = []
        for _ in range(3):
            result = await calls.call(address, POST, 1.0, is_idempotent=True)
            bodies.append(result.body)
            await asyncio.sleep(0.02)
        return bodies

    assert _run(reply, exercise) == [b"ok"] * 3


def test_second_copy_of_an_answer_reaches_no_further_request():
    """The copy arrives while the connection carries the next request, before its own answer."""
    answers = []

    async def reply(head, writer):
        request_id = header(head, "X-Request-Id")
        if request_id == "second":
            writer.write(answers[0])
            await asyncio.sleep(0.05)
        answers.append(response(request_id.encode(), X_Request_Id=request_id))
        writer.write(answers[-1])
        return True

    async def exercise(calls, address, server):
        answered = []
        for request_id in ("first", "second", "third"):
            headers = (("Host", "h"), ("X-Request-Id", request_id))
            content = BackendRequest("GET", "/a", headers, b"", ("X-Request-Id", request_id))
            result = await calls.call(address, content, 1.0, is_idempotent=True)
            answered.append((dict(result.headers)["X-Request-Id"], result.body))
        return answered, server.opened_connections

    answered, connections = _run(reply, exercise)
    assert answered[1] == ("first", b"first")  # the codec refuses it by its identifier
    assert answered[2] == ("third", b"third")
    assert connections == 2


@pytest.mark.parametrize(
    ("raw", "fault"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", CallFault.CONNECTION_LOST),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhal", None),
        (b"\x00\x01nonsense\r\n\r\n", None),
        (b"", CallFault.CONNECTION_LOST),
        (b"HTTP/1.1 200 OK\r\nX-Own: 1\r\n", CallFault.CONNECTION_LOST),
        (b"HTTP/1.1 200 OK\r\nX-Own: 1\r\nContent-Le", CallFault.CONNECTION_LOST),
        (b"HTTP/1.1 200 OK\r\nX-Own: 1\r\n\r", CallFault.CONNECTION_LOST),
        (b"HTTP/1.1 200 O", CallFault.CONNECTION_LOST),
        (b"HTTP/1.1 100 Continue\r\n\r\n", CallFault.CONNECTION_LOST),
        (b"HTTP/1.1 101 Other\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nx", None),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", None),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"1\r\na\r\n0\r\n\r\n",
            None,
        ),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nab", CallFault.BAD_ANSWER),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", CallFault.BAD_ANSWER),
    ],
    ids=[
        *("short", "cut chunk", "nonsense", "nothing", "head cut between lines"),
        *("head cut in a line", "head cut in its end", "status line cut", "interim only"),
        *("another protocol", "two lengths", "length and chunks", "unknown coding"),
        "invalid chunk",
    ],
)
def test_broken_response_is_a_failure(raw, fault):
    async def reply(_head, writer):
        writer.write(raw)
        await writer.drain()
        return False

    async def exercise(calls, address, server):
        return await calls.call(address, GET, 1.0, is_idempotent=True)

    result = _run(reply, exercise)
    assert isinstance(result, CallFailure)
    assert fault is None or result.fault is fault


def test_response_without_length_ends_when_the_connection_closes():
    async def reply(_head, writer):
        writer.write(b"HTTP/1.1 200 OK\r\n\r\nall of it")
        await writer.drain()
        return False

    async def exercise(calls, address, server):
        return await calls.call(address, GET, 1.0, is_idempotent=True)

    assert _run(reply, exercise).body == b"all of it"


def test_response_without_length_that_is_reset_is_a_failure():
    async def reply(_head, writer):
        writer.write(b"HTTP/1.1 200 OK\r\n\r\npart")
        await writer.drain()
        await asyncio.sleep(0.02)
        reset = struct.pack("ii", 1, 0)
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
        writer.transport.abort()
        return False

    async def exercise(calls, address, server):
        return await calls.call(address, GET, 1.0, is_idempotent=True)

    assert isinstance(_run(reply, exercise), CallFailure)


def test_cancelled_call_closes_its_connection():
    async def reply(_head, writer):
        await asyncio.sleep(5)
        return True

    async def exercise(calls, address, server):
        call = asyncio.create_task(calls.call(address, GET, 5.0, is_idempotent=True))
        await asyncio.sleep(0.1)
        call.cancel()
        await asyncio.sleep(0.1)
        return server.closed_by_caller, call.cancelled()

    assert _run(reply, exercise) == (1, True)


def test_refused_connection_is_reported_as_not_connected():
    async def exercise(calls, address, server):
        server.stop()
        await asyncio.sleep(0.02)
        return await calls.call(address, GET, 1.0, is_idempotent=True)

    assert _run(_reply_ok, exercise).fault is CallFault.NOT_CONNECTED


@pytest.mark.parametrize("port", [99_999, -1])
def test_address_that_cannot_be_connected_to_is_reported_as_not_connected(port):
    async def exercise(calls, address, server):
        unusable = Address("127.0.0.1", port)
        call = await calls.call(unusable, GET, 1.0, is_idempotent=True)
        return call, await calls.refuses_connections(unusable)

    failure, is_refused = _run(_reply_ok, exercise)
    assert failure.fault is CallFault.NOT_CONNECTED
    assert not is_refused


class _NoFreeDescriptor:
    """Leaves this process no free file descriptor while it is entered."""

    def __enter__(self):
        self._limits = resource.getrlimit(resource.RLIMIT_NOFILE)
        used = max(int(name) for name in os.listdir("/proc/self/fd")) + 1
        resource.setrlimit(resource.RLIMIT_NOFILE, (used, self._limits[1]))
        self._held = []
        try:
            while True:
                self._held.append(os.dup(0))
        except OSError:
            return self

    def __exit__(self, *_):
        for descriptor in self._held:
            os.close(descriptor)
        resource.setrlimit(resource.RLIMIT_NOFILE, self._limits)


# KNOWN-RED 30: answered 500, as an unexpected error.
def test_call_without_a_free_descriptor_does_not_count_against_the_server():
    async def exercise(calls, address, server):
        with _NoFreeDescriptor():
            failure = await calls.call(address, GET, 1.0, is_idempotent=True)
        return failure, len(server.heads)

    failure, requests = _run(_reply_ok, exercise)
    assert (failure.fault, requests) == (CallFault.CONNECTION_LIMIT, 0)


def test_call_without_a_free_descriptor_takes_that_of_an_idle_connection():
    async def exercise(calls, address, server):
        await calls.call(address, GET, 1.0, is_idempotent=True)
        with _NoFreeDescriptor():
            return await calls.call(address, POST, 1.0, is_idempotent=False)

    result = _run(_reply_ok, exercise)
    assert not isinstance(result, CallFailure) or result.fault is not CallFault.CONNECTION_LIMIT


def test_missing_answer_is_reported_as_timeout():
    async def reply(_head, writer):
        await asyncio.sleep(5)
        return True

    async def exercise(calls, address, server):
        return await calls.call(address, GET, 0.1, is_idempotent=True)

    assert _run(reply, exercise).fault is CallFault.TIMEOUT


def test_headers_of_a_response_that_breaks_off_are_reported():
    async def reply(_head, writer):
        writer.write(b"HTTP/1.1 503 Full\r\nServer-Leaving: 1\r\nContent-Length: 10\r\n\r\nhalf")
        await writer.drain()
        return False

    async def exercise(calls, address, server):
        return await calls.call(address, GET, 1.0, is_idempotent=True)

    result = _run(reply, exercise)
    assert result.fault is CallFault.CONNECTION_LOST
    assert result.status == 503
    assert ("Server-Leaving", "1") in result.headers


@pytest.mark.parametrize("is_first_call", [True, False])
def test_server_that_ends_under_a_request_is_reported_as_a_lost_connection(is_first_call):
    async def exercise(calls, address, server):
        if not is_first_call:
            await calls.call(address, GET, 1.0, is_idempotent=True)

        async def end(_head, _writer):
            server.stop()
            return False

        server.reply = end
        return await calls.call(address, GET, 1.0, is_idempotent=True)

    assert _run(_reply_ok, exercise).fault is CallFault.CONNECTION_LOST


ENDLESS = {
    "body without length": (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 65_536),
    "body with length": (b"HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n", b"x" * 65_536),
    "chunks": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"8\r\nxxxxxxxx\r\n" * 5000,
    ),
    "header lines": (b"HTTP/1.1 200 OK\r\n", b"X-Own: 1\r\n" * 5000),
    "one header line": (b"HTTP/1.1 200 OK\r\nX-Own: ", b"x" * 65_536),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2000),
    "no answer": (b"", b"\x00\xff" * 32_768),
}


@pytest.mark.parametrize("kind", ENDLESS)
def test_response_without_end_is_a_failure_after_a_bounded_number_of_bytes(kind):
    start, endless = ENDLESS[kind]
    sent = []

    async def reply(_head, writer):
        writer.write(start)
        while True:
            writer.write(endless)
            await writer.drain()
            sent.append(len(endless))

    async def exercise(calls, address, server):
        # Time of the processor, as other processes of a busy machine do not count.
        started_s = time.process_time()
        result = await calls.call(address, GET, 60.0, is_idempotent=True)
        return result, time.process_time() - started_s

    result, took_s = _run(reply, exercise)
    assert isinstance(result, CallFailure)
    assert result.fault is not CallFault.TIMEOUT
    assert took_s < 5.0
    assert sum(sent) < 4 * MAX_RESPONSE_BYTES


def test_small_response_is_accepted_beside_responses_without_end():
    async def reply(head, writer):
        if b"/endless" not in head:
            writer.write(response(b"x" * SMALL_RESPONSE_BYTES))
            return True
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * (MAX_RESPONSE_BYTES - 1))
        await writer.drain()
        await asyncio.sleep(5)
        return False

    async def exercise(calls, address, server):
        endless = BackendRequest("GET", "/endless", (("Host", "h"),), b"")
        pending = [
            asyncio.create_task(calls.call(address, endless, 1.5, is_idempotent=True))
            for _ in range(10)
        ]
        await asyncio.sleep(0.8)
        result = await calls.call(address, GET, 1.0, is_idempotent=True)
        return result, await asyncio.gather(*pending)

    result, failures = _run(reply, exercise)
    assert len(result.body) == SMALL_RESPONSE_BYTES
    assert all(isinstance(failure, CallFailure) for failure in failures)
    assert {failure.fault for failure in failures} == {CallFault.TIMEOUT, CallFault.BAD_ANSWER}


@pytest.mark.parametrize("is_listening", [True, False])
def test_refused_connection_is_told_from_an_accepted_one_without_a_request(is_listening):
    async def exercise(calls, address, server):
        if not is_listening:
            server.stop()
            await asyncio.sleep(0.02)
        return await calls.refuses_connections(address), server.heads

    assert _run(_reply_ok, exercise) == (not is_listening, [])


def test_only_the_excess_is_refused_if_many_responses_grow_before_one_ends():
    buffers = ResponseBuffers()
    parsers = [ResponseParser(buffers) for _ in range(10)]
    for parser in parsers:
        parser.feed(b"HTTP/1.1 200 OK\r\n\r\n")
    chunk = b"x" * CHUNK_BYTES
    refused = set()
    for _ in range(MAX_RESPONSE_BYTES // CHUNK_BYTES - 1):
        for parser in parsers:
            if parser not in refused and parser.feed(chunk):
                refused.add(parser)
    assert len(refused) == 2  # the other eight have less than MAX_BUFFERED_BYTES together


@pytest.mark.parametrize("status", ["000 Trouble", "099 X", "600 X", "999 X"])
@pytest.mark.parametrize("follows", [b"", response(b"ok")])
def test_status_outside_the_protocol_fails_the_call_and_ends_its_connection(status, follows):
    # 000 kept the call open until its deadline; 600 and 999 were passed on.
    async def reply(_head, writer):
        writer.write(response(status=status) + follows)
        return True

    async def exercise(calls, address, server):
        started_s = time.monotonic()
        results = [await calls.call(address, GET, 5.0, is_idempotent=True) for _ in range(2)]
        is_prompt = time.monotonic() - started_s < 5.0
        return [result.fault for result in results], server.opened_connections, is_prompt

    assert _run(reply, exercise) == ([CallFault.BAD_ANSWER] * 2, 2, True)


def test_call_that_may_not_send_leaves_its_connection_to_the_next_one():
    """A call that connects after another one has sent the request must send nothing."""

    async def exercise(calls, address, server):
        failure = await calls.call(address, POST, 1.0, is_idempotent=False, may_send=lambda: False)
        requests = len(server.heads)
        await calls.call(address, GET, 1.0, is_idempotent=True, may_send=lambda: True)
        return failure, requests, len(server.heads), calls.open_connections

    failure, requests, requests_after, connections = _run(_reply_ok, exercise)
    assert (failure.fault, requests) == (CallFault.CONNECTION_LIMIT, 0)
    assert (requests_after, connections) == (1, 1)
