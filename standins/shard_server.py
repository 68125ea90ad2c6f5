"""Stand-in backend server behind routers that records the requests it runs."""

from __future__ import annotations

import asyncio
import hashlib
from collections import Counter

import msgspec
from tornado import httputil
from tornado.httpserver import HTTPServer

from standins.server_events import Arrival, NamedLimit, ServerEnd, ServerEvents, Statement

RECORD_COUNT = 20
RECORD_BYTES = 16


class Run(msgspec.Struct, frozen=True):
    """Request that a backend server started to run."""

    request_id: str
    instance_id: str
    service: str
    method: str
    target: str
    body: bytes
    at_s: float
    headers: tuple[tuple[str, str], ...] = ()


class ShardServer(httputil.HTTPServerConnectionDelegate):
    """Simulate one backend server process; all servers of a fleet append to the same ``runs``.

    ``fault`` is empty, ``lose`` (runs the request, then closes the connection without a response),
    ``error`` (runs it and answers 500), ``cut`` (runs it and closes the connection in the middle of
    the body), ``foreign`` (runs it and answers with the identifier of another request) or ``shed``
    (answers 503 without running it). It affects every ``fault_interval_requests``-th request.

    With ``is_leaving``, each response says that the server leaves. With ``retry_after_s``, each
    request is turned away with a 503 that asks to send nothing for that time; a text is sent as it
    is, for times that are not valid. With ``max_requests_per_s``, each response names that limit. A
    request for a target in ``events.crash_targets`` ends the process, which starts anew after
    ``restart_delay_s``, or not at all if that is ``None``.
    """

    def __init__(
        self,
        instance_id: str,
        service: str,
        runs: list[Run],
        *,
        zone: str = "z1",
        slots: int = 4,
        queue_limit: int = 12,
        service_time_s: float = 0.005,
        started_ms: int = 1,
        events: ServerEvents | None = None,
        restart_delay_s: float | None = None,
    ) -> None:
        self.instance_id = instance_id
        self.service = service
        self.zone = zone
        self.service_time_s = service_time_s
        self.slots = slots
        self.started_ms = started_ms
        self.fault = ""
        self.fault_interval_requests = 1
        self.is_leaving = False
        self.retry_after_s: float | str | None = None
        self.max_requests_per_s: float | None = None
        self.restart_delay_s = restart_delay_s
        self.events = events or ServerEvents()
        self.running: Counter[str] = Counter()
        self.peak_connections = 0
        self.port = 0
        self.host = ""
        self._queue_limit = queue_limit
        self._slot_semaphore = asyncio.Semaphore(slots)
        self._queued = 0
        self._requests = 0
        self._runs = runs
        self._is_stopped = False
        self._restart: asyncio.Task | None = None
        self._server = HTTPServer(self)

    def start(self, port: int, host: str = "127.0.0.1") -> None:
        """Listen on an address."""
        self.port, self.host = port, host
        self._server.listen(port, host)

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self._is_stopped = True
        if self._restart is not None:
            self._restart.cancel()
        self._close()

    def crash(self, target: str) -> None:
        """End this run of the process, and start the next one after ``restart_delay_s``."""
        if self._is_stopped or (self._restart is not None and not self._restart.done()):
            return
        now_s = asyncio.get_running_loop().time()
        self.events.ends.append(ServerEnd(self.instance_id, self.started_ms, target, now_s))
        if self.events.on_end is not None:
            self.events.on_end(self)
        self._close()
        self._restart = asyncio.ensure_future(self._start_again())

    async def _start_again(self) -> None:
        if self.restart_delay_s is None:
            await asyncio.Event().wait()
        await asyncio.sleep(self.restart_delay_s)
        self.started_ms += 1
        self.is_leaving, self.retry_after_s, self.max_requests_per_s = False, None, None
        self._slot_semaphore = asyncio.Semaphore(self.slots)
        self._queued = 0
        self._server = HTTPServer(self)
        self._server.listen(self.port, self.host)
        if self.events.on_restart is not None:
            await self.events.on_restart(self)

    def _close(self) -> None:
        self._server.stop()
        for connection in list(self._server._connections):
            connection.stream.close()

    def store_value(self, state: str = "ready") -> dict:
        """Return the value that the server writes to the store to be listed."""
        return {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "cold-left-ms": 0,
            "seq": 1,
            "born": self.started_ms,
        }

    def start_request(self, server_conn, request_conn) -> httputil.HTTPMessageDelegate:
        """Return a delegate that reads a request; called by tornado."""
        self.peak_connections = max(self.peak_connections, len(self._server._connections))
        return _RequestReader(self, request_conn)

    async def serve(self, connection, start_line, headers, body: bytes) -> None:
        """Refuse or run a request, and write the response."""
        request_id = headers.get("X-Request-Id", "")
        if headers.get("X-Expect-Instance", self.instance_id) != self.instance_id:
            return self._write(connection, 421, {"X-Instance-Id": self.instance_id}, b"")
        refusal = {"X-Request-Id": request_id, "X-Not-Executed": "1"}
        now_s = asyncio.get_running_loop().time()
        router = self.events.routers.get(connection.context.remote_ip)
        self.events.arrivals.append(
            Arrival(request_id, self.instance_id, self.started_ms, start_line.path, now_s, router)
        )
        self._requests += 1
        if self.retry_after_s is not None:
            refusal["Retry-After"] = str(self.retry_after_s)
            return self._write(connection, 503, refusal, b"")
        has_fault = self.fault and self._requests % self.fault_interval_requests == 0
        if self._queued >= self._queue_limit or (has_fault and self.fault == "shed"):
            return self._write(connection, 503, refusal, b"")
        self._queued += 1
        try:
            await self._slot_semaphore.acquire()
        finally:
            self._queued -= 1
        try:
            self._record_run(request_id, start_line, headers, body)
            if start_line.path in self.events.crash_targets:
                await asyncio.sleep(self.events.crash_delay_s)
                return self.crash(start_line.path)
            await asyncio.sleep(self.service_time_s)
        finally:
            self.running[request_id] -= 1
            self._slot_semaphore.release()
        if has_fault and self.fault == "lose":
            connection.stream.close()
            return None
        headers = {
            "X-Request-Id": request_id,
            "X-Server-Stamp": f"{self.instance_id}.{request_id}",
            # Running, queued and slots; all slots are reported as running.
            "X-Server-Load": f"{self.slots},{self._queued},{self.slots}",
        }
        if has_fault and self.fault == "error":
            return self._write(connection, 500, headers, b"failed")
        if has_fault and self.fault == "foreign":
            headers["X-Request-Id"] = "another"
        is_cut = bool(has_fault) and self.fault == "cut"
        return self._write(connection, 200, headers, records(self.service), is_cut=is_cut)

    def _record_run(self, request_id: str, start_line, headers, body: bytes) -> None:
        now_s = asyncio.get_running_loop().time()
        self.running[request_id] += 1
        run = Run(
            request_id,
            self.instance_id,
            self.service,
            start_line.method,
            start_line.path,
            body,
            now_s,
            tuple(headers.get_all()),
        )
        self._runs.append(run)

    def _record_statement(
        self,
        statements: list[Statement],
        request_id: str,
        duration_s: float,
        router: int | None,
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        statements.append(
            Statement(request_id, self.instance_id, self.started_ms, now_s, duration_s, router)
        )

    def _write(
        self, connection, status: int, headers: dict[str, str], body: bytes, *, is_cut: bool = False
    ) -> None:
        if connection.stream is None or connection.stream.closed():
            return
        request_id = headers.get("X-Request-Id", "")
        router = self.events.routers.get(connection.context.remote_ip)
        if "Retry-After" in headers:
            pause_s = _pause_s(headers["Retry-After"])
            self._record_statement(self.events.refusals, request_id, pause_s, router)
        if self.is_leaving:
            headers = {**headers, "Server-Leaving": "1"}
            self._record_statement(self.events.leavings, request_id, float("inf"), router)
        limit = self.max_requests_per_s
        if limit is not None:
            headers = {**headers, "Server-Limit": f"{limit:g}"}
        self.events.limits.append(
            NamedLimit(
                headers.get("X-Request-Id", ""),
                self.instance_id,
                self.started_ms,
                asyncio.get_running_loop().time(),
                limit,
            )
        )
        response_headers = httputil.HTTPHeaders({**headers, "Content-Length": str(len(body))})
        start_line = httputil.ResponseStartLine("HTTP/1.1", status, httputil.responses[status])
        if is_cut:
            connection.write_headers(start_line, response_headers, body[: len(body) // 2])
            connection.stream.close()
            return
        connection.write_headers(start_line, response_headers, body)
        connection.finish()


class _RequestReader(httputil.HTTPMessageDelegate):
    def __init__(self, server: ShardServer, connection) -> None:
        self._server = server
        self._connection = connection
        self._body = b""

    def headers_received(self, start_line, headers) -> None:
        self._start_line, self._headers = start_line, headers

    def data_received(self, chunk: bytes) -> None:
        self._body += chunk

    def finish(self) -> None:
        response = self._server.serve(self._connection, self._start_line, self._headers, self._body)
        task = asyncio.ensure_future(response)
        self._connection.set_close_callback(task.cancel)


def _pause_s(text: str) -> float:
    """Return the time that a ``Retry-After`` asks for, in seconds; 0 if it is not valid."""
    try:
        return max(float(text), 0.0)
    except ValueError:
        return 0.0


def records(service: str) -> bytes:
    """Return the concatenated, unsorted records of a service; each shard is one service."""
    return b"".join(
        hashlib.blake2b(f"{service}/{number}".encode(), digest_size=RECORD_BYTES).digest()
        for number in range(RECORD_COUNT)
    )
