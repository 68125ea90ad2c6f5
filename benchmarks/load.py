"""Generates open-loop load: arrivals do not depend on answers."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

import msgspec

from fighinge.client import Client
from fighinge.queries import QueryAnswer, QueryError, QueryRequest
from standins.records import CITIES

if TYPE_CHECKING:
    from collections.abc import Callable

    from benchmarks.shapes import FleetShape
    from demo.fleet import Fleet

CALLERS_PER_ZONE = 4
RECORD_LIMIT_RANGE = (5, 30)
CITY_FILTER_PROBABILITY = 0.5


class QueryStream(msgspec.Struct, frozen=True, kw_only=True):
    """Queries of one kind with Poisson arrivals between two times of the run.

    ``crash_variants`` is the number of distinct requests that crash backend servers; 0 sends
    ordinary queries.
    """

    service: str = "desk"
    rate_per_s: float = 20.0
    start_s: float = 0.0
    end_s: float = 1e9
    is_idempotent: bool = True
    crash_variants: int = 0


class Sample(msgspec.Struct):
    """A query and its answer; the latency counts from the scheduled time of sending."""

    stream: QueryStream
    request: QueryRequest
    scheduled_s: float
    latency_ms: float
    result: QueryAnswer | QueryError


class Callers:
    """Callers in every data centre, each with its own client, which caches the list of entries."""

    def __init__(self, fleet: Fleet, shape: FleetShape, entry_url: Callable[[str], str]) -> None:
        entry_urls = [entry_url(host.address) for host in fleet.hosts]
        self._clients = [
            Client(entry_urls[number:] + entry_urls[:number], f"caller-{number}", zone)
            for number, zone in enumerate(shape.zones * CALLERS_PER_ZONE)
        ]
        self._one_way_s = shape.client_one_way_ms / 1000

    def close(self) -> None:
        """Close every connection."""
        for client in self._clients:
            client.close()

    async def send(self, caller_number: int, service: str, request: QueryRequest):
        """Send a query from one of the callers, with the network delay of both directions."""
        await asyncio.sleep(self._one_way_s)
        client = self._clients[caller_number % len(self._clients)]
        result = await client.query(service, request)
        await asyncio.sleep(self._one_way_s)
        return result


def draw_request(stream: QueryStream, number: int, rng: random.Random) -> QueryRequest:
    """Draw a request that crashes backend servers, or an ordinary one.

    A random facet makes ordinary requests unique.
    """
    request_id = f"{stream.service}-{rng.getrandbits(64):016x}"
    if stream.crash_variants:
        filter_fields = {"crash": f"mark-{number % stream.crash_variants}"}
        return QueryRequest(request_id=request_id, filter=_encode_filter(filter_fields))
    filter_fields = {"city": rng.choice(CITIES)} if rng.random() < CITY_FILTER_PROBABILITY else {}
    return QueryRequest(
        request_id=request_id,
        filter=_encode_filter(filter_fields),
        limit=rng.randint(*RECORD_LIMIT_RANGE),
        facets=(f"salt-{rng.getrandbits(48):012x}",),
        repeatable=stream.is_idempotent,
    )


def _encode_filter(filter_fields: dict[str, str]) -> msgspec.Raw:
    return msgspec.Raw(msgspec.json.encode(filter_fields))


async def run_stream(
    stream: QueryStream,
    callers: Callers,
    seed: int,
    duration_s: float,
    on_sample: Callable[[Sample], None],
) -> None:
    """Send the queries of a stream at their scheduled times and wait for the last answers."""
    rng = random.Random(f"{seed}/{stream.service}/{stream.rate_per_s}/{stream.crash_variants}")
    started_s = time.monotonic()
    scheduled_s, number = stream.start_s, 0
    async with asyncio.TaskGroup() as group:
        while True:
            scheduled_s += rng.expovariate(stream.rate_per_s)
            if scheduled_s >= min(duration_s, stream.end_s):
                return
            request = draw_request(stream, number, rng)
            caller_number = rng.randrange(1 << 30)
            await asyncio.sleep(started_s + scheduled_s - time.monotonic())
            group.create_task(
                _send(stream, callers, caller_number, request, started_s, scheduled_s, on_sample)
            )
            number += 1


async def _send(
    stream: QueryStream,
    callers: Callers,
    caller_number: int,
    request: QueryRequest,
    started_s: float,
    scheduled_s: float,
    on_sample: Callable[[Sample], None],
) -> None:
    result = await callers.send(caller_number, stream.service, request)
    latency_ms = (time.monotonic() - started_s - scheduled_s) * 1000
    on_sample(Sample(stream, request, scheduled_s, latency_ms, result))
