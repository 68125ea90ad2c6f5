"""Builders of test data about backend servers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from fighinge.aggregator.backend_server import BackendServer
from fighinge.aggregator.latency import SlowCallFraction
from fighinge.aggregator.service import AggregatorService
from fighinge.groups import GroupMap
from fighinge.messages import BackendAnswer, GroupShards, Search, ServerState, SubQuery
from fighinge.model import BackendServerConfig
from standins.backend import StandinServer
from standins.direct import DirectBackendClient
from tests.builders import document

if TYPE_CHECKING:
    from fighinge.messages import GroupOutcome
    from fighinge.model import Document

CALLS_UNTIL_WARM = 200


def server(
    *, slots: int = 4, now_s: float = 0.0, slow_fraction: SlowCallFraction | None = None
) -> BackendServer:
    """Return a cold server that has reported its state once."""
    config = BackendServerConfig(
        host="127.0.0.1", port=9000, zone="z1", slots=slots, connection_limit=35
    )
    built = BackendServer.from_config("b0", config, now_s, slow_fraction=slow_fraction)
    built.state_reported(ServerState("p1"), now_s)
    return built


def answer(server: BackendServer, now_s: float, *, took_s: float = 0.01, query_class="desk"):
    """Record one call that a server answered."""
    server.call_started("f")
    result = BackendAnswer(server.process_id)
    server.call_finished("f", query_class, result, took_s, now_s)


def warm_server(
    *, slots: int = 4, until_s: float = 100.0, slow_fraction: SlowCallFraction | None = None
) -> BackendServer:
    """Return a server that has completed its cold start."""
    built = server(slots=slots, slow_fraction=slow_fraction)
    for number in range(CALLS_UNTIL_WARM):
        answer(built, until_s * (number + 1) / CALLS_UNTIL_WARM)
    return built


async def run_sub_query(service, document, request_id, *, is_idempotent=True, call=1):
    """Run a sub-query for the document's only group and return its outcome."""
    done = asyncio.get_running_loop().create_future()
    shards = GroupMap.from_document(document).shards_by_group(document, "c", 1)
    sub_query = SubQuery(
        call=call,
        request_id=request_id,
        service="desk",
        collection="c",
        index_version=1,
        query_class="desk",
        tenant="t1",
        groups=tuple(GroupShards(name, names) for name, names in shards.items()),
        search=Search(),
        remaining_s=2.0,
        repeatable=is_idempotent,
        fingerprint=request_id,
        configuration_version=1,
    )
    service.submit(sub_query, lambda _call, outcome: done.set_result(outcome))
    return await done


class AggregatorFixture:
    """One aggregator and its stand-in backend servers in one process, in virtual time."""

    def __init__(self, configured: Document | None = None, **options) -> None:
        self.document = configured or document()
        self.standins = {
            name: StandinServer(name, self.document, seed=1)
            for name in self.document.backend_servers
        }
        self.client = DirectBackendClient(self.standins.values())
        self.clock = asyncio.get_running_loop().time
        self.service = AggregatorService(self.client, self.clock, seed=1, **options)
        self.service.configure(self.document)
        self._polling = asyncio.create_task(self.service.poll_states())
        self._calls = 0

    async def wait_for_state_polls(self) -> None:
        """Wait until the state of every server was polled."""
        await asyncio.sleep(0.6)

    async def warm(self, queries: int = 400) -> None:
        """Run sub-queries until every server is warm."""
        await self.wait_for_state_polls()
        for _number in range(queries // 8):
            await asyncio.gather(*(self.run_sub_query() for _number in range(8)))

    def servers(self) -> dict[str, BackendServer]:
        """Return the aggregator's backend servers by name."""
        return {
            name: server
            for group in self.service.groups()
            for name, server in group.servers.items()
        }

    async def run_sub_query(self, **changes) -> GroupOutcome:
        """Run a sub-query for all shards of the only group and return its outcome."""
        self._calls += 1
        done = asyncio.get_running_loop().create_future()
        sub_query = self.sub_query(self._calls, **changes)
        self.service.submit(sub_query, lambda _call, outcome: done.set_result(outcome))
        return await done

    def sub_query(self, call: int, **changes) -> SubQuery:
        """Return a sub-query for the document's only group."""
        collection = self.document.collections["c"]
        version = collection.snapshots[0].index_version
        shards = GroupMap.from_document(self.document).shards_by_group(self.document, "c", version)
        fields = {
            "call": call,
            "request_id": f"r{call}",
            "service": "desk",
            "collection": "c",
            "index_version": version,
            "query_class": "desk",
            "tenant": "t1",
            "groups": tuple(GroupShards(group, names) for group, names in shards.items()),
            "search": Search(),
            "remaining_s": 1.0,
            "repeatable": True,
            "fingerprint": f"f{call}",
            "configuration_version": 1,
        }
        return SubQuery(**(fields | changes))
