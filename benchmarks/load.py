"""Open-loop load: arrivals do not wait for answers."""

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
LIMITS = (5, 30)
CITY_SHARE = 0.5


class QueryStream(msgspec.Struct, frozen=True, kw_only=True):
    """One kind of query and how often it arrives, from ``from_s`` to ``to_s`` of the run."""

    service: str = "desk"
    rate_per_s: float = 20.0
    from_s: float = 0.0
    to_s: float = 1e9
    repeatable: bool = True
    crash_marks: int = 0


class Sample(msgspec.Struct):
    """One query: when it was to be sent, how long its answer took from then on, and the answer."""

    stream: QueryStream
    request: QueryRequest
    at_s: float
    latency_ms: float
    result: QueryAnswer | QueryError


class Callers:
    """Callers of every zone, each with a client that keeps its answer about entries."""

    def __init__(self, fleet: Fleet, shape: FleetShape, entry_url: Callable[[str], str]) -> None:
        seeds = [entry_url(host.address) for host in fleet.hosts]
        self._clients = [
            Client(seeds[number:] + seeds[:number], f"caller-{number}", zone)
            for number, zone in enumerate(shape.zones * CALLERS_PER_ZONE)
        ]
        self._way_s = shape.client_way_ms / 1000

    def close(self) -> None:
        """Close every connection."""
        for client in self._clients:
            client.close()

    async def send(self, number: int, service: str, request: QueryRequest):
        """Send a query from one of the callers, with the way there and back."""
        await asyncio.sleep(self._way_s)
        client = self._clients[number % len(self._clients)]
        result = await client.query(service, request)
        await asyncio.sleep(self._way_s)
        return result


def draw_request(stream: QueryStream, number: int, source: random.Random) -> QueryRequest:
    """Draw a request: one of the few that crash, or one that a facet makes unlike all others."""
    request_id = f"{stream.service}-{source.getrandbits(64):016x}"
    if stream.crash_marks:
        wanted = {"crash": f"mark-{number % stream.crash_marks}"}
        return QueryRequest(request_id=request_id, filter=_raw(wanted))
    wanted = {"city": source.choice(CITIES)} if source.random() < CITY_SHARE else {}
    return QueryRequest(
        request_id=request_id,
        filter=_raw(wanted),
        limit=source.randint(*LIMITS),
        facets=(f"salt-{source.getrandbits(48):012x}",),
        repeatable=stream.repeatable,
    )


def _raw(wanted: dict[str, str]) -> msgspec.Raw:
    return msgspec.Raw(msgspec.json.encode(wanted))


async def run_stream(
    stream: QueryStream,
    callers: Callers,
    seed: int,
    duration_s: float,
    take: Callable[[Sample], None],
) -> None:
    """Send a stream's queries at their moments and wait for the last answers."""
    source = random.Random(f"{seed}/{stream.service}/{stream.rate_per_s}/{stream.crash_marks}")
    started_s = time.monotonic()
    at_s, number = stream.from_s, 0
    async with asyncio.TaskGroup() as group:
        while True:
            at_s += source.expovariate(stream.rate_per_s)
            if at_s >= min(duration_s, stream.to_s):
                return
            request = draw_request(stream, number, source)
            caller = source.randrange(1 << 30)
            await asyncio.sleep(started_s + at_s - time.monotonic())
            group.create_task(_send(stream, callers, caller, request, started_s, at_s, take))
            number += 1


async def _send(
    stream: QueryStream,
    callers: Callers,
    caller: int,
    request: QueryRequest,
    started_s: float,
    at_s: float,
    take: Callable[[Sample], None],
) -> None:
    result = await callers.send(caller, stream.service, request)
    latency_ms = (time.monotonic() - started_s - at_s) * 1000
    take(Sample(stream, request, at_s, latency_ms, result))
