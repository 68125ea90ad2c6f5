"""An entry's gRPC streams to aggregators, one for each."""

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
    decode_outcome,
    decode_statuses,
    entry_frame,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from fighinge.entry.base import OutcomeListener, StatusListener
    from fighinge.messages import SubQuery

logger = logbook.Logger(__name__)

RECONNECT_PAUSE_S = 0.2


class StreamLink:
    """The stream to one aggregator, opened again whenever it breaks.

    Sub-queries that meet before the next write share a frame.
    """

    __slots__ = (
        "_address",
        "_aggregator",
        "_cancelled",
        "_listeners",
        "_outgoing",
        "_ready",
        "_statuses",
        "_task",
    )

    def __init__(self, aggregator: str, address: str, statuses: StatusListener) -> None:
        self._aggregator = aggregator
        self._address = address
        self._statuses = statuses
        self._listeners: dict[int, tuple[OutcomeListener, int]] = {}
        self._outgoing: list[SubQuery] = []
        self._cancelled: list[int] = []
        self._ready = asyncio.Event()
        self._task = asyncio.create_task(self._run())

    def send(self, sub_query: SubQuery, listener: OutcomeListener) -> None:
        """Send a sub-query; the listener hears of each of its groups."""
        self._listeners[sub_query.call] = (listener, len(sub_query.groups))
        self._outgoing.append(sub_query)
        self._ready.set()

    def cancel(self, call: int) -> None:
        """Give a sub-query up; its listener hears nothing more."""
        if self._listeners.pop(call, None) is not None:
            self._cancelled.append(call)
            self._ready.set()

    async def close(self) -> None:
        """Close the stream; outstanding sub-queries count as lost."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self._lose_all()

    async def _run(self) -> None:
        while True:
            try:
                async with grpc.aio.insecure_channel(
                    self._address, options=CHANNEL_OPTIONS
                ) as channel:
                    await self._exchange(channel)
            except grpc.RpcError as error:
                logger.debug("stream to {} broke: {}", self._aggregator, error)
            self._lose_all()
            await asyncio.sleep(RECONNECT_PAUSE_S)

    async def _exchange(self, channel: grpc.aio.Channel) -> None:
        method = channel.stream_stream(
            f"/{EXCHANGE_SERVICE}/{EXCHANGE_METHOD}",
            request_serializer=frames_pb2.EntryFrame.SerializeToString,
            response_deserializer=frames_pb2.AggregatorFrame.FromString,
        )
        stream = method()
        writer = asyncio.create_task(self._write(stream))
        try:
            async for frame in stream:
                self._take(frame)
        finally:
            writer.cancel()
            stream.cancel()

    async def _write(self, stream: grpc.aio.StreamStreamCall) -> None:
        while True:
            await self._ready.wait()
            self._ready.clear()
            sub_queries, self._outgoing = self._outgoing, []
            cancelled, self._cancelled = self._cancelled, []
            await stream.write(entry_frame(sub_queries, cancelled))

    def _take(self, frame: frames_pb2.AggregatorFrame) -> None:
        for message in frame.outcomes:
            self._take_outcome(message)
        try:
            statuses = decode_statuses(frame)
        except msgspec.DecodeError as error:
            logger.warning("ignored broken statuses from {}: {}", self._aggregator, error)
            return
        if statuses:
            self._statuses.group_statuses(self._aggregator, statuses)

    def _take_outcome(self, message: frames_pb2.GroupOutcome) -> None:
        waiting = self._listeners.get(message.call)
        if waiting is None:
            return
        listener, groups_left = waiting
        if groups_left == 1:
            del self._listeners[message.call]
        else:
            self._listeners[message.call] = (listener, groups_left - 1)
        try:
            listener.outcome(decode_outcome(message))
        except msgspec.DecodeError as error:
            logger.warning("broken outcome from {}: {}", self._aggregator, error)
            listener.link_lost(self._aggregator, sent=True)

    def _lose_all(self) -> None:
        unsent = {sub_query.call for sub_query in self._outgoing}
        self._outgoing.clear()
        self._cancelled.clear()
        listeners, self._listeners = self._listeners, {}
        for call, (listener, _groups_left) in listeners.items():
            listener.link_lost(self._aggregator, sent=call not in unsent)


class StreamLinks:
    """The streams of one entry, opened when first used."""

    __slots__ = ("_address_of", "_links", "_statuses")

    def __init__(self, address_of: Callable[[str], str], statuses: StatusListener) -> None:
        self._address_of = address_of
        self._statuses = statuses
        self._links: dict[str, StreamLink] = {}

    def link(self, aggregator: str) -> StreamLink:
        """Return the link, opened if need be."""
        link = self._links.get(aggregator)
        if link is None:
            link = StreamLink(aggregator, self._address_of(aggregator), self._statuses)
            self._links[aggregator] = link
        return link

    async def close(self) -> None:
        """Close every stream."""
        await asyncio.gather(*(link.close() for link in self._links.values()))
        self._links.clear()
