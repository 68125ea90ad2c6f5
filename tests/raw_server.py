"""A backend server on bare sockets that drops connections at any point of a request."""

from __future__ import annotations

import asyncio
from collections import Counter

import msgspec

from fighinge.messages import BackendAnswer, BackendRequest, ServerState, ShardPart

POINTS = ("nowhere", "accept", "headers", "body", "running", "response")


class RawServer:
    """Counts executions and open connections; ``drop_at`` names where searches are dropped."""

    def __init__(self, executions: Counter) -> None:
        self.executions = executions
        self.drop_at = "nowhere"
        self.work_s = 0.0
        self.open_connections = 0
        self.peak_connections = 0
        self.opened_connections = 0
        self.cancelled: list[str] = []
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def port(self) -> int:
        """Return the port that the server was given."""
        return self._server.sockets[0].getsockname()[1]

    async def start(self) -> None:
        """Listen on a free port of the loopback address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)

    def stop(self) -> None:
        """Refuse new connections and drop the open ones."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        self.opened_connections += 1
        self.open_connections += 1
        self.peak_connections = max(self.peak_connections, self.open_connections)
        try:
            while await self._request(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            return
        finally:
            self.open_connections -= 1
            self._writers.discard(writer)
            writer.close()

    async def _request(self, reader, writer) -> bool:
        """Serve one request and return whether the connection stays open."""
        if self.drop_at == "accept":
            return False
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        path = head.split(" ")[1]
        if path == "/v1/state":
            return await self._write(writer, msgspec.json.encode(self._state()))
        if self.drop_at == "headers" and path == "/v1/search":
            return False
        length = int(head.split("content-length: ")[1].split("\r\n")[0])
        body = await reader.readexactly(length)
        if path == "/v1/cancel":
            self.cancelled.append(msgspec.json.decode(body)["call_id"])
            return await self._write(writer, b"{}")
        return await self._search(msgspec.json.decode(body, type=BackendRequest), writer)

    async def _search(self, request: BackendRequest, writer) -> bool:
        if self.drop_at == "body":
            return False
        self.executions[request.request_id] += 1
        await asyncio.sleep(self.work_s)
        if self.drop_at == "running":
            return False
        parts = [ShardPart(shard, request.index_version, [], 0) for shard in request.shards]
        answer = msgspec.json.encode(BackendAnswer(str(self.port), parts))
        if self.drop_at == "response":
            writer.write(_head(len(answer)) + answer[: len(answer) // 2])
            await writer.drain()
            return False
        return await self._write(writer, answer)

    def _state(self) -> ServerState:
        return ServerState(str(self.port), index_versions={"c": [1]})

    async def _write(self, writer, body: bytes) -> bool:
        writer.write(_head(len(body)) + body)
        await writer.drain()
        return True


def _head(length: int) -> bytes:
    return (
        f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n"
    ).encode()
