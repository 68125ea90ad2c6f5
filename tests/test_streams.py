"""Tests of the streams between entries and aggregators, over real connections."""

from __future__ import annotations

import asyncio
import contextlib

import msgspec
import pytest

from fighinge.aggregator import stream_server
from fighinge.aggregator.stream_server import StreamServer
from fighinge.entry import stream_link
from fighinge.entry.stream_link import StreamLinks
from fighinge.errors import ErrorKind
from fighinge.messages import GroupOutcome, GroupShards, GroupStatus, Record, ShardResult
from fighinge.wire import codec
from tests.builders import sub_query

WAIT_S = 5.0
POLL_INTERVAL_S = 0.005
MAX_POLLS = 1000


class FakeAggregatorService:
    """Store the reply functions of sub-queries, so that tests can call them."""

    def __init__(self):
        self.replies = {}
        self.cancelled = []
        self.group_statuses = [GroupStatus("g1", {"c": [1]})]

    def statuses(self):
        return self.group_statuses

    def submit(self, sub_query, reply, entry=""):
        self.replies[sub_query.call] = reply

    def cancel(self, _entry, call):
        self.cancelled.append(call)

    def cancel_all(self, _entry):
        self.cancelled.append("all")


class RecordingListener:
    """Store the received outcomes and link losses."""

    def __init__(self):
        self.received = asyncio.Queue()

    def on_outcome(self, outcome):
        self.received.put_nowait(outcome)

    def on_link_lost(self, _aggregator, *, sent):
        self.received.put_nowait("lost after sending" if sent else "not sent")

    async def next(self):
        return await asyncio.wait_for(self.received.get(), WAIT_S)


class RecordingStatusListener:
    """Store the groups of the received statuses."""

    def __init__(self):
        self.received = asyncio.Queue()

    def on_group_statuses(self, _aggregator, statuses):
        self.received.put_nowait([status.group for status in statuses])


@contextlib.asynccontextmanager
async def _connected_pair():
    service, statuses = FakeAggregatorService(), RecordingStatusListener()
    server = StreamServer(service)
    port = await server.start("127.0.0.1", 0)
    links = StreamLinks(lambda _name: f"127.0.0.1:{port}", statuses)
    try:
        yield server, service, links, statuses
    finally:
        await links.close()
        await server.stop(0.0)


async def _wait_until(condition):
    for _ in range(MAX_POLLS):
        if condition():
            return
        await asyncio.sleep(POLL_INTERVAL_S)
    raise TimeoutError


async def _start_sub_query(links, service, call, groups=1):
    listener = RecordingListener()
    group_shards = tuple(GroupShards(f"g{number}", ("s0",)) for number in range(groups))
    links.link("a").send(sub_query(call=call, groups=group_shards), listener)
    await _wait_until(lambda: call in service.replies)
    return listener


def test_outcome_of_each_group_arrives():
    async def run():
        async with _connected_pair() as (_server, service, links, _statuses):
            listener = await _start_sub_query(links, service, 1, groups=2)
            for group in ("g0", "g1"):
                service.replies[1](1, GroupOutcome(group=group))
            assert [(await listener.next()).group for _ in range(2)] == ["g0", "g1"]
            assert links.link("a").is_idle

    asyncio.run(run())


def test_cancelled_call_is_cancelled_at_the_aggregator_without_an_outcome():
    async def run():
        async with _connected_pair() as (_server, service, links, _statuses):
            listener = await _start_sub_query(links, service, 1)
            links.link("a").cancel(1)
            await _wait_until(lambda: service.cancelled == [1])
            service.replies[1](1, GroupOutcome(group="g0"))
            other = await _start_sub_query(links, service, 2)
            service.replies[2](2, GroupOutcome(group="g0"))
            await other.next()
            assert listener.received.empty()

    asyncio.run(run())


def test_calls_are_cancelled_when_the_entry_disconnects():
    async def run():
        async with _connected_pair() as (_server, service, links, _statuses):
            await _start_sub_query(links, service, 1)
            await links.close()
            await _wait_until(lambda: "all" in service.cancelled)

    asyncio.run(run())


def test_outcome_too_large_for_a_frame_fails_without_closing_the_stream(monkeypatch):
    monkeypatch.setattr(codec, "MAX_OUTCOME_BYTES", 1000)

    async def run():
        async with _connected_pair() as (_server, service, links, _statuses):
            listener = await _start_sub_query(links, service, 1)
            result = ShardResult("s0", 1, [Record("k", "x" * 2000)], 1)
            service.replies[1](1, GroupOutcome(group="g0", parts=[result], sent=True))
            outcome = await listener.next()
            assert [missing.kind for missing in outcome.missing] == [ErrorKind.TOO_LARGE]
            assert outcome.sent
            assert not outcome.parts
            other = await _start_sub_query(links, service, 2)
            service.replies[2](2, GroupOutcome(group="g0"))
            assert (await other.next()).group == "g0"

    asyncio.run(run())


