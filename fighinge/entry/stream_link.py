"""gRPC streams from an entry to aggregators, one for each aggregator."""

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
    FRAME_TARGET_BYTES,
    decode_outcome,
    decode_statuses,
    encode_sub_query,
    entry_frame,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from fighinge.entry.base import OutcomeListener, StatusListener
    from fighinge.messages import SubQuery

logger = logbook.Logger(__name__)

RECONNECT_DELAY_S = 0.2
CONNECT_TIMEOUT_S = 0.25  # then queued sub-queries fail; connecting continues
DEPARTED_CHECK_INTERVAL_S = 2.0
MAX_UNSENT_SUB_QUERIES = 1000


class StreamLink:
    """The stream to one aggregator, which reconnects whenever it ends.

    Sub-queries queued before the next write are batched into one frame. While the stream is down
    or its queue is full, a new sub-query fails at once as not sent.
    """

    __slots__ = (
        "_address",
        "_aggregator",
        "_cancelled",
        "_connect_timer",
        "_connected",
        "_is_closing",
        "_is_down",
        "_listeners",
        "_output_pending",
        "_statuses",
        "_task",
        "_unsent",
    )

    def __init__(self, aggregator: str, address: str, statuses: StatusListener) -> None:
        self._aggregator = aggregator
        self._address = address
        self._statuses = statuses
        self._listeners: dict[int, tuple[OutcomeListener, int]] = {}
        self._unsent: dict[int, SubQuery] = {}
        self._cancelled: list[int] = []
        self._output_pending = asyncio.Event()
        self._connected = asyncio.Event()
        self._is_down = False
        self._is_closing = False
        loop = asyncio.get_running_loop()
        self._connect_timer = loop.call_later(CONNECT_TIMEOUT_S, self._on_connect_timeout)
        self._task = asyncio.create_task(self._run())

    @property
    def is_idle(self) -> bool:
        """Return whether no sub-query is in flight."""
        return not self._listeners

    def send(self, sub_query: SubQuery, listener: OutcomeListener) -> None:
        """Send a sub-query; the listener receives one outcome for each of its groups."""
        if self._is_down or len(self._unsent) >= MAX_UNSENT_SUB_QUERIES:
            listener.on_link_lost(self._aggregator, sent=False)
            return
        self._listeners[sub_query.call] = (listener, len(sub_query.groups))
        self._unsent[sub_query.call] = sub_query
        self._output_pending.set()

    def cancel(self, call: int) -> None:
        """Cancel a sub-query; its listener is not called any more."""
        if self._listeners.pop(call, None) is None:
            return
        if self._unsent.pop(call, None) is None:
            self._cancelled.append(call)
            self._output_pending.set()

    async def close(self) -> None:
        """Close the stream; sub-queries in flight fail as lost."""
        self._connect_timer.cancel()
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self._fail_all()

    async def _run(self) -> None:
        while True:
            try:
                async with grpc.aio.insecure_channel(
                    self._address, options=CHANNEL_OPTIONS
                ) as channel:
                    await self._exchange(channel)
            except grpc.RpcError as error:
                logger.debug("stream to {} ended with an error: {}", self._aggregator, error)
            except Exception:
                logger.exception("unexpected exception in the stream to {}", self._aggregator)
            self._connected.clear()
            self._fail_all()
            await asyncio.sleep(RECONNECT_DELAY_S)

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
                self._is_down = self._is_closing = frame.closing
                self._connected.set()
                if frame.closing:
                    self._fail_unsent()
                self._handle_frame(frame)
        finally:
            stream.cancel()
            writer.cancel()
            await asyncio.gather(writer, return_exceptions=True)

    async def _write(self, stream: grpc.aio.StreamStreamCall) -> None:
        """Write frames after the aggregator's first frame, which shows that the stream is up."""
        await self._connected.wait()
        while not self._is_closing:
            await self._output_pending.wait()
            await stream.write(self._next_frame())
        await stream.done_writing()

    def _next_frame(self) -> frames_pb2.EntryFrame:
        """Build a frame from the queued messages, up to the size of a full frame."""
        messages, size = [], 0
        while self._unsent and size < FRAME_TARGET_BYTES:
            call = next(iter(self._unsent))
            message = encode_sub_query(self._unsent.pop(call))
            messages.append(message)
            size += message.ByteSize()
        cancelled, self._cancelled = self._cancelled, []
        if not self._unsent:
            self._output_pending.clear()
        return entry_frame(messages, cancelled)

    def _handle_frame(self, frame: frames_pb2.AggregatorFrame) -> None:
        for message in frame.outcomes:
            self._handle_outcome(message)
        try:
            statuses = decode_statuses(frame)
        except msgspec.DecodeError as error:
            logger.warning("ignoring malformed statuses from {}: {}", self._aggregator, error)
            return
        if statuses:
            self._statuses.on_group_statuses(self._aggregator, statuses)

    def _handle_outcome(self, message: frames_pb2.GroupOutcome) -> None:
        waiting = self._listeners.pop(message.call, None)
        if waiting is None:
            return
        listener, groups_left = waiting
        try:
            outcome = decode_outcome(message)
        except msgspec.DecodeError as error:
            logger.warning("malformed outcome from {}: {}", self._aggregator, error)
            listener.on_link_lost(self._aggregator, sent=True)
            return
        if groups_left > 1:
            self._listeners[message.call] = (listener, groups_left - 1)
        listener.on_outcome(outcome)

    def _on_connect_timeout(self) -> None:
        if not self._connected.is_set():
            self._fail_all()

    def _fail_unsent(self) -> None:
        """Fail the sub-queries that were not written yet, and wake the writer up."""
        unsent, self._unsent = self._unsent, {}
        lost = [self._listeners.pop(call)[0] for call in unsent]
        self._output_pending.set()
        for listener in lost:
            listener.on_link_lost(self._aggregator, sent=False)

    def _fail_all(self) -> None:
        self._is_down = True
        self._fail_unsent()
        self._cancelled.clear()
        listeners, self._listeners = self._listeners, {}
        for listener, _groups_left in listeners.values():
            listener.on_link_lost(self._aggregator, sent=True)


class StreamLinks:
    """The streams of one entry, opened on first use."""

    __slots__ = ("_address_of", "_links", "_statuses")

    def __init__(self, address_of: Callable[[str], str], statuses: StatusListener) -> None:
        self._address_of = address_of
        self._statuses = statuses
        self._links: dict[str, StreamLink] = {}

    def link(self, aggregator: str) -> StreamLink:
        """Return the link to an aggregator, opening it if needed."""
        link = self._links.get(aggregator)
        if link is None:
            link = StreamLink(aggregator, self._address_of(aggregator), self._statuses)
            self._links[aggregator] = link
        return link

    async def close_link(self, aggregator: str) -> None:
        """Close the stream to an aggregator; sub-queries in flight fail as lost."""
        link = self._links.pop(aggregator, None)
        if link is not None:
            await link.close()

    async def close_departed(self, members: set[str]) -> None:
        """Close idle streams to aggregators that are not members any more."""
        departed = [name for name, link in self._links.items() if name not in members]
        for name in departed:
            if self._links[name].is_idle:
                await self.close_link(name)

    async def run_departed_cleanup(self, members: Callable[[], set[str]]) -> None:
        """Close streams to departed aggregators periodically until cancelled."""
        while True:
            await asyncio.sleep(DEPARTED_CHECK_INTERVAL_S)
            await self.close_departed(members())

    async def close(self) -> None:
        """Close all streams."""
        await asyncio.gather(*(link.close() for link in self._links.values()))
        self._links.clear()
