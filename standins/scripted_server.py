"""Backend servers on plain sockets that count connections and send scripted responses."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

ReplyHandler = Callable[[bytes, asyncio.StreamWriter], Awaitable[bool]]


class ConnectionServer:
    """Base of servers that count connections; subclasses implement ``serve_request``."""

    def __init__(self) -> None:
        self.open_connections = 0
        self.peak_connections = 0
        self.opened_connections = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        return self._server.sockets[0].getsockname()[1]

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)

    def stop(self) -> None:
        """Stop listening and abort all open connections."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Read and answer one request.

        :returns: whether the connection stays open
        """
        raise NotImplementedError

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        self.opened_connections += 1
        self.open_connections += 1
        self.peak_connections = max(self.peak_connections, self.open_connections)
        try:
            while await self.serve_request(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            return
        finally:
            self.open_connections -= 1
            self._writers.discard(writer)
            writer.close()


class ScriptedServer(ConnectionServer):
    """Record requests and answer them with ``reply``.

    ``reply`` gets the request line and headers and the writer, and returns whether the connection
    stays open.
    """

    def __init__(self, reply: ReplyHandler) -> None:
        super().__init__()
        self.reply = reply
        self.heads: list[bytes] = []
        self.bodies: list[bytes] = []
        self.closed_by_caller = 0

    async def serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Read and record one request, then reply."""
        head = await reader.readuntil(b"\r\n\r\n")
        self.heads.append(head)
        self.bodies.append(await reader.readexactly(_content_length(head)))
        return await self._reply_unless_closed(reader, head, writer)

    async def _reply_unless_closed(
        self, reader: asyncio.StreamReader, head: bytes, writer: asyncio.StreamWriter
    ) -> bool:
        """Reply, unless the caller closes the connection first.

        The caller must not send anything before the reply is complete: data that it sends counts
        as a closed connection.
        """
        reply = asyncio.ensure_future(self.reply(head, writer))
        closing = asyncio.ensure_future(reader.read(1))
        await asyncio.wait({reply, closing}, return_when=asyncio.FIRST_COMPLETED)
        if reply.done():
            closing.cancel()
            await asyncio.gather(closing, return_exceptions=True)
            return reply.result()
        reply.cancel()
        self.closed_by_caller += 1
        return False


def response(body: bytes = b"", status: str = "200 OK", **headers: str) -> bytes:
    """Return an encoded HTTP response; underscores in header names become hyphens."""
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


def header(head: bytes, name: str) -> str:
    """Return the value of a header, empty if it is absent."""
    for line in head.decode("latin-1").split("\r\n")[1:]:
        key, _, value = line.partition(":")
        if key.lower() == name.lower():
            return value.strip()
    return ""


def _content_length(head: bytes) -> int:
    return int(header(head, "Content-Length") or 0)
