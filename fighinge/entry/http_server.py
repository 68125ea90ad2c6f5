"""HTTP interface of an entry for callers."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

import logbook
import msgspec
import prometheus_client
from tornado.web import Application, RequestHandler, stream_request_body

from fighinge.entry.bounded_server import (
    MAX_HELD_BYTES,
    BoundedServer,
    CallerBounds,
    max_connections,
)
from fighinge.entry.peer_entries import FORWARDED_HEADER
from fighinge.entry.query_service import query_error
from fighinge.entry.request_parsing import decode_request, decode_request_id
from fighinge.errors import ERROR_PROPERTIES, ErrorKind, Failure
from fighinge.logs import bind_request_id
from fighinge.metrics import QueryLabels, observe_query
from fighinge.queries import QueryError, QueryRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from fighinge.entry.at_most_once import AtMostOnceExecutor
    from fighinge.queries import EntriesAnswer, QueryAnswer

logger = logbook.Logger(__name__)

CONNECTION_CLOSE_HEADER_BYTES = 256 * 1024  # above it, tornado closes without a response
MAX_DISCARDED_BODY_BYTES = 16 * 1024 * 1024  # read and discarded, so that the error arrives


class HttpLimits(msgspec.Struct, frozen=True):
    """Limits on one request, and on the bytes that all requests hold together."""

    max_body_bytes: int = 1024 * 1024
    max_header_bytes: int = 16 * 1024
    body_timeout_s: float = 10.0
    idle_timeout_s: float = 120.0
    max_held_bytes: int = MAX_HELD_BYTES


class BaseHandler(RequestHandler):
    """Base class of the handlers, which writes messages and errors as JSON."""

    def prepare(self) -> None:
        """Reject a request whose headers are too large."""
        limits: HttpLimits = self.settings["limits"]
        size = sum(len(name) + len(value) for name, value in self.request.headers.get_all())
        if size + len(self.request.uri or "") > limits.max_header_bytes:
            reason = f"the headers have more than {limits.max_header_bytes} bytes"
            self.write_failure(Failure(ErrorKind.TOO_LARGE, reason, "headers"))

    def on_finish(self) -> None:
        """Record that the connection has had a complete answer."""
        self._bounds.start_service(self.request.connection.stream)

    @property
    def _bounds(self) -> CallerBounds:
        return self.settings["bounds"]

    def write_message(self, message: msgspec.Struct, status: int = 200) -> None:
        """Finish the response with a message."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(message))

    def write_query_error(self, error: QueryError) -> None:
        """Finish the response with an error and the HTTP status of its kind."""
        if error.retry_after_s is not None:
            self.set_header("Retry-After", str(max(1, math.ceil(error.retry_after_s))))
        self.write_message(error, ERROR_PROPERTIES[error.kind].http_status)

    def write_failure(self, failure: Failure, request_id: str = "") -> None:
        """Finish the response with the error for a failure."""
        self.write_query_error(query_error(request_id, failure))

    def write_error(self, status_code: int, **_kwargs: object) -> None:
        """Answer a request that tornado rejects or that raised, without internal details."""
        if status_code == 405:
            reason = f"{self.request.method} is not served at this path"
            self.write_failure(Failure(ErrorKind.WRONG_METHOD, reason, "method"))
        elif status_code >= 500:
            self.write_failure(Failure(ErrorKind.INTERNAL, "internal error"))
        else:
            self.write_failure(Failure(ErrorKind.BAD_REQUEST, self._reason))


class UnknownPathHandler(BaseHandler):
    """Answer requests for unknown paths."""

    def prepare(self) -> None:
        """Reject the request."""
        self.write_failure(Failure(ErrorKind.UNKNOWN_PATH, "no such path", "path"))


