"""Non-blocking, rate-limited log of decisions as JSON lines on standard output."""

from __future__ import annotations

import os
import traceback
from collections import deque
from typing import TYPE_CHECKING

import msgspec
from prometheus_client import Counter

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_LINES_PER_S = 200.0  # four times a host's request rate; encoding a line costs 10 us
BURST_LINES = 1000.0  # a full read of the configuration and backend servers logs some hundred lines
MAX_BUFFERED_LINES = 4000  # about 1 MB while the output is not read
MAX_WRITE_BYTES = 16_384  # a quarter of the usual pipe buffer, to avoid partial writes
STDOUT_FD = 1

DROPPED_LINES = Counter("fighinge_log_lines_dropped", "Log lines that the bound left out")


class DecisionLog:
    """Buffers log lines and writes them without blocking.

    Lines above the rate limit are dropped; the next line logged holds the number of dropped ones.
    """

    __slots__ = ("_buffer", "_clock", "_dropped", "_fd", "_refilled_s", "_tokens", "_wall_clock")

    def __init__(
        self,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        fd: int = STDOUT_FD,
    ) -> None:
        self._clock = clock
        self._wall_clock = wall_clock
        self._fd = fd
        self._tokens = BURST_LINES
        self._refilled_s = clock()
        self._dropped = 0
        self._buffer: deque[bytes] = deque()
        os.set_blocking(fd, False)

    def write(self, event: str, **fields: object) -> None:
        """Buffer a line, unless the rate or the buffer limit is exceeded.

        :param event: name of the event
        :param fields: inputs of the decision and its outcome
        """
        now_s = self._clock()
        self._tokens = min(BURST_LINES, self._tokens + MAX_LINES_PER_S * (now_s - self._refilled_s))
        self._refilled_s = now_s
        if self._tokens < 1 or len(self._buffer) >= MAX_BUFFERED_LINES:
            self._dropped += 1
            DROPPED_LINES.inc()
            return
        self._tokens -= 1
        line = {
            "time": round(self._wall_clock(), 4),
            "steady_s": round(now_s, 4),
            "event": event,
            **fields,
        }
        if self._dropped:
            line["lines_left_out"] = self._dropped
            self._dropped = 0
        self._buffer.append(msgspec.json.encode(line, enc_hook=str) + b"\n")

    def flush(self) -> None:
        """Write buffered lines until the output would block."""
        while self._buffer:
            batch: list[bytes] = []
            size_bytes = 0
            while self._buffer and size_bytes < MAX_WRITE_BYTES:
                batch.append(self._buffer.popleft())
                size_bytes += len(batch[-1])
            data = b"".join(batch)
            try:
                written = os.write(self._fd, data)
            except BlockingIOError:
                written = 0
            except OSError:
                self._dropped += len(batch)
                DROPPED_LINES.inc(len(batch))
                return
            if written < len(data):
                self._buffer.appendleft(data[written:])
                return


def describe_error(error: BaseException) -> str:
    """Return an unexpected error for the log, with its place in the code."""
    return "".join(traceback.format_exception(error)[-2:])
