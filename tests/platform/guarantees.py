"""Checks the guarantees of routers on the exchanges that callers and backend servers recorded."""

from __future__ import annotations

import heapq
from collections import Counter
from typing import TYPE_CHECKING

import msgspec

from fighinge.router.gather import RECORD_BYTES
from fighinge.router.service_call import MAX_REPEAT_CALLS
from standins.shard_server import Run, records

if TYPE_CHECKING:
    from tests.platform.fleet import Reply

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
MAX_ATTEMPTS = 2
TOP_RECORDS = 5
MIN_COVERAGE = 0.75


class RecordedExchange(msgspec.Struct):
    """A caller's request and the response to it; status 0 if there was none.

    ``sent_s`` and ``done_s`` are the times of the first and the last byte at the caller.
    """

    request_id: str
    route: str
    status: int
    headers: dict[str, str]
    body: bytes
    target: str = ""
    router: int = 0
    sent_s: float = 0.0
    done_s: float = 0.0

    @classmethod
    def from_reply(
        cls, request_id: str, target: str, router: int, sent_s: float, done_s: float, reply: Reply
    ) -> RecordedExchange:
        """Return the exchange of a request whose route is named by its target."""
        route = target.split("/")[1]
        return cls(
            request_id,
            route,
            reply.status,
            reply.headers,
            reply.body,
            target,
            router,
            sent_s,
            done_s,
        )

    def has_answer_of(self, instance_id: str) -> bool:
        """Return whether the response holds the answer of a backend server."""
        stamps = ("x-server-stamp", "x-part-stamps")
        text = ",".join(self.headers.get(name, "") for name in stamps)
        return f"{instance_id}.{self.request_id}" in {part.strip() for part in text.split(",")}


def violations(exchanges: list[RecordedExchange], runs: list[Run], shards: int) -> list[str]:
    """Return a description of each violated guarantee."""
    by_request: dict[str, list[Run]] = {}
    for run in runs:
        by_request.setdefault(run.request_id, []).append(run)
    requested = {item.request_id for item in exchanges}
    found = [
        f"{name}: executed without a caller's request" for name in by_request.keys() - requested
    ]
    for item in exchanges:
        own = by_request.get(item.request_id, [])
        found += [
            f"{item.request_id} ({item.route}): {violation}"
            for violation in _find_violations(item, own, shards)
        ]
    return found


def _find_violations(item: RecordedExchange, runs: list[Run], shards: int) -> list[str]:
    found = []
    if item.status in NOT_RUN_STATUSES and runs and item.route == "once":
        found.append(f"status {item.status} although it was executed")
    if item.route == "once" and len(runs) > 1:
        found.append(f"executed {len(runs)} times")
    for service in {run.service for run in runs}:
        servers = Counter(run.instance_id for run in runs if run.service == service)
        if len(servers) > MAX_ATTEMPTS:
            found.append(f"executed by {len(servers)} servers of {service}")
        if servers.total() > MAX_ATTEMPTS + MAX_REPEAT_CALLS:
            found.append(f"executed {servers.total()} times at {service}")
    if item.status == 200:
        check = _find_gather_violations if item.route == "all" else _find_single_violations
        found += check(item, runs, shards)
    return found


def _find_single_violations(item: RecordedExchange, runs: list[Run], _shards: int) -> list[str]:
    stamps = {f"{run.instance_id}.{run.request_id}": run.service for run in runs}
    service = stamps.get(item.headers.get("x-server-stamp", ""))
    if service is None:
        return ["the signature is not of a recorded execution"]
    return [] if item.body == records(service) else ["the body differs from the server's"]


def _find_gather_violations(item: RecordedExchange, runs: list[Run], shards: int) -> list[str]:
    stamps = {f"{run.instance_id}.{run.request_id}": run.service for run in runs}
    stamped = [text.strip() for text in item.headers["x-part-stamps"].split(",")]
    services = [stamps.get(stamp) for stamp in stamped]
    if None in services:
        return ["a signature is not of a recorded execution"]
    found = []
    if len(set(services)) != len(services):
        found.append("a shard is included twice")
    if len(services) + int(item.headers["x-missing-parts"]) != shards:
        found.append("included and missing shards do not add up")
    if len(services) < MIN_COVERAGE * shards:
        found.append("coverage is below the minimum")
    everything = [
        body[at : at + RECORD_BYTES]
        for body in map(records, services)
        for at in range(0, len(body), RECORD_BYTES)
    ]
    if item.body != b"".join(heapq.nlargest(TOP_RECORDS, everything)):
        found.append("the body is not the greatest records of the included shards")
    return found
