"""Contract tests of the external interfaces, run against each of their implementations."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import msgspec
import pytest
from tornado.testing import bind_unused_port

from fighinge.aggregator.base import Address, CallFault
from fighinge.aggregator.http_client import HttpBackendClient
from fighinge.client import Client
from fighinge.configuration.base import ListedHost, Values
from fighinge.configuration.platform_client import PlatformClient
from fighinge.entry.at_most_once import AtMostOnceExecutor
from fighinge.entry.http_server import create_server
from fighinge.entry.tickets import TicketRegistry
from fighinge.errors import Failure
from fighinge.messages import BackendAnswer, BackendRefusal, BackendRequest, Search
from fighinge.model import decode_document
from fighinge.queries import EntriesAnswer, EntryAddress, QueryAnswer, QueryRequest
from standins import backend_http, platform_http
from standins.backend import StandinServer
from standins.direct import DirectBackendClient
from standins.platform import PlatformBehaviour, StandinPlatform
from tests.builders import raw_document
from tests.entries import StandinEntry
from tests.systems import whole_system

TIMEOUT_S = 5.0
CLIENT_IMPLEMENTATIONS = ("direct", "http")


def _unused_port() -> int:
    sock, port = bind_unused_port()
    sock.close()
    return port


def _request(call_id="1", **changes) -> BackendRequest:
    fields = {
        "call_id": call_id,
        "request_id": f"r{call_id}",
        "collection": "c",
        "index_version": 1,
        "shards": ("s0000", "s0001"),
        "search": Search(limit=3),
        "remaining_ms": 1000.0,
    }
    return BackendRequest(**{**fields, **changes})


@contextlib.asynccontextmanager
async def _backend(implementation: str, **behaviour):
    """Yield a stand-in backend server, a client for it, and its address."""
    raw = raw_document(servers=1)
    raw["backend_servers"]["b0"]["port"] = _unused_port()
    server = StandinServer("b0", decode_document(msgspec.json.encode(raw)), seed=1)
    server.behaviour = msgspec.structs.replace(server.behaviour, **behaviour)
    configuration = server.document.backend_servers["b0"]
    address = Address(configuration.host, configuration.port)
    if implementation == "direct":
        yield server, DirectBackendClient([server]), address
        return
    listening = backend_http.listen(server)
    client = HttpBackendClient.create()
    try:
        yield server, client, address
    finally:
        client.close()
        listening.stop()
        await listening.close_all_connections()


def _run(implementation, check, **behaviour):
    async def run():
        async with _backend(implementation, **behaviour) as parts:
            await check(*parts)

    asyncio.run(run())


@pytest.mark.parametrize("implementation", CLIENT_IMPLEMENTATIONS)
class TestBackendClient:
    """The behaviour of backend clients that an aggregator relies on."""

    def test_answer_has_process_identity_and_index_versions(self, implementation):
        async def check(server, client, address):
            answer = await client.search(address, _request(), TIMEOUT_S)
            assert isinstance(answer, BackendAnswer)
            assert answer.process_id == server.process_id
            parts = [(part.shard, part.index_version, len(part.records)) for part in answer.parts]
            assert parts == [("s0000", 1, 3), ("s0001", 1, 3)]

        _run(implementation, check)

    def test_rejected_call_has_a_reason_and_is_not_run(self, implementation):
        async def check(server, client, address):
            refusal = await client.search(address, _request(index_version=9), TIMEOUT_S)
            assert isinstance(refusal, BackendRefusal)
            assert (refusal.process_id, refusal.reason) == (server.process_id, "index_version")
            assert server.executions == {}

        _run(implementation, check)

    def test_state_lists_the_held_index_versions(self, implementation):
        async def check(server, client, address):
            state = await client.state(address, TIMEOUT_S)
            assert (state.process_id, state.slots) == (server.process_id, 4)
            assert state.index_versions == {"c": [1]}

        _run(implementation, check)

    def test_cancelled_call_is_reported_as_cancelled(self, implementation):
        async def check(server, client, address):
            call = asyncio.create_task(client.search(address, _request(), TIMEOUT_S))
            while not server.executions:  # noqa: ASYNC110
                await asyncio.sleep(0.005)
            await client.cancel(address, "1")
            refusal = await call
            assert refusal.reason == "cancelled"

        _run(implementation, check, service_ms=60_000.0)

    def test_call_that_may_have_run_is_reported_as_a_timeout(self, implementation):
        async def check(_server, client, address):
            failure = await client.search(address, _request(), 0.1)
            assert failure.fault is CallFault.TIMEOUT

        _run(implementation, check, service_ms=60_000.0)

    @pytest.mark.parametrize(
        ("point", "executions"),
        [("accept", 0), ("before_run", 0), ("running", 1), ("before_answer", 1)],
    )
    @pytest.mark.parametrize("earlier_calls", [0, 1])
    def test_call_on_a_dropped_connection_is_not_sent_again(
        self, implementation, point, executions, earlier_calls
    ):
        async def check(server, client, address):
            for number in range(earlier_calls):
                await client.search(address, _request(f"earlier{number}"), TIMEOUT_S)
            server.behaviour.drop_at, server.behaviour.drops_left = point, 1
            failure = await client.search(address, _request(), TIMEOUT_S)
            assert failure.fault is CallFault.CONNECTION_LOST
            assert server.executions.get("r1", 0) == executions
            assert isinstance(await client.search(address, _request("2"), TIMEOUT_S), BackendAnswer)
            assert server.counters.searches == earlier_calls + 2

        _run(implementation, check)

    def test_crash_fails_each_call_in_flight_without_a_resend(self, implementation):
        async def check(server, client, address):
            crashing = _request("x", search=Search(filter=msgspec.Raw(b'{"crash": "mark"}')))
            results = await asyncio.gather(
                client.search(address, crashing, TIMEOUT_S),
                client.search(address, _request("1"), TIMEOUT_S),
            )
            assert [result.fault for result in results] == [CallFault.CONNECTION_LOST] * 2
            assert server.counters.crashes == {"mark": 1}

        _run(implementation, check, service_ms=20.0)


def test_request_for_a_closed_connection_uses_a_new_one():
    async def check(server, client, address):
        for number in range(4):
            server.behaviour.drop_at, server.behaviour.drops_left = "after_answer", 1
            answer = await client.search(address, _request(str(number)), TIMEOUT_S)
            assert isinstance(answer, BackendAnswer)
        assert server.executions == {f"r{number}": 1 for number in range(4)}

    _run("http", check)


def test_truncated_answer_is_a_lost_connection():
    async def check(server, client, address):
        server.behaviour.drop_at, server.behaviour.drops_left = "in_answer", 1
        failure = await client.search(address, _request(), TIMEOUT_S)
        assert failure.fault is CallFault.CONNECTION_LOST
        assert server.executions == {"r1": 1}

    _run("http", check)


@pytest.mark.parametrize("backlog_full", [False, True])
def test_failed_connection_attempt_is_reported_as_not_connected(backlog_full):
    async def run():
        sock = socket.socket()
        sock.bind(("127.0.0.1", 0))
        fillers = _fill_backlog(sock) if backlog_full else []
        client = HttpBackendClient.create()
        address = Address("127.0.0.1", sock.getsockname()[1])
        failure = await client.search(address, _request(), 0.3)
        assert failure.fault is CallFault.NOT_CONNECTED
        client.close()
        for filler in [sock, *fillers]:
            filler.close()

    asyncio.run(run())


def _fill_backlog(listening: socket.socket) -> list[socket.socket]:
    """Fill the accept queue of a listening socket, so that further connection attempts hang."""
    listening.listen(0)
    fillers = [socket.socket() for _ in range(3)]
    for filler in fillers:
        filler.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            filler.connect(listening.getsockname())
    return fillers


@contextlib.asynccontextmanager
async def _platform(implementation: str):
    """Yield a stand-in platform and a configuration service that reads from it."""
    platform = StandinPlatform()
    if implementation == "direct":
        yield platform, platform
        return
    port = _unused_port()
    server = platform_http.listen(platform, "127.0.0.1", port)
    client = PlatformClient(f"http://127.0.0.1:{port}", "contract")
    try:
        yield platform, client
    finally:
        client.close()
        server.stop()
        await server.close_all_connections()


@pytest.mark.parametrize("implementation", ["direct", "http"])
class TestConfigurationService:
    """The behaviour of the configuration service that its readers rely on."""

    def test_read_returns_changes_after_a_revision_in_order(self, implementation):
        async def run():
            async with _platform(implementation) as (platform, service):
                for key in ("x/b", "y/c", "x/a"):
                    await platform.publish(key, b"1")
                values = await service.read("x/", 0, 0.0)
                assert isinstance(values, Values)
                assert list(values.values) == ["x/b", "x/a"]
                assert list((await service.read("x/", 1, 0.0)).values) == ["x/a"]
                assert (await service.read("x/", values.revision, 0.0)).values == {}

        asyncio.run(run())

    def test_watch_returns_on_a_change(self, implementation):
        async def run():
            async with _platform(implementation) as (platform, service):
                watch = asyncio.create_task(service.read("x/", 0, 60.0))
                await asyncio.sleep(0.05)
                await platform.publish("y/a", b"1")
                await platform.publish("x/a", b"2")
                values = await asyncio.wait_for(watch, TIMEOUT_S)
                assert {key: bytes(raw) for key, raw in values.values.items()} == {"x/a": b"2"}

        asyncio.run(run())

    def test_watch_without_a_change_returns_after_its_timeout(self, implementation):
        async def run():
            async with _platform(implementation) as (_, service):
                assert (await service.read("x/", 0, 0.05)).values == {}

        asyncio.run(run())

    def test_stale_platform_returns_old_values(self, implementation):
        async def run():
            async with _platform(implementation) as (platform, service):
                await platform.publish("x/a", b"1")
                await platform.set_behaviour(PlatformBehaviour(stale=True))
                await platform.publish("x/a", b"2")
                values = await service.read("x/", 0, 0.0)
                assert (values.revision, bytes(values.values["x/a"])) == (1, b"1")
                await platform.set_behaviour(PlatformBehaviour())
                assert bytes((await service.read("x/", 1, 0.0)).values["x/a"]) == b"2"

        asyncio.run(run())


def test_unavailable_platform_is_a_failure_and_calls_are_counted():
    async def run():
        async with _platform("http") as (platform, service):
            platform.hosts = [ListedHost("10.0.0.7", "sa-1", "leaving")]
            assert await service.hosts() == platform.hosts
            platform.down = True
            assert isinstance(await service.hosts(), Failure)
            assert isinstance(await service.read("x/", 0, 0.0), Failure)
            assert platform.calls == {"contract": 3}

    asyncio.run(run())


@contextlib.asynccontextmanager
async def _entry(implementation: str):
    """Yield the URL of a running entry."""
    if implementation == "stand-in":
        entry = StandinEntry("e1")
        try:
            yield entry.url
        finally:
            await entry.close()
        return
    async with whole_system(raw_document()) as service:
        loop, port = asyncio.get_running_loop(), _unused_port()
        tickets = TicketRegistry.create("e1")
        queries = AtMostOnceExecutor(service, tickets, None, loop.time)

        def entries(_caller, _zone):
            address = EntryAddress("e1", "z1", f"http://127.0.0.1:{port}")
            minted = tickets.mint(1, loop.time())
            return EntriesAnswer(entries=[address], keep_s=60.0, tickets=minted)

        server = create_server(queries, entries)
        server.listen(port, "127.0.0.1")
        try:
            yield f"http://127.0.0.1:{port}"
        finally:
            server.stop()
            await server.close_all_connections()


@pytest.mark.parametrize("is_idempotent", [True, False])
@pytest.mark.parametrize("implementation", ["stand-in", "real"])
def test_each_concurrent_request_gets_its_own_complete_answer(implementation, is_idempotent):
    async def run():
        async with _entry(implementation) as url:
            client = Client([url])
            requests = [
                QueryRequest(request_id=f"r{number}", repeatable=is_idempotent)
                for number in range(6)
            ]
            results = await asyncio.gather(*(client.query("desk", request) for request in requests))
            client.close()
            return results

    results = asyncio.run(run())
    assert [result.request_id for result in results] == [f"r{number}" for number in range(6)]
    assert all(isinstance(result, QueryAnswer) for result in results), results
    assert all(result.coverage.share == 1.0 for result in results)
