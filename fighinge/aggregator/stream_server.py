"""gRPC server for the streams that entries open."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections import deque
from typing import TYPE_CHECKING

import grpc
import logbook
import msgspec

from fighinge.errors import ErrorKind
from fighinge.messages import failed_group
from fighinge.wire import frames_pb2
from fighinge.wire.codec import (
    CHANNEL_OPTIONS,
    EXCHANGE_METHOD,
    EXCHANGE_SERVICE,
    FRAME_TARGET_BYTES,
    aggregator_frame,
    decode_sub_query,
    encode_outcome,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from fighinge.aggregator.service import AggregatorService
    from fighinge.messages import GroupOutcome, GroupStatus, SubQuery

logger = logbook.Logger(__name__)

STATUS_INTERVAL_S = 0.5
FULL_STATUS_INTERVAL_S = 60.0
STATUS_REPEAT_S = 60.0
MAX_RUNNING_SUB_QUERIES = 2000
MAX_UNSENT_BYTES = 32 * 1024 * 1024
CLOSE_GRACE_S = 0.2


class EntryStream:
    """One entry's stream: its sub-queries in progress and its outcomes not yet sent."""

    __slots__ = (
        "_closing",
        "_ended",
        "_name",
        "_ready",
        "_running",
        "_service",
        "_statuses",
        "_unsent",
        "_unsent_bytes",
    )

    def __init__(self, name: str, service: AggregatorService) -> None:
        self._name = name
        self._service = service
        self._running: dict[int, int] = {}
        self._unsent: deque[frames_pb2.GroupOutcome] = deque()
        self._unsent_bytes = 0
        self._statuses: dict[str, GroupStatus] = {}
        self._ready = asyncio.Event()
        self._closing = False
        self._ended = False

    def announce(self, statuses: list[GroupStatus]) -> None:
        """Queue changed group statuses for the next frame."""
        self._statuses.update({status.group: status for status in statuses})
        self._ready.set()

    def close(self) -> None:
        """Begin a graceful shutdown: the stream ends after the last outcome."""
        self._closing = True
        self._ready.set()

    async def receive(self, frames: AsyncIterator[frames_pb2.EntryFrame]) -> None:
        """Process the entry's frames until it closes its side of the stream."""
        try:
            async for frame in frames:
                for message in frame.sub_queries:
                    self._start_sub_query(message)
                for call in frame.cancelled_calls:
                    self._cancel(call)
        finally:
            self._ended = True
            if not self._closing:
                self.abandon()
            self._ready.set()

    def abandon(self) -> None:
        """Cancel every sub-query of the entry."""
        self._running.clear()
        self._service.cancel_all(self._name)

    async def frames(self) -> AsyncIterator[frames_pb2.AggregatorFrame]:
        """Yield frames while the stream is open; an empty one first confirms that it is."""
        yield aggregator_frame((), [])
        while not self._ended or self._running or self._unsent:
            await self._ready.wait()
            self._ready.clear()
            yield self._next_frame()

    def _start_sub_query(self, message: frames_pb2.SubQuery) -> None:
        try:
            sub_query = decode_sub_query(message)
        except msgspec.DecodeError as error:
            logger.warning("rejected a malformed sub-query: {}", error)
            for group in message.groups:
                self._queue_outcome(
                    message.call,
                    failed_group(
                        group.group, group.shards, ErrorKind.BAD_REQUEST, str(error), sent=False
                    ),
                )
            return
        if self._closing:
            self._refuse(sub_query, ErrorKind.STOPPING, "the aggregator is stopping")
        elif len(self._running) >= MAX_RUNNING_SUB_QUERIES:
            self._refuse(
                sub_query,
                ErrorKind.OVERLOADED,
                "too many sub-queries of this entry are in progress",
            )
        else:
            self._running[sub_query.call] = len(sub_query.groups)
            self._service.submit(sub_query, self._reply, self._name)

    def _cancel(self, call: int) -> None:
        self._running.pop(call, None)
        self._service.cancel(self._name, call)
        self._ready.set()

    def _refuse(self, sub_query: SubQuery, kind: ErrorKind, reason: str) -> None:
        for group_shards in sub_query.groups:
            outcome = failed_group(
                group_shards.group, group_shards.shards, kind, reason, sent=False
            )
            self._queue_outcome(sub_query.call, outcome)

    def _reply(self, call: int, outcome: GroupOutcome) -> None:
        """Queue an outcome, unless its call was cancelled."""
        groups_left = self._running.get(call)
        if groups_left is None:
            return
        if groups_left > 1:
            self._running[call] = groups_left - 1
        else:
            del self._running[call]
        self._queue_outcome(call, outcome)

    def _queue_outcome(self, call: int, outcome: GroupOutcome) -> None:
        """Queue an outcome; outcomes that are queued together are sent in one frame."""
        if self._unsent_bytes > MAX_UNSENT_BYTES:
            reason = "the entry reads its stream too slowly"
            outcome = outcome.with_results_failed(ErrorKind.OVERLOADED, reason)
        message = encode_outcome(call, outcome)
        self._unsent.append(message)
        self._unsent_bytes += message.ByteSize()
        self._ready.set()

    def _next_frame(self) -> frames_pb2.AggregatorFrame:
        """Return a frame of queued outcomes, filled until it reaches ``FRAME_TARGET_BYTES``."""
        outcomes, size = [], 0
        while self._unsent and size < FRAME_TARGET_BYTES:
            outcomes.append(self._unsent.popleft())
            size += outcomes[-1].ByteSize()
        self._unsent_bytes -= size
        statuses, self._statuses = self._statuses, {}
        if self._unsent:
            self._ready.set()
        return aggregator_frame(outcomes, list(statuses.values()), closing=self._closing)


