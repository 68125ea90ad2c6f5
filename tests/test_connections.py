"""Tests of connection limits, with the connections counted at the backend server."""

from __future__ import annotations

import asyncio
from collections import Counter

import msgspec

from fighinge.aggregator.base import Address, CallFailure, CallFault, proves_not_sent
from fighinge.aggregator.connections import LimitedClient
from fighinge.aggregator.http_client import HttpBackendClient
from fighinge.aggregator.service import AggregatorService
from fighinge.messages import BackendAnswer, BackendRequest, Search
from fighinge.model import decode_document
from tests.backend_builders import run_sub_query
from tests.builders import raw_document
from tests.raw_server import RawServer

CONNECTION_LIMIT = 13
SLOTS = 4
STARTING_OWNERS = 8


def _request(number):
    return BackendRequest(
        call_id=str(number),
        request_id=str(number),
        collection="c",
        index_version=1,
        shards=("s0000",),
        search=Search(),
        remaining_ms=1000,
    )


def test_connections_of_two_owners_stay_below_limit():
    async def run():
        server = RawServer(Counter())
        await server.start()
        raw = raw_document(servers=1, shards=1)
        raw["backend_servers"]["b0"] |= {
            "port": server.port,
            "connection_limit": CONNECTION_LIMIT,
            "slots": SLOTS,
        }
        document = decode_document(msgspec.json.encode(raw))
        clients = [HttpBackendClient.create() for _number in range(2)]
        services = [
            AggregatorService(client, asyncio.get_running_loop().time) for client in clients
        ]
        polls = []
        for service in services:
            service.configure(document)
            polls.append(asyncio.create_task(service.poll_states()))
        await asyncio.sleep(0.1)
        server.service_time_s = 0.002
        for _round in range(10):
            sub_queries = [
                asyncio.create_task(run_sub_query(service, document, f"r{number}", call=number))
                for service in services
                for number in range(20)
            ]
            await asyncio.sleep(0.005)
            for service in services:
                for number in range(4):
                    service.cancel("", number)
            _done, pending = await asyncio.wait(sub_queries, timeout=0.1)
            for task in pending:
                task.cancel()
        for poll in polls:
            poll.cancel()
        server.stop()
        for client in clients:
            client.close()
        return server

    server = asyncio.run(run())
    assert sum(server.executions.values()) > 50
    assert server.cancelled
    assert SLOTS < server.peak_connections <= CONNECTION_LIMIT - 1
    assert server.opened_connections <= CONNECTION_LIMIT - 1, "connections must be reused"


def test_connections_of_owners_starting_together_stay_below_limit():
    """Guard against full quotas opened by owners that do not know of each other yet."""

    async def run():
        server = RawServer(Counter())
        await server.start()
        raw = raw_document(servers=1, shards=1)
        raw["backend_servers"]["b0"] |= {
            "port": server.port,
            "connection_limit": 35,
            "slots": SLOTS,
        }
        document = decode_document(msgspec.json.encode(raw))
        clients = [HttpBackendClient.create() for _number in range(STARTING_OWNERS)]
        for client in clients:
            service = AggregatorService(client, asyncio.get_running_loop().time)
            service.configure(document)
        await asyncio.sleep(0.5)
        server.stop()
        for client in clients:
            client.close()
        return server.peak_connections

    peak = asyncio.run(run())
    assert STARTING_OWNERS <= peak < 35


class SlowClient:
    """A client whose calls take 0.2 s."""

    async def search(self, address, request, timeout_s):
        """Answer after 0.2 s."""
        await asyncio.sleep(0.2)
        return BackendAnswer("p")


def test_call_without_free_connection_is_proven_not_sent():
    async def run():
        client = LimitedClient(SlowClient())
        address = Address("127.0.0.1", 1)
        client.set_quota(address, 1)
        return await asyncio.gather(
            client.search(address, _request(1), 1.0), client.search(address, _request(2), 0.1)
        )

    answered, refused = asyncio.run(run())
    assert isinstance(answered, BackendAnswer)
    assert refused.fault is CallFault.CONNECTION_LIMIT
    assert proves_not_sent(refused)


def test_only_missing_connection_proves_not_sent():
    proofs = {fault for fault in CallFault if proves_not_sent(CallFailure(fault, ""))}
    assert proofs == {CallFault.NOT_CONNECTED, CallFault.CONNECTION_LIMIT}
