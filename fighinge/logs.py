"""Structured log output."""

from __future__ import annotations

import sys

import logbook
import msgspec

TEXT_FORMAT = "{record.time:%H:%M:%S.%f} {record.level_name} {record.channel}: {record.message}"


class JsonHandler(logbook.StreamHandler):
    """Writes each log record as one JSON object on a line."""

    def format(self, record: logbook.LogRecord) -> str:
        """Return the line of a record."""
        line = {
            "time": record.time.isoformat(),
            "level": record.level_name,
            "channel": record.channel,
            "message": record.message,
            **record.extra,
        }
        return msgspec.json.encode(line, enc_hook=str).decode()


def set_up_logs(log_format: str, level: str) -> None:
    """Send the logs of the process to standard error."""
    if log_format == "json":
        handler = JsonHandler(sys.stderr, level=level)
    else:
        handler = logbook.StreamHandler(sys.stderr, level=level, format_string=TEXT_FORMAT)
    handler.push_application()