class StreamServer:
    """A gRPC server that entries connect to."""

    __slots__ = (
        "_announce_task",
        "_announced",
        "_idle",
        "_numbers",
        "_server",
        "_service",
        "_stopping",
        "_streams",
    )

    def __init__(self, service: AggregatorService) -> None:
        self._service = service
        self._streams: set[EntryStream] = set()
        self._numbers = itertools.count(1)
        self._announced: dict[str, GroupStatus] = {}
        self._announce_task: asyncio.Task | None = None
        self._stopping = False
        self._idle = asyncio.Event()
        self._idle.set()
        self._server = grpc.aio.server(options=CHANNEL_OPTIONS)
        handler = grpc.stream_stream_rpc_method_handler(
            self._exchange,
            request_deserializer=frames_pb2.EntryFrame.FromString,
            response_serializer=frames_pb2.AggregatorFrame.SerializeToString,
        )
        handlers = grpc.method_handlers_generic_handler(
            EXCHANGE_SERVICE, {EXCHANGE_METHOD: handler}
        )
        self._server.add_generic_rpc_handlers((handlers,))

    async def start(self, host: str, port: int) -> int:
        """Listen on an address and return the port.

        :raises RuntimeError: if the address is already in use
        """
        bound_port = self._server.add_insecure_port(f"{host}:{port}")
        await self._server.start()
        self._announce_task = asyncio.create_task(self._announce())
        return bound_port

    async def stop(self, grace_s: float) -> None:
        """Refuse new sub-queries, wait up to ``grace_s`` seconds for the others, then close."""
        self._stopping = True
        for stream in self._streams:
            stream.close()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(grace_s):
                await self._idle.wait()
        if self._announce_task is not None:
            self._announce_task.cancel()
        await self._server.stop(CLOSE_GRACE_S)

    async def _announce(self) -> None:
        """Announce changed group statuses to every entry periodically.

        Unchanged ones are repeated every ``STATUS_REPEAT_S``, before entries consider them stale.
        """
        clock = asyncio.get_running_loop().time
        repeated_s = clock()
        while True:
            await asyncio.sleep(STATUS_INTERVAL_S)
            statuses = self._service.statuses()
            if clock() - repeated_s >= STATUS_REPEAT_S:
                repeated_s = clock()
                self._announced.clear()
            changed = [status for status in statuses if self._announced.get(status.group) != status]
            if changed:
                self._announced = {status.group: status for status in statuses}
                for stream in self._streams:
                    stream.announce(changed)

    async def _exchange(
        self, frames: AsyncIterator[frames_pb2.EntryFrame], context: grpc.aio.ServicerContext
    ) -> AsyncIterator[frames_pb2.AggregatorFrame]:
        if self._stopping:
            await context.abort(grpc.StatusCode.UNAVAILABLE, "the aggregator is stopping")
        stream = EntryStream(f"{context.peer()}#{next(self._numbers)}", self._service)
        stream.announce(self._service.statuses())
        self._streams.add(stream)
        self._idle.clear()
        receiver = asyncio.create_task(stream.receive(frames))
        try:
            async for frame in stream.frames():
                yield frame
        finally:
            self._streams.discard(stream)
            if not self._streams:
                self._idle.set()
            stream.abandon()
            receiver.cancel()
            await asyncio.gather(receiver, return_exceptions=True)
