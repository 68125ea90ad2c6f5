"""Log output as text or JSON, with the request ID on each line about a request."""

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
        """Return the JSON line of a record."""
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
    """Attach a request ID to the log records of the current task and of tasks that it starts."""
    _request_id.set(request_id)


def configure_logging(log_format: str, level: str) -> None:
    """Write the logs of the process and its libraries to standard error.

    Libraries log only warnings and errors: at debug level, curl alone writes about 20 records per
    call.

    :param log_format: ``text`` or ``json``
    :param level: name of the lowest level that is written
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
    """Add the request ID of the current task to a log record."""
    request_id = _request_id.get()
    record.extra["request"] = f" [request {request_id}]" if request_id else ""
    if request_id:
        record.extra["request_id"] = request_id
