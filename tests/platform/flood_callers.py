"""Callers that exceed the limits of requests, or hold connections without using them."""

from __future__ import annotations

import asyncio
import itertools
import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

SEND_TIMEOUT_S = 20.0  # of one caller; a router that no longer reads must not hold up the test
PIECE_BYTES = 64 * 1024
SMALL_RECEIVE_BUFFER_BYTES = 4096  # keeps unread answers out of the kernel's buffers
BODY_BYTES = 7_000_000
TINY_CHUNKS = 400_000  # of one byte each
HEADER_LINES = 2_000  # of about 1,000 bytes


def _head(target: str, *lines: str) -> bytes:
    request_id = f"X-Request-Id: flood-{next(_ids)}"
    head = [f"POST {target} HTTP/1.1", "Host: search.example", request_id, "X-Deadline-Ms: 2000"]
    return "\r\n".join([*head, *lines, "", ""]).encode()


_ids = itertools.count(1)


def declared_body(target: str) -> Iterator[bytes]:
    """Yield a request with a body over the limit whose length is declared, but for its end."""
    yield _head(target, f"Content-Length: {BODY_BYTES}")
    for _ in range(BODY_BYTES // PIECE_BYTES):
        yield bytes(PIECE_BYTES)


def chunked_body(target: str) -> Iterator[bytes]:
    """Yield a request with a body over the limit in chunks, but for its end."""
    yield _head(target, "Transfer-Encoding: chunked")
    for _ in range(BODY_BYTES // PIECE_BYTES):
        yield b"%x\r\n%b\r\n" % (PIECE_BYTES, bytes(PIECE_BYTES))


def tiny_chunks(target: str) -> Iterator[bytes]:
    """Yield a request with a body over the limit in chunks of one byte, but for its end."""
    yield _head(target, "Transfer-Encoding: chunked")
    for _ in range(TINY_CHUNKS // 10_000):
        yield b"1\r\nx\r\n" * 10_000


def half_body(target: str) -> Iterator[bytes]:
    """Yield a request inside the limit of the tests that stops in the middle of its body."""
    yield _head(target, "Content-Length: 262144")
    yield bytes(131_072)


def endless_header(target: str) -> Iterator[bytes]:
    """Yield a request with a header section without end."""
    yield _head(target)[:-2]
    for number in range(HEADER_LINES):
        yield b"X-Line-%d: %b\r\n" % (number, b"x" * 1000)


def half_header(target: str) -> Iterator[bytes]:
    """Yield a request that stops in the middle of its header section, below the limit."""
    yield _head(target)[:-2] + b"X-Line: " + b"x" * 12_000


def complete_request(target: str) -> Iterator[bytes]:
    """Yield a complete request, whose answer is not read."""
    yield _head(target, "Content-Length: 0")


def nothing(_target: str) -> Iterator[bytes]:
    """Yield nothing on an open connection."""
    yield from ()


class FloodCaller:
    """A caller that sends, never reads an answer and leaves its connection open."""

    def __init__(self) -> None:
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER_BYTES)
        self._socket.setblocking(False)

    async def send(self, host: str, port: int, pieces: Iterator[bytes]) -> None:
        """Connect and send all pieces, unless the connection ends before."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(SEND_TIMEOUT_S):
                await loop.sock_connect(self._socket, (host, port))
                for piece in pieces:
                    await loop.sock_sendall(self._socket, piece)
        except (OSError, TimeoutError):
            pass

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()


async def flood(
    host: str,
    port: int,
    target: str,
    kinds: list[Callable[[str], Iterator[bytes]]],
    callers: int,
) -> list[FloodCaller]:
    """Have callers send requests of some kinds in turn; return them with open connections."""
    crowd = [FloodCaller() for _ in range(callers)]
    kinds_in_turn = itertools.cycle(kinds)
    await asyncio.gather(
        *(caller.send(host, port, next(kinds_in_turn)(target)) for caller in crowd)
    )
    return crowd
