"""Tests of the limits on callers over real sockets, enforced while bytes arrive."""

from __future__ import annotations

import asyncio
import socket

from fighinge.router.model import CallerLimits
from tests.router.builders import answer
from tests.router.http_serving import MEMORY_BYTES, REQUEST, read_response, serve

LIMITS = CallerLimits(
    max_header_bytes=16_384, max_body_bytes=262_144, header_timeout_s=0.3, idle_timeout_s=1.0
)
HEAD = REQUEST[:-2].replace(b"GET", b"POST")
WAIT_S = 10.0
LARGE_BODY_BYTES = 3_000_000
PIECE = bytes(65_536)


def _serve(exercise, **changes):
    async def limited(server, port, router):
        server.set_limits(LIMITS)
        return await asyncio.wait_for(exercise(server, port, router), WAIT_S)

    return serve(limited, **changes)


def _exchange(*pieces: bytes, **changes):
    """Send pieces, then read the answer; return it with the requests that reached servers."""

    async def exercise(server, port, router):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
        status, headers, body = await read_response(reader)
        rest = await reader.read()
        writer.close()
        return status, headers.get("connection"), body, rest, len(router.calls.sent)

    return _serve(exercise, **changes)


def _pieces(total_bytes: int) -> list[bytes]:
    return [PIECE] * (total_bytes // len(PIECE))


def test_declared_body_over_the_limit_gets_413_while_its_caller_still_sends():
    head = HEAD + b"Content-Length: %d\r\n\r\n" % LARGE_BODY_BYTES
    status, connection, body, rest, runs = _exchange(head, *_pieces(LARGE_BODY_BYTES))
    assert status == "HTTP/1.1 413 Request Entity Too Large"
    assert (connection, rest, runs) == ("close", b"", 0)
    assert body.startswith(b"too_large: body")


def test_chunked_body_over_the_limit_gets_413_while_its_caller_still_sends():
    head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    chunks = [b"10000\r\n" + piece + b"\r\n" for piece in _pieces(LARGE_BODY_BYTES)]
    status, _, _, rest, runs = _exchange(head, *chunks)
    assert (status[:12], rest, runs) == ("HTTP/1.1 413", b"", 0)


def test_body_over_the_limit_that_awaits_a_go_ahead_gets_413_alone():
    head = HEAD + b"Content-Length: 300000\r\nExpect: 100-continue\r\n\r\n"
    status, _, _, rest, _ = _exchange(head)
    assert (status[:12], rest) == ("HTTP/1.1 413", b"")


def test_header_section_over_the_limit_gets_431_while_its_caller_still_sends():
    lines = [b"X-Line-%d: %b\r\n" % (number, b"x" * 1000) for number in range(100)]
    status, _, body, rest, runs = _exchange(HEAD, *lines)
    assert (status[:12], rest, runs) == ("HTTP/1.1 431", b"", 0)
    assert body.startswith(b"too_large: header section")


def test_request_at_the_limits_is_served():
    async def exercise(server, port, router):
        answers = []
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        padding = b"X-Line: %b\r\n" % (b"x" * (LIMITS.max_header_bytes - 400))
        length = b"Content-Length: %d\r\n\r\n" % LIMITS.max_body_bytes
        for _ in range(2):
            writer.write(HEAD + padding + length + bytes(LIMITS.max_body_bytes))
            answers.append((await read_response(reader))[0])
        head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        writer.write(head + b"1\r\nx\r\n" * 20_000 + b"0\r\n\r\n")
        answers.append((await read_response(reader))[0])
        writer.close()
        return answers, server.guard.memory.used_bytes

    answers, _ = _serve(exercise)
    assert answers == ["HTTP/1.1 200 OK"] * 3


def test_all_bytes_are_released_once_the_connections_are_closed():
    # Guards against a bound that closes in on ordinary callers over time.
    async def exercise(server, port, router):
        for end in (b"", REQUEST, HEAD, HEAD + b"Content-Length: 9\r\n\r\nx", REQUEST * 3):
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(end)
            await asyncio.sleep(0.1)
            writer.close()
        await asyncio.sleep(0.1)
        return server.guard.memory.used_bytes, len(server.guard.connections)

    assert _serve(exercise) == (0, 0)


def test_header_section_that_never_completes_ends_after_its_timeout():
    async def exercise(server, port, router):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(HEAD)
        rest = await reader.read()
        writer.close()
        refused = [line for line in router.log.lines if line["event"] == "callers refused"]
        return rest, [line["reasons"] for line in refused]

    assert _serve(exercise) == (b"", [{"header_timeout": 1}])


def test_idle_connection_outlasts_the_header_timeout():
    # Guards against a header timeout that counts from the previous answer.
    async def exercise(server, port, router):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(REQUEST)
        first = (await read_response(reader))[0]
        await asyncio.sleep(2 * LIMITS.header_timeout_s)
        writer.write(REQUEST)
        second = (await read_response(reader))[0]
        writer.close()
        return first, second

    assert _serve(exercise) == ("HTTP/1.1 200 OK", "HTTP/1.1 200 OK")


def test_body_that_stops_half_way_ends_after_the_idle_timeout():
    async def exercise(server, port, router):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(HEAD + b"Content-Length: 100\r\n\r\nhalf")
        rest = await reader.read()
        writer.close()
        return rest, router.calls.sent

    assert _serve(exercise) == (b"", [])


def test_callers_beyond_the_memory_get_503_and_ordinary_ones_are_served():
    async def exercise(server, port, router):
        server.guard.memory.limit_bytes = 300_000
        stalled = []
        for _ in range(3):
            stalled.append(await asyncio.open_connection("127.0.0.1", port))
            stalled[-1][1].write(HEAD + b"Content-Length: 200000\r\n\r\n" + bytes(140_000))
            await asyncio.sleep(0.05)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(REQUEST)
        served = (await read_response(reader))[0]
        refused = await read_response(stalled[0][0])
        for _, opened in (*stalled, (reader, writer)):
            opened.close()
        return served, refused[0], "retry-after" in refused[1], len(router.calls.sent)

    expected = ("HTTP/1.1 200 OK", "HTTP/1.1 503 Service Unavailable", True, 1)
    assert _serve(exercise) == expected


def test_answer_that_is_never_read_ends_after_the_idle_timeout():
    async def exercise(server, port, router):
        router.calls.next_results = [answer(bytes(4_000_000), signature="sig-i1")]
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.connect(("127.0.0.1", port))
        caller.sendall(REQUEST)
        held = []
        for _ in range(60):
            await asyncio.sleep(0.1)
            held.append(server.guard.memory.used_bytes)
            if len(held) > 5 and not held[-1]:
                break
        caller.close()
        return max(held) > 3_000_000, held[-1], len(server.guard.connections)

    assert _serve(exercise) == (True, 0, 0)


def test_connection_beyond_the_limit_takes_the_place_of_a_silent_one():
    async def exercise(server, port, router):
        server.guard.connections.limit = 5
        silent = [await asyncio.open_connection("127.0.0.1", port) for _ in range(12)]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(REQUEST)
        status = (await read_response(reader))[0]
        count = len(server.guard.connections)
        for _, opened in (*silent, (reader, writer)):
            opened.close()
        return status, count

    assert _serve(exercise) == ("HTTP/1.1 200 OK", 5)


def test_refusals_are_logged_at_a_bounded_rate():
    async def exercise(server, port, router):
        for _ in range(20):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(HEAD + b"Content-Length: 300000\r\n\r\n")
            await read_response(reader)
            writer.close()
        return router.log.events().count("callers refused")

    assert _serve(exercise) <= 2


def test_bounds_follow_from_the_settings():
    async def exercise(server, port, router):
        return server.guard.memory.limit_bytes

    assert _serve(exercise) == int(0.2 * MEMORY_BYTES)
