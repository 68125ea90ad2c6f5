"""The connection of a caller, which reports what it holds while bytes arrive and leave."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Protocol

from tornado.iostream import IOStream, UnsatisfiableReadError

if TYPE_CHECKING:
    import asyncio
    import socket


class Phase(enum.Enum):
    """What a connection does."""

    IDLE = "idle"
    HEADER = "header"
    BODY = "body"
    SERVICE = "service"
    ANSWER = "answer"


class StreamObserver(Protocol):
    """What a connection reports to."""

    def bytes_received(self, stream: CallerStream, count: int) -> None:
        """Handle bytes that were just read."""

    def header_too_long(self, stream: CallerStream) -> None:
        """Handle a header section over the limit; the connection is closed afterwards."""

    def stream_closed(self, stream: CallerStream) -> None:
        """Handle the end of the connection, once."""


class CallerStream(IOStream):
    """A caller's connection; ``timer`` ends its present phase, if that may not last."""

    def __init__(
        self,
        connection: socket.socket,
        observer: StreamObserver,
        max_buffer_size: int | None = None,
    ) -> None:
        super().__init__(connection, max_buffer_size=max_buffer_size)
        self._observer = observer
        self.phase = Phase.IDLE
        self.timer: asyncio.TimerHandle | None = None
        self.written_bytes = 0

    @property
    def buffered_bytes(self) -> int:
        """Return the number of received bytes that no request has consumed yet."""
        return self._read_buffer_size

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read from the socket and report the bytes; nothing is read if that closes the stream."""
        count = super().read_from_fd(buf)
        if count:
            self._observer.bytes_received(self, count)
            if self.closed():
                return None
        return count

    def write_to_fd(self, data: memoryview) -> int:
        """Write to the socket and count the bytes."""
        count = super().write_to_fd(data)
        self.written_bytes += count
        return count

    def close(self, exc_info: object = False) -> None:
        """Close the connection, after an answer if its header section is too long."""
        if self.closed():
            return
        if isinstance(exc_info, UnsatisfiableReadError) and self.phase is Phase.HEADER:
            self._observer.header_too_long(self)
        super().close(exc_info)
        self._observer.stream_closed(self)
