"""A stand-in backend server: shards of generated records behind the real protocol."""

from __future__ import annotations

import asyncio
import random
import uuid

import msgspec
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from fighinge.messages import (
    BackendAnswer,
    BackendCancel,
    BackendRefusal,
    BackendRequest,
    ServerState,
)
from fighinge.model import Document
from standins.records import search_shard


class Behaviour(msgspec.Struct):
    """How a stand-in serves; every field may be changed while it runs."""

    service_ms: float = 5.0
    straggler_share: float = 0.0
    straggler_factor: float = 10.0
    one_way_ms: float = 0.0
    connect_ms: float = 0.0
    queue_limit: int = 8
    draining: bool = False


class StandinServer:
    """One backend server with slots, a short queue and generated records."""

    def __init__(self, name: str, document: Document, seed: int) -> None:
        self.name = name
        self.document = document
        self.behaviour = Behaviour()
        self.process_id = uuid.uuid4().hex
        self.slots = document.backend_servers[name].slots
        self.in_flight = 0
        self.executions: dict[str, int] = {}
        self._random = random.Random(f"{name}/{seed}")
        self._running: dict[str, asyncio.Task] = {}
        self._free = asyncio.Semaphore(self.slots)

    def state(self) -> ServerState:
        """Return the load report."""
        versions = {
            name: [
                snapshot.index_version
                for snapshot in collection.snapshots
                if any(self.name in shard.replicas for shard in snapshot.shards.values())
            ]
            for name, collection in self.document.collections.items()
        }
        return ServerState(
            process_id=self.process_id,
            state="draining" if self.behaviour.draining else "ready",
            slots=self.slots,
            in_flight=self.in_flight,
            index_versions=versions,
        )

    async def search(self, request: BackendRequest) -> BackendAnswer | BackendRefusal:
        """Run a call, or refuse it."""
        if self.behaviour.draining:
            return BackendRefusal(self.process_id, "draining", self.state())
        if self.in_flight >= self.slots + self.behaviour.queue_limit:
            return BackendRefusal(self.process_id, "shed", self.state())
        collection = self.document.collections.get(request.collection)
        snapshot = collection.snapshot(request.index_version) if collection else None
        if snapshot is None:
            return BackendRefusal(self.process_id, "index_version", self.state())
        self.executions[request.request_id] = self.executions.get(request.request_id, 0) + 1
        self._running[request.call_id] = asyncio.current_task()
        self.in_flight += 1
        try:
            async with self._free:
                await asyncio.sleep(self._service_s())
        finally:
            self.in_flight -= 1
            self._running.pop(request.call_id, None)
        parts = [search_shard(shard, snapshot, request.search) for shard in request.shards]
        return BackendAnswer(self.process_id, parts, state=self.state())

    def cancel(self, call_id: str) -> None:
        """Stop running a call."""
        task = self._running.get(call_id)
        if task is not None:
            task.cancel()

    def _service_s(self) -> float:
        behaviour = self.behaviour
        seconds = behaviour.service_ms / 1000 * self._random.uniform(0.8, 1.2)
        if self._random.random() < behaviour.straggler_share:
            seconds *= behaviour.straggler_factor
        return seconds + 2 * behaviour.one_way_ms / 1000


class ServerHandler(RequestHandler):
    """The base of the handlers of one stand-in."""

    def initialize(self, server: StandinServer) -> None:
        """Take the server that this request is for."""
        self.server = server

    def write_message(self, message: msgspec.Struct) -> None:
        """Finish the response with a message."""
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(message))


class SearchHandler(ServerHandler):
    """``POST /v1/search``"""

    async def post(self) -> None:
        """Run a call."""
        request = msgspec.json.decode(self.request.body, type=BackendRequest)
        try:
            result = await self.server.search(request)
        except asyncio.CancelledError:
            result = BackendRefusal(self.server.process_id, "cancelled")
        if isinstance(result, BackendRefusal):
            self.set_status(503)
        self.write_message(result)


class CancelHandler(ServerHandler):
    """``POST /v1/cancel``"""

    def post(self) -> None:
        """Stop running a call."""
        self.server.cancel(msgspec.json.decode(self.request.body, type=BackendCancel).call_id)
        self.set_status(204)


class StateHandler(ServerHandler):
    """``GET /v1/state``"""

    def get(self) -> None:
        """Report load."""
        self.write_message(self.server.state())


class BehaviourHandler(ServerHandler):
    """``PUT /standin/behaviour``: changes how the stand-in serves."""

    def put(self) -> None:
        """Replace the named fields."""
        for name, value in msgspec.json.decode(self.request.body).items():
            setattr(self.server.behaviour, name, value)


def listen(server: StandinServer) -> HTTPServer:
    """Serve a stand-in at the address that the configuration gives it."""
    arguments = {"server": server}
    application = Application(
        [
            (r"/v1/search", SearchHandler, arguments),
            (r"/v1/cancel", CancelHandler, arguments),
            (r"/v1/state", StateHandler, arguments),
            (r"/standin/behaviour", BehaviourHandler, arguments),
        ],
        log_function=lambda _handler: None,
    )
    entry = server.document.backend_servers[server.name]
    http_server = HTTPServer(application)
    http_server.listen(entry.port, entry.host)
    return http_server
