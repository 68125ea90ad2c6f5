"""The entry's HTTP interface for callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import prometheus_client
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from fighinge.entry.peer_entries import FORWARDED_HEADER
from fighinge.entry.query_service import query_error
from fighinge.errors import ANSWERS, ErrorKind, Failure
from fighinge.queries import QueryError, QueryRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from fighinge.entry.at_most_once import AtMostOnceQueries
    from fighinge.queries import EntriesAnswer

MAX_BODY_BYTES = 1024 * 1024
MAX_HEADER_BYTES = 16 * 1024
BODY_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 120.0

_request_decoder = msgspec.json.Decoder(QueryRequest)


class BaseHandler(RequestHandler):
    """Writes messages and errors as JSON."""

    def write_message(self, message: msgspec.Struct, status: int = 200) -> None:
        """Finish the response with a message."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(message))

    def write_query_error(self, error: QueryError) -> None:
        """Finish the response with an error and the status that its kind has."""
        if error.retry_after_s is not None:
            self.set_header("Retry-After", str(max(1, round(error.retry_after_s))))
        self.write_message(error, ANSWERS[error.kind].http_status)

    def write_error(self, status_code: int, **_kwargs: object) -> None:
        """Answer what tornado itself refuses, or an unexpected exception."""
        kind = ErrorKind.INTERNAL if status_code >= 500 else ErrorKind.BAD_REQUEST
        self.write_message(query_error("", Failure(kind, self._reason)), status_code)


class QueryHandler(BaseHandler):
    """``POST /v1/services/NAME/query``"""

    def initialize(self, service: AtMostOnceQueries) -> None:
        """Take what the application hands to each request."""
        self._service = service

    async def post(self, name: str) -> None:
        """Answer a query."""
        try:
            request = _request_decoder.decode(self.request.body)
        except (msgspec.DecodeError, RecursionError) as error:
            reason, _found, path = str(error).partition(" - at `$.")
            failure = Failure(ErrorKind.BAD_REQUEST, reason, path.rstrip("`"))
            self.write_query_error(query_error("", failure))
            return
        forwarded = FORWARDED_HEADER in self.request.headers
        result = await self._service.query(name, request, forwarded=forwarded)
        if isinstance(result, QueryError):
            self.write_query_error(result)
        else:
            self.write_message(result)


class EntriesHandler(BaseHandler):
    """``GET /v1/entries``"""

    def initialize(self, entries: Callable[[str, str], EntriesAnswer]) -> None:
        """Take what the application hands to each request."""
        self._entries = entries

    def get(self) -> None:
        """Tell a caller which entries to use."""
        caller = self.get_query_argument("caller", self.request.remote_ip or "")
        zone = self.get_query_argument("zone", "")
        self.write_message(self._entries(caller, zone))


class HealthHandler(BaseHandler):
    """``GET /healthz``: the process runs."""

    def get(self) -> None:
        """Answer as soon as the process listens."""
        self.finish("ok\n")


class ReadyHandler(BaseHandler):
    """``GET /readyz``: the process takes queries."""

    def initialize(self, service: AtMostOnceQueries) -> None:
        """Take what the application hands to each request."""
        self._service = service

    def get(self) -> None:
        """Answer 200 once a configuration is in force."""
        self.set_status(200 if self._service.ready else 503)
        self.finish("ready\n" if self._service.ready else "not ready\n")


class MetricsHandler(BaseHandler):
    """``GET /metrics`` in the format of Prometheus."""

    def get(self) -> None:
        """Write every metric of the process."""
        self.set_header("Content-Type", prometheus_client.CONTENT_TYPE_LATEST)
        self.finish(prometheus_client.generate_latest())


def create_server(
    service: AtMostOnceQueries, entries: Callable[[str, str], EntriesAnswer]
) -> HTTPServer:
    """Return the HTTP server of an entry, not yet listening."""
    application = Application(
        [
            (r"/v1/services/([A-Za-z0-9_.-]+)/query", QueryHandler, {"service": service}),
            (r"/v1/entries", EntriesHandler, {"entries": entries}),
            (r"/healthz", HealthHandler),
            (r"/readyz", ReadyHandler, {"service": service}),
            (r"/metrics", MetricsHandler),
        ],
        default_handler_class=BaseHandler,
        log_function=lambda _handler: None,
    )
    return HTTPServer(
        application,
        max_body_size=MAX_BODY_BYTES,
        max_buffer_size=MAX_BODY_BYTES,
        max_header_size=MAX_HEADER_BYTES,
        body_timeout=BODY_TIMEOUT_S,
        idle_connection_timeout=IDLE_TIMEOUT_S,
    )
