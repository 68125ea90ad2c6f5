"""Stand-in backend server whose responses have no end."""

from __future__ import annotations

import asyncio

import msgspec

WRITE_INTERVAL_S = 0.01


class Endless(msgspec.Struct, frozen=True):
    """The beginning of a response and what follows it over and over."""

    start: bytes
    repeated: bytes


ENDLESS = {
    "head": Endless(b"HTTP/1.1 200 OK\r\n", b"X-Own: 1\r\n" * 50),
    "header line": Endless(b"HTTP/1.1 200 OK\r\nX-Own: ", b"x" * 4_096),
    "body with length": Endless(
        b"HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n", b"x" * 65_536
    ),
    "body without length": Endless(b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 65_536),
    "chunks": Endless(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n" * 400
    ),
    "byte at a time": Endless(b"HTTP/1.1 200 OK\r\n\r\n", b"x"),
    "interim responses": Endless(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 50),
}


class EndlessServer:
    """Simulate a backend server process that answers each request by an endless response.

    :param kind: one of ``ENDLESS``
    :param rate: factor of the bytes that it sends in a time
    """

    def __init__(
        self, instance_id: str, service: str, kind: str, zone: str, *, rate: int = 1
    ) -> None:
        self.instance_id = instance_id
        self.service = service
        self.zone = zone
        self.calls = 0
        self.sent_bytes = 0
        self._start = ENDLESS[kind].start
        self._repeated = ENDLESS[kind].repeated * rate
        self._address = ""
        self._server: asyncio.Server | None = None

    async def start(self, port: int, host: str) -> None:
        """Listen on an address."""
        self._address = f"{host}:{port}"
        self._server = await asyncio.start_server(self._serve, host, port)

    def stop(self) -> None:
        """Stop listening; responses end with their connections."""
        if self._server is not None:
            self._server.close()

    def store_value(self) -> dict:
        """Return the value that the server writes to the store to be listed."""
        return {
            "service": self.service,
            "address": self._address,
            "zone": self.zone,
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "cold-left-ms": 0,
            "seq": 1,
            "born": 1,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            self.calls += 1
            writer.write(self._start)
            while True:
                writer.write(self._repeated)
                await writer.drain()
                self.sent_bytes += len(self._repeated)
                await asyncio.sleep(WRITE_INTERVAL_S)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass  # the router closed the connection, which is what ends a response
        finally:
            writer.close()
