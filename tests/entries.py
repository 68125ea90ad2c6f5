"""Stand-in entries for tests of callers."""

from __future__ import annotations

import contextlib
import socket

import msgspec
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application, RequestHandler

from fighinge.entry.query_service import query_error
from fighinge.errors import ERROR_PROPERTIES, ErrorKind, Failure
from fighinge.queries import (
    Coverage,
    EntriesAnswer,
    EntryAddress,
    QueryAnswer,
    QueryRequest,
    SnapshotName,
)

TICKETS_PER_RESPONSE = 2
REFUSALS = {
    "is not ready": ErrorKind.NOT_READY,
    "is stopping": ErrorKind.STOPPING,
    "finds no owner": ErrorKind.OWNER_UNREACHABLE,
    "is in an evacuated data centre": ErrorKind.ZONE_OUT,
    "is overloaded": ErrorKind.OVERLOADED,
}


class StandinEntry:
    """An entry that answers, refuses or fails as configured, and stores the requests that ran."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.fault = "answers"
        self.entries_request_count = 0
        self.requests: list[QueryRequest] = []
        self.peers: list[StandinEntry] = [self]
        self._sockets: list[socket.socket] = []
        application = Application(
            [
                (r"/v1/entries", _EntriesHandler, {"entry": self}),
                (r"/v1/services/desk/query", _QueryHandler, {"entry": self}),
            ],
            log_function=lambda _handler: None,
        )
        self._server = HTTPServer(application)
        listening, self.port = bind_unused_port()
        self._listening = listening
        self._server.add_socket(listening)

    @property
    def url(self) -> str:
        """Return the URL of the entry."""
        return f"http://127.0.0.1:{self.port}"

    async def set_fault(self, fault: str) -> None:
        """Set the behaviour for subsequent requests."""
        self.fault = fault
        if fault in ("does not listen", "accepts no connections"):
            self._server.stop()
            await self._server.close_all_connections()
        if fault == "accepts no connections":
            self._fill_backlog()

    async def close(self) -> None:
        """Stop serving."""
        if self.fault not in ("does not listen", "accepts no connections"):
            self._server.stop()
        await self._server.close_all_connections()
        for sock in self._sockets:
            sock.close()

    def _fill_backlog(self) -> None:
        """Listen with a full backlog, so that further connection attempts hang."""
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind(("127.0.0.1", self.port))
        listening.listen(0)
        self._sockets.append(listening)
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(("127.0.0.1", self.port))
            self._sockets.append(filler)


class _Handler(RequestHandler):
    def initialize(self, entry: StandinEntry) -> None:
        self.entry = entry


class _EntriesHandler(_Handler):
    def get(self) -> None:
        entry = self.entry
        entry.entries_request_count += 1
        addresses = [EntryAddress(peer.name, "z1", peer.url) for peer in entry.peers]
        tickets = [
            f"{entry.name}/i/{entry.entries_request_count}{n}/0/x"
            for n in range(TICKETS_PER_RESPONSE)
        ]
        answer = EntriesAnswer(entries=addresses, keep_s=60.0, tickets=tickets)
        self.finish(msgspec.json.encode(answer))


class _QueryHandler(_Handler):
    def post(self) -> None:
        entry = self.entry
        request = msgspec.json.decode(self.request.body, type=QueryRequest)
        kind = REFUSALS.get(entry.fault)
        if kind is not None:
            error = query_error(request.request_id, Failure(kind, entry.fault))
            error.not_run = True
            self.set_status(ERROR_PROPERTIES[kind].http_status)
            self.finish(msgspec.json.encode(error))
            return
        entry.requests.append(request)
        if entry.fault == "disconnects while running":
            self._finished = True
            self.request.connection.stream.close()
        elif entry.fault == "sends a malformed answer":
            self.finish(b"nonsense")
        else:
            self.finish(msgspec.json.encode(_answer(request)))


def _answer(request: QueryRequest) -> QueryAnswer:
    return QueryAnswer(
        request_id=request.request_id,
        snapshot=SnapshotName("c", 1),
        records=[],
        total=0,
        facets={},
        coverage=Coverage(1.0, ["s0"], [], "all 1 shards"),
    )