@stream_request_body
class QueryHandler(BaseHandler):
    """``POST /v1/services/NAME/query``"""

    def initialize(
        self, executor: AtMostOnceExecutor, labels_of: Callable[[str], QueryLabels]
    ) -> None:
        """Store the handler arguments of the application."""
        self._executor = executor
        self._labels_of = labels_of
        self._body = bytearray()
        self._too_large = False
        self._body_timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task | None = None

    def prepare(self) -> None:
        """Reject a body that is declared too large, and start the body timeout."""
        super().prepare()
        if self._finished:
            return
        length = _declared_length(self.request.headers.get("Content-Length", ""))
        self.request.connection.set_max_body_size(max(length, MAX_DISCARDED_BODY_BYTES))
        if length > MAX_DISCARDED_BODY_BYTES:
            self._reject_body()
            return
        limits: HttpLimits = self.settings["limits"]
        self._body_timer = asyncio.get_running_loop().call_later(
            limits.body_timeout_s, self._on_body_timeout
        )

    def data_received(self, chunk: bytes) -> None:
        """Buffer a chunk of the body up to the size limit."""
        limit = self.settings["limits"].max_body_bytes
        if len(self._body) + len(chunk) > limit:
            self._too_large = True
            self._body = bytearray()
        if self._too_large:
            self._bounds.discard(self.request.connection.stream)
        else:
            self._body.extend(chunk)

    async def post(self, name: str) -> None:
        """Answer a query."""
        self._body_timer.cancel()
        if self._too_large:
            self._reject_body()
            return
        self._bounds.start_service(self.request.connection.stream)
        body = bytes(self._body)
        request = decode_request(body)
        if isinstance(request, Failure):
            self.write_failure(request, decode_request_id(body))
            return
        self._task = asyncio.create_task(self._answer(name, request))
        try:
            result = await self._task
        except asyncio.CancelledError:
            return
        if isinstance(result, QueryError):
            self.write_query_error(result)
        else:
            self.write_message(result)

    def on_connection_close(self) -> None:
        """Cancel the query of a caller that has disconnected."""
        if self._body_timer is not None:
            self._body_timer.cancel()
        if self._task is not None:
            self._task.cancel()

    async def _answer(self, name: str, request: QueryRequest) -> QueryAnswer | QueryError:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        bind_request_id(request.request_id)
        labels = self._labels_of(name)
        cancelled = query_error(
            request.request_id, Failure(ErrorKind.CANCELLED, "caller disconnected")
        )
        result: QueryAnswer | QueryError = cancelled
        try:
            forwarded = FORWARDED_HEADER in self.request.headers
            result = await self._executor.query(name, request, forwarded=forwarded)
        except Exception:
            logger.exception("unexpected exception while answering a query")
            failure = Failure(ErrorKind.INTERNAL, "internal error")
            result = query_error(request.request_id, failure)
        finally:
            observe_query(labels, result, loop.time() - started_s)
        return result

    def _reject_body(self) -> None:
        limit = self.settings["limits"].max_body_bytes
        reason = f"the body has more than {limit} bytes"
        self.write_failure(Failure(ErrorKind.TOO_LARGE, reason, "body"))

    def _on_body_timeout(self) -> None:
        if not self._finished:
            timeout_s = self.settings["limits"].body_timeout_s
            reason = f"the body did not arrive within {timeout_s:g} s"
            self.write_failure(Failure(ErrorKind.BAD_REQUEST, reason, "body"))


class EntriesHandler(BaseHandler):
    """``GET /v1/entries``"""

    def initialize(self, entries: Callable[[str, str], EntriesAnswer | Failure]) -> None:
        """Store the handler arguments of the application."""
        self._entries = entries

    def get(self) -> None:
        """Answer with the entries that a caller should use, and new tickets."""
        caller = self.get_query_argument("caller", self.request.remote_ip or "")
        zone = self.get_query_argument("zone", "")
        answer = self._entries(caller, zone)
        if isinstance(answer, Failure):
            self.write_failure(answer)
        else:
            self.write_message(answer)


class HealthHandler(BaseHandler):
    """``GET /healthz``: liveness."""

    def get(self) -> None:
        """Answer 200 once the process listens."""
        self.finish("ok\n")


class ReadyHandler(BaseHandler):
    """``GET /readyz``: readiness."""

    def initialize(self, executor: AtMostOnceExecutor) -> None:
        """Store the handler arguments of the application."""
        self._executor = executor

    def get(self) -> None:
        """Answer 200 once queries can be answered, 503 otherwise."""
        self.set_status(200 if self._executor.ready else 503)
        self.finish("ready\n" if self._executor.ready else "not ready\n")


class MetricsHandler(BaseHandler):
    """``GET /metrics`` in the Prometheus text format."""

    def get(self) -> None:
        """Write all metrics of the process."""
        self.set_header("Content-Type", prometheus_client.CONTENT_TYPE_LATEST)
        self.finish(prometheus_client.generate_latest())


def _declared_length(text: str) -> int:
    """Return the value of ``Content-Length``, 0 if absent or rejected by tornado."""
    return int(text) if text.isascii() and text.isdecimal() and len(text) < 20 else 0


def create_server(
    executor: AtMostOnceExecutor,
    entries: Callable[[str, str], EntriesAnswer | Failure],
    labels_of: Callable[[str], QueryLabels] = lambda _name: QueryLabels(),
    limits: HttpLimits | None = None,
) -> BoundedServer:
    """Create the HTTP server of an entry; it does not listen yet.

    :param entries: function that maps a caller and its data centre to the answer of
        ``GET /v1/entries``
    :param labels_of: function that maps a service name to the labels of its metrics
    """
    limits = limits or HttpLimits()
    bounds = CallerBounds(limits.max_held_bytes, max_connections(), limits.idle_timeout_s)
    query_arguments = {"executor": executor, "labels_of": labels_of}
    application = Application(
        [
            (r"/v1/services/([^/]+)/query", QueryHandler, query_arguments),
            (r"/v1/entries", EntriesHandler, {"entries": entries}),
            (r"/healthz", HealthHandler),
            (r"/readyz", ReadyHandler, {"executor": executor}),
            (r"/metrics", MetricsHandler),
        ],
        default_handler_class=UnknownPathHandler,
        log_function=lambda _handler: None,
        limits=limits,
        bounds=bounds,
    )
    return BoundedServer(
        application,
        bounds=bounds,
        max_body_size=limits.max_body_bytes,
        max_buffer_size=max(limits.max_body_bytes, CONNECTION_CLOSE_HEADER_BYTES),
        max_header_size=CONNECTION_CLOSE_HEADER_BYTES,
        idle_connection_timeout=limits.idle_timeout_s,
    )