def test_outcomes_too_large_together_for_one_frame_all_arrive():
    async def run():
        async with _connected_pair() as (_server, service, links, _statuses):
            listeners = [await _start_sub_query(links, service, call) for call in range(5)]
            result = ShardResult("s0", 1, [Record("k", "x" * 5_000_000)], 1)
            for call in range(5):
                service.replies[call](call, GroupOutcome(group="g0", parts=[result]))
            for listener in listeners:
                assert len((await listener.next()).parts) == 1

    asyncio.run(run())


def test_sub_query_is_refused_as_not_sent_if_the_queue_is_full(monkeypatch):
    monkeypatch.setattr(stream_link, "MAX_UNSENT_SUB_QUERIES", 1)

    async def run():
        async with _connected_pair() as (_server, _service, links, _statuses):
            first, second = RecordingListener(), RecordingListener()
            links.link("a").send(sub_query(call=1), first)
            links.link("a").send(sub_query(call=2), second)
            assert await second.next() == "not sent"
            assert first.received.empty()

    asyncio.run(run())


def test_sub_query_is_refused_as_not_sent_if_too_many_are_running(monkeypatch):
    monkeypatch.setattr(stream_server, "MAX_RUNNING_SUB_QUERIES", 1)

    async def run():
        async with _connected_pair() as (_server, service, links, _statuses):
            await _start_sub_query(links, service, 1)
            listener = RecordingListener()
            links.link("a").send(sub_query(call=2), listener)
            outcome = await listener.next()
            assert not outcome.sent
            assert outcome.missing[0].kind is ErrorKind.OVERLOADED

    asyncio.run(run())


def test_sub_query_fails_as_not_sent_if_the_aggregator_does_not_listen():
    async def run():
        links = StreamLinks(lambda _name: "127.0.0.1:1", RecordingStatusListener())
        for _ in range(2):
            listener = RecordingListener()
            links.link("a").send(sub_query(call=1), listener)
            assert await listener.next() == "not sent"
        await links.close()

    asyncio.run(run())


def test_graceful_shutdown_finishes_running_sub_queries_and_refuses_new_ones():
    async def run():
        async with _connected_pair() as (server, service, links, _statuses):
            running = await _start_sub_query(links, service, 1)
            stopping = asyncio.create_task(server.stop(WAIT_S))
            await _wait_until(lambda: links.link("a")._is_down)
            late = RecordingListener()
            links.link("a").send(sub_query(call=2), late)
            assert await late.next() == "not sent"
            service.replies[1](1, GroupOutcome(group="g0", sent=True))
            assert (await running.next()).sent
            await asyncio.wait_for(stopping, WAIT_S)
            assert 1 not in service.cancelled

    asyncio.run(run())


def test_only_changed_statuses_are_announced(monkeypatch):
    monkeypatch.setattr(stream_server, "STATUS_INTERVAL_S", 0.02)

    async def run():
        async with _connected_pair() as (_server, service, links, statuses):
            service.group_statuses = [GroupStatus("g1", {}), GroupStatus("g2", {})]
            await _start_sub_query(links, service, 1)
            seen = await asyncio.wait_for(statuses.received.get(), WAIT_S)
            assert seen == ["g1", "g2"]
            await asyncio.sleep(0.1)
            while not statuses.received.empty():
                statuses.received.get_nowait()
            service.group_statuses = [GroupStatus("g1", {}), GroupStatus("g2", {"c": [2]})]
            assert await asyncio.wait_for(statuses.received.get(), WAIT_S) == ["g2"]

    asyncio.run(run())


@pytest.mark.parametrize(("members", "closed"), [({"a"}, False), (set(), True)])
def test_idle_streams_to_departed_aggregators_are_closed(members, closed):
    async def run():
        async with _connected_pair() as (_server, service, links, _statuses):
            listener = await _start_sub_query(links, service, 1)
            before = links.link("a")
            await links.close_departed(set())
            assert links.link("a") is before
            service.replies[1](1, GroupOutcome(group="g0"))
            await listener.next()
            await links.close_departed(members)
            assert (links.link("a") is not before) == closed

    asyncio.run(run())


def test_sub_query_is_unchanged_by_encoding_and_decoding():
    sent = sub_query(call=7, takeover=True)
    message = codec.encode_sub_query(sent)
    received = codec.decode_sub_query(type(message).FromString(message.SerializeToString()))
    assert msgspec.structs.asdict(received) == msgspec.structs.asdict(sent)
