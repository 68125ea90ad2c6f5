"""An entry, an aggregator and stand-in backend servers in one process."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import msgspec

from fighinge.aggregator.service import AggregatorService
from fighinge.entry.query_service import QueryService
from fighinge.entry.snapshots import SnapshotChooser
from fighinge.model import decode_document
from fighinge.ownership import Candidate
from standins.backend import StandinServer
from standins.direct import DirectBackendClient, DirectLinks
from tests.builders import raw_document

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterable

STATE_POLL_WAIT_S = 0.05  # until the aggregator has polled the servers' states


class SingleAggregatorDirectory:
    """List a single aggregator."""

    def aggregators(self) -> list[Candidate]:
        """Return the single aggregator."""
        return [Candidate("a1", "z1")]


@contextlib.asynccontextmanager
async def whole_system(
    raw: dict | None = None, stopped: Iterable[str] = ()
) -> AsyncIterator[QueryService]:
    """Yield the query service of a running system.

    :param raw: configuration document
    :param stopped: names of unreachable backend servers
    """
    clock = asyncio.get_running_loop().time
    configured = decode_document(msgspec.json.encode(raw or raw_document()))
    client = DirectBackendClient(
        StandinServer(name, configured, seed=1) for name in configured.backend_servers
    )
    client.unreachable.update(stopped)
    aggregator = AggregatorService(client, clock)
    aggregator.configure(configured)
    polling = asyncio.create_task(aggregator.poll_states())
    service = QueryService(
        "e1",
        SingleAggregatorDirectory(),
        DirectLinks({"a1": aggregator}),
        SnapshotChooser(clock),
        clock,
    )
    service.configure(1, configured)
    await asyncio.sleep(STATE_POLL_WAIT_S)
    try:
        yield service
    finally:
        polling.cancel()
