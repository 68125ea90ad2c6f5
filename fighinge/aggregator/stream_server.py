"""The aggregator's end of the streams that entries open."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import grpc
import logbook
import msgspec

from fighinge.wire import frames_pb2
from fighinge.wire.codec import (
    CHANNEL_OPTIONS,
    EXCHANGE_METHOD,
    EXCHANGE_SERVICE,
    aggregator_frame,
    decode_sub_query,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from fighinge.aggregator.service import AggregatorService
    from fighinge.messages import GroupOutcome, GroupStatus

logger = logbook.Logger(__name__)

STATUS_INTERVAL_S = 0.5
STATUS_REPEAT_S = 3.0


class EntryStream:
    """One entry's stream: what was finished and not yet written to it."""

    __slots__ = ("_outcomes", "_ready", "_service", "_statuses")

    def __init__(self, service: AggregatorService) -> None:
        self._service = service
        self._outcomes: list[tuple[int, GroupOutcome]] = []
        self._statuses: list[GroupStatus] = []
        self._ready = asyncio.Event()

    def reply(self, call: int, outcome: GroupOutcome) -> None:
        """Queue an outcome; those that meet before the next write share a frame."""
        self._outcomes.append((call, outcome))
        self._ready.set()

    async def receive(self, frames: AsyncIterator[frames_pb2.EntryFrame]) -> None:
        """Start what the entry sends until it closes the stream."""
        async for frame in frames:
            for message in frame.sub_queries:
                try:
                    sub_query = decode_sub_query(message)
                except msgspec.DecodeError as error:
                    logger.warning("ignored a broken sub-query: {}", error)
                    continue
                self._service.submit(sub_query, self.reply)

    async def announce(self) -> None:
        """Queue the state of the groups when it has changed, and before entries take it for stale.

        Entries forget a status after ``fighinge.entry.snapshots.STATUS_LIFETIME_S``.
        """
        clock = asyncio.get_running_loop().time
        announced: list[GroupStatus] = []
        announced_s = clock()
        while True:
            statuses = self._service.statuses()
            if statuses != announced or clock() - announced_s >= STATUS_REPEAT_S:
                self._statuses = announced = statuses
                announced_s = clock()
                self._ready.set()
            await asyncio.sleep(STATUS_INTERVAL_S)

    async def frames(self) -> AsyncIterator[frames_pb2.AggregatorFrame]:
        """Yield frames for as long as the stream is open."""
        while True:
            await self._ready.wait()
            self._ready.clear()
            outcomes, self._outcomes = self._outcomes, []
            statuses, self._statuses = self._statuses, []
            yield aggregator_frame(outcomes, statuses)


class StreamServer:
    """Listens for entries."""

    __slots__ = ("_server", "_service")

    def __init__(self, service: AggregatorService) -> None:
        self._service = service
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

    async def start(self, host: str, port: int) -> None:
        """Listen on an address.

        :raises RuntimeError: if the address is taken
        """
        self._server.add_insecure_port(f"{host}:{port}")
        await self._server.start()

    async def stop(self, grace_s: float) -> None:
        """Take no new streams and let open ones finish for up to ``grace_s``."""
        await self._server.stop(grace_s)

    async def _exchange(
        self, frames: AsyncIterator[frames_pb2.EntryFrame], _context: grpc.aio.ServicerContext
    ) -> AsyncIterator[frames_pb2.AggregatorFrame]:
        stream = EntryStream(self._service)
        tasks = [
            asyncio.create_task(stream.receive(frames)),
            asyncio.create_task(stream.announce()),
        ]
        try:
            async for frame in stream.frames():
                yield frame
        finally:
            for task in tasks:
                task.cancel()
