"""Structured log output, with the request identifier on each line about a request."""

from __future__ import annotations

import contextvars
import logging
import sys

import logbook
import msgspec
from logbook.compat import redirect_logging

LIBRARY_LEVEL = logging.WARNING
TEXT_FORMAT = (
    "{record.time:%H:%M:%S.%f} {record.level_name} {record.channel}: "
    "{record.message}{record.extra[request]}"
)

_request_id: contextvars.ContextVar[str] = contextvars.ContextVar("request_id", default="")


class JsonHandler(logbook.StreamHandler):
    """Writes each log record as one JSON object on a line."""

    def format(self, record: logbook.LogRecord) -> str:
        """Return the line of a record."""
        line = {
            "time": record.time.isoformat(),
            "level": record.level_name,
            "channel": record.channel,
            "message": record.message,
            **{name: value for name, value in record.extra.items() if name != "request"},
        }
        if record.exc_info:
            line["exception"] = record.formatted_exception
        return msgspec.json.encode(line, enc_hook=str).decode()


def bind_request_id(request_id: str) -> None:
    """Name the request that the current task and those that it starts work for."""
    _request_id.set(request_id)


def configure_logging(log_format: str, level: str) -> None:
    """Send the logs of the process, and those of its libraries, to standard error.

    Debug records of the libraries are not made at all: curl alone makes some 20 for each call.
    """
    if log_format == "json":
        handler = JsonHandler(sys.stderr, level=level)
    else:
        handler = logbook.StreamHandler(sys.stderr, level=level, format_string=TEXT_FORMAT)
    handler.push_application()
    logbook.Processor(add_request_id).push_application()
    redirect_logging()
    logging.getLogger().setLevel(LIBRARY_LEVEL)


def add_request_id(record: logbook.LogRecord) -> None:
    """Put the current task's request identifier on a log record."""
    request_id = _request_id.get()
    record.extra["request"] = f" [request {request_id}]" if request_id else ""
    if request_id:
        record.extra["request_id"] = request_id
