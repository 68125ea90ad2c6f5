"""A backend server on raw sockets that can drop connections at any point of a request."""

from __future__ import annotations

import asyncio
from collections import Counter

import msgspec

from fighinge.messages import BackendAnswer, BackendRequest, ServerState, ShardResult
from standins.scripted_server import ConnectionServer

DROP_POINTS = ("nowhere", "accept", "headers", "body", "running", "response")


class RawServer(ConnectionServer):
    """Counts executions and connections and drops connections at the point ``drop_at``.

    ``accept`` drops the connection of any request, the other points only those of searches.
    """

    def __init__(self, executions: Counter) -> None:
        super().__init__()
        self.executions = executions
        self.drop_at = "nowhere"
        self.service_time_s = 0.0
        self.cancelled: list[str] = []

    async def serve_request(self, reader, writer) -> bool:
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
        await asyncio.sleep(self.service_time_s)
        if self.drop_at == "running":
            return False
        parts = [ShardResult(shard, request.index_version, [], 0) for shard in request.shards]
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
