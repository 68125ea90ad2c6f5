"""Tests of a query through entry and aggregator in one process."""

from __future__ import annotations

import asyncio

from fighinge.aggregator.service import AggregatorService
from fighinge.entry.query_service import QueryService
from fighinge.entry.snapshots import SnapshotChooser
from fighinge.errors import ErrorKind
from fighinge.ownership import Candidate
from fighinge.queries import QueryRequest
from standins.backend import StandinServer
from standins.direct import DirectBackendClient, DirectLinks
from tests import virtual_time
from tests.builders import document


class OneAggregator:
    """A fleet of one aggregator."""

    def aggregators(self):
        return [Candidate("a1", "z1")]


async def _query(unreachable):
    clock = asyncio.get_running_loop().time
    configured = document()
    client = DirectBackendClient(
        StandinServer(name, configured, seed=1) for name in configured.backend_servers
    )
    client.unreachable |= unreachable
    aggregator = AggregatorService(client, clock)
    aggregator.configure(configured)
    polling = asyncio.create_task(aggregator.poll_states())
    links = DirectLinks({"a1": aggregator})
    service = QueryService("e1", OneAggregator(), links, SnapshotChooser(clock), clock)
    service.configure(1, configured)
    await asyncio.sleep(1)
    answer = await service.query("desk", QueryRequest(limit=5))
    polling.cancel()
    return answer


def test_whole_answer():
    answer = virtual_time.run(_query(set()))
    assert answer.coverage.share == 1.0
    assert len(answer.records) == 5


def test_all_replicas_unreachable():
    answer = virtual_time.run(_query({"b0", "b1", "b2"}))
    assert answer.kind is ErrorKind.NO_REPLICA
    assert answer.not_run
    assert answer.retry_after_s > 0
    assert len(answer.coverage.missing) == 2
