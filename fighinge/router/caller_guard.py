"""Enforces the limits on callers while bytes arrive, and refuses callers that exceed them."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

import msgspec
from tornado import httputil

from fighinge.caller_memory import CallerMemory
from fighinge.caller_stream import CallerStream, Phase
from fighinge.connection_limit import ConnectionLimit
from fighinge.errors import ErrorKind, Failure
from fighinge.metrics import CALLERS_REFUSED
from fighinge.router.lingering_close import LingeringCloser
from fighinge.router.model import CallerLimits

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from fighinge.router.decision_log import DecisionLog
    from fighinge.router.exchange import Answer, Codec
    from fighinge.router.settings import RouterSettings

# Until a configuration is known; larger than the usual limits, as a request is then refused with
# the status for that.
UNCONFIGURED_LIMITS = CallerLimits(
    max_header_bytes=65_536, max_body_bytes=8 * 1024 * 1024, idle_timeout_s=59.0
)
HEADER_BYTES = 200  # of objects for one header, besides its characters
LINGERING_SHARE = 1 / 16  # of the descriptors
MIN_LOG_INTERVAL_S = 1.0
RETRY_AFTER_FULL_S = 0.3  # requests in service take less, and other routers have room
HEADER_TOO_LARGE_STATUS = 431
RECEIVING = (Phase.IDLE, Phase.HEADER, Phase.BODY)
TIMEOUT_REASONS = {Phase.HEADER: "header_timeout", Phase.BODY: "body_timeout"}


class CallerGuard:
    """Keeps the bounds on the bytes and the connections of all callers together."""

    def __init__(
        self,
        codec: Codec,
        clock: Callable[[], float],
        log: DecisionLog,
        memory_bytes: int,
        max_descriptors: int,
    ) -> None:
        self.limits = UNCONFIGURED_LIMITS
        self.memory = CallerMemory.from_memory(memory_bytes)
        self.connections = ConnectionLimit.from_resources(max_descriptors, memory_bytes)
        self._closer = LingeringCloser(max(1, int(max_descriptors * LINGERING_SHARE)))
        self._codec = codec
        self._clock = clock
        self._log = log
        self._unlogged: Counter[str] = Counter()
        self._logged_s = -MIN_LOG_INTERVAL_S

    @classmethod
    def from_settings(
        cls,
        settings: RouterSettings,
        codec: Codec,
        clock: Callable[[], float],
        log: DecisionLog,
    ) -> CallerGuard:
        """Return the guard of a router with these settings."""
        return cls(codec, clock, log, settings.memory_bytes, settings.max_descriptors)

    def accept(self, connection: socket.socket) -> CallerStream | None:
        """Return the stream of a new connection, ``None`` if there are too many."""
        stream = CallerStream(connection, self)
        victim = self.connections.add(stream, self.limits.idle_timeout_s, self._clock())
        if victim is not None:
            self._refuse(victim, "connections", None)
        return None if victim is stream else stream

    def close(self) -> None:
        """Close what is left of refused connections."""
        self._closer.close_all()

    def bytes_received(self, stream: CallerStream, count: int) -> None:
        """Count bytes against the bound; the first ones of a header section start its timeout."""
        if stream.phase is Phase.IDLE:
            self._set_phase(stream, Phase.HEADER, self.limits.header_timeout_s)
            self.connections.start_receiving(stream)
        self._grow(stream, count)

    def header_too_long(self, stream: CallerStream) -> None:
        """Refuse a header section that is over the limit, before its end has arrived."""
        reason = f"has more than {self.limits.max_header_bytes} bytes"
        failure = Failure(ErrorKind.TOO_LARGE, reason, "header section")
        answer = self._codec.encode_failure(failure, None)
        answer = msgspec.structs.replace(answer, status=HEADER_TOO_LARGE_STATUS)
        self._refuse(stream, "header_bytes", answer)

    def stream_closed(self, stream: CallerStream) -> None:
        """Release everything that a connection holds."""
        self._set_phase(stream, Phase.IDLE)
        self.memory.release(stream)
        self.connections.remove(stream)

    def start_message(self, stream: CallerStream) -> None:
        """Expect a new request; the answer to the previous one has been written."""
        if stream.closed():
            return
        self._set_phase(stream, Phase.IDLE)
        self.memory.release(stream)
        self.connections.end_service(stream, self._clock())
        if stream.buffered_bytes:
            self.bytes_received(stream, stream.buffered_bytes)

    def start_body(self, stream: CallerStream, headers: httputil.HTTPHeaders) -> None:
        """Check a complete header section, and limit the time in which the body has to arrive."""
        self._set_phase(stream, Phase.BODY, self.limits.idle_timeout_s)
        self._grow(stream, HEADER_BYTES * sum(1 for _ in headers.get_all()))
        length = headers.get("Content-Length", "")
        if length.isascii() and length.isdecimal():
            self.check_body(stream, _bounded_int(length))

    def check_body(self, stream: CallerStream, body_bytes: int) -> bool:
        """Refuse a body that is over the limit, and return whether it is within."""
        if body_bytes <= self.limits.max_body_bytes:
            return True
        reason = "the body is larger than the limit"
        failure = Failure(ErrorKind.TOO_LARGE, reason, "body")
        self._refuse(stream, "body_bytes", self._codec.encode_failure(failure, None))
        return False

    def start_service(self, stream: CallerStream) -> None:
        """Record that a request is complete and within the limits."""
        self._set_phase(stream, Phase.SERVICE)
        self.memory.start_service(stream)
        self.connections.start_service(stream)

    def start_answer(self, stream: CallerStream, answer_bytes: int) -> None:
        """Count an answer that the kernel did not take at once until its caller has read it."""
        if stream.closed() or not stream.writing():
            return
        self._set_phase(stream, Phase.ANSWER)
        self.memory.start_answer(stream, self._clock())
        self._watch_answer(stream, stream.written_bytes)
        self._grow(stream, answer_bytes)

    def _watch_answer(self, stream: CallerStream, written_bytes: int) -> None:
        """Refuse a connection that takes no byte of its answer for the idle timeout."""
        timeout_s = self.limits.idle_timeout_s
        loop = asyncio.get_running_loop()
        stream.timer = loop.call_later(timeout_s, self._check_answer, stream, written_bytes)

    def _check_answer(self, stream: CallerStream, written_bytes: int) -> None:
        if stream.written_bytes > written_bytes:
            self._watch_answer(stream, stream.written_bytes)
        else:
            self._refuse(stream, "answer_timeout", None)

    def _set_phase(self, stream: CallerStream, phase: Phase, timeout_s: float = 0.0) -> None:
        """Set the phase of a connection.

        :param timeout_s: time after which the connection is closed, if it has to end
        """
        if stream.timer is not None:
            stream.timer.cancel()
            stream.timer = None
        stream.phase = phase
        if timeout_s:
            reason = TIMEOUT_REASONS[phase]
            loop = asyncio.get_running_loop()
            stream.timer = loop.call_later(timeout_s, self._refuse, stream, reason, None)

    def _grow(self, stream: CallerStream, count: int) -> None:
        for victim in self.memory.grow(stream, count, self._clock()):
            answer = None
            if victim.phase in RECEIVING:
                failure = Failure(ErrorKind.NOT_READY, "this router holds too many requests")
                answer = self._codec.encode_failure(failure, RETRY_AFTER_FULL_S)
            self._refuse(victim, "memory", answer)

    def _refuse(self, stream: CallerStream, reason: str, answer: Answer | None) -> None:
        """Close a connection, after an answer if its request has not run."""
        if stream.closed():
            return
        self._record(reason)
        if answer is not None and not stream.writing():
            self._closer.close_after(stream.socket, _encode(answer))
        stream.close()

    def _record(self, reason: str) -> None:
        """Count a refusal; the log line counts all since the previous line."""
        CALLERS_REFUSED.labels(reason).inc()
        self._unlogged[reason] += 1
        now_s = self._clock()
        if now_s - self._logged_s < MIN_LOG_INTERVAL_S:
            return
        self._log.write(
            "callers refused",
            reasons=dict(self._unlogged),
            over_s=round(min(now_s - self._logged_s, 1e6), 2),
            held_bytes=self.memory.used_bytes,
            max_held_bytes=self.memory.limit_bytes,
            connections=len(self.connections),
            max_connections=self.connections.limit,
        )
        self._unlogged.clear()
        self._logged_s = now_s


def _bounded_int(digits: str) -> int:
    """Return the number, or one above every limit if it has too many digits to matter."""
    return int(digits) if len(digits) < 19 else 10**18


def _encode(answer: Answer) -> bytes:
    reason = httputil.responses.get(answer.status, "Unknown")
    lines = [f"HTTP/1.1 {answer.status} {reason}"]
    lines += [f"{name}: {value}" for name, value in answer.headers]
    lines += [f"Content-Length: {len(answer.body)}", "Connection: close", "", ""]
    return "\r\n".join(lines).encode("latin-1") + answer.body
