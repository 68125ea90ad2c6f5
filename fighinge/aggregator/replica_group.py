"""A replica group: chooses replicas, waits for slots, hedges and retries."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook

from fighinge.aggregator.backend_server import BackendServer
from fighinge.aggregator.base import CallFailure, CallFault
from fighinge.aggregator.group_status import group_status
from fighinge.errors import ErrorKind, Failure
from fighinge.groups import Group
from fighinge.messages import (
    Attempt,
    BackendAnswer,
    BackendRefusal,
    BackendRequest,
    GroupOutcome,
    GroupStatus,
    ShardMissing,
    SubQuery,
    failed_group,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from fighinge.aggregator.base import BackendClient
    from fighinge.model import Document

logger = logbook.Logger(__name__)

RECHECK_INTERVAL_S = 0.05
CALL_SLACK_S = 0.002


class ReplicaGroup:
    """The backend servers that share shards, under one owner."""

    __slots__ = ("_client", "_clock", "_document", "_freed", "name", "servers")

    def __init__(
        self,
        name: str,
        servers: dict[str, BackendServer],
        document: Document,
        client: BackendClient,
        clock: Callable[[], float],
    ) -> None:
        self.name = name
        self.servers = servers
        self._document = document
        self._client = client
        self._clock = clock
        self._freed = asyncio.Event()

    @classmethod
    def from_config(
        cls,
        group: Group,
        document: Document,
        client: BackendClient,
        clock: Callable[[], float],
    ) -> ReplicaGroup:
        """Return a group whose backend servers are all taken for cold."""
        servers = {
            name: BackendServer.from_config(name, document.backend_servers[name])
            for name in group.backend_servers
        }
        return cls(group.name, servers, document, client, clock)

    def status(self) -> GroupStatus:
        """Return which index versions the replicas of the group hold."""
        group = Group(self.name, tuple(self.servers))
        held = {name: server.index_versions for name, server in self.servers.items()}
        return group_status(group, self._document, held)

    async def run(
        self, sub_query: SubQuery, shards: tuple[str, ...], deadline_s: float
    ) -> GroupOutcome:
        """Ask the group's shards and return what came of it.

        :param deadline_s: clock time after which no answer is of use
        """
        snapshot = self._document.collections[sub_query.collection].snapshot(
            sub_query.index_version
        )
        if snapshot is None:
            reason = f"index version {sub_query.index_version} is not configured"
            return failed_group(self.name, shards, ErrorKind.SNAPSHOT_GONE, reason, sent=False)
        bundles: dict[tuple[str, ...], list[str]] = {}
        for shard in shards:
            replicas = tuple(sorted(snapshot.shards[shard].replicas))
            bundles.setdefault(replicas, []).append(shard)
        outcomes = await asyncio.gather(
            *(
                self._run_bundle(sub_query, replicas, tuple(names), deadline_s)
                for replicas, names in bundles.items()
            )
        )
        return _joined(self.name, outcomes)

    async def _run_bundle(
        self,
        sub_query: SubQuery,
        replicas: tuple[str, ...],
        shards: tuple[str, ...],
        deadline_s: float,
    ) -> GroupOutcome:
        """Ask shards that have the same replicas, one replica after the other."""
        outcome = GroupOutcome(group=self.name)
        tried: set[str] = set()
        failure = Failure(ErrorKind.NO_REPLICA, "no replica serves the index version")
        while len(tried) < len(replicas):
            server = await self._acquire(sub_query, replicas, tried, deadline_s)
            if isinstance(server, Failure):
                failure = server if not tried else failure
                break
            tried.add(server.name)
            result = await self._call(server, sub_query, shards, deadline_s, outcome)
            if isinstance(result, BackendAnswer):
                outcome.parts.extend(result.parts)
                outcome.missing.extend(result.missing)
                return outcome
            failure = _failure_of(result)
            if not sub_query.repeatable and outcome.sent:
                break
        outcome.missing.extend(
            ShardMissing(shard, failure.kind, failure.reason) for shard in shards
        )
        return outcome

    async def _acquire(
        self, sub_query: SubQuery, replicas: tuple[str, ...], tried: set[str], deadline_s: float
    ) -> BackendServer | Failure:
        """Wait for the best replica with a free slot."""
        candidates = [
            self.servers[name]
            for name in replicas
            if name not in tried
            and self.servers[name].serves(sub_query.collection, sub_query.index_version)
        ]
        if not candidates:
            return Failure(ErrorKind.NO_REPLICA, "no replica serves the index version")
        while True:
            now_s = self._clock()
            free = [server for server in candidates if server.accepts(now_s)]
            if free:
                return min(free, key=BackendServer.score)
            if now_s >= deadline_s:
                return Failure(ErrorKind.OVERLOADED, "no replica had a free slot in time")
            await self._wait_for_slot(min(RECHECK_INTERVAL_S, deadline_s - now_s))

    async def _wait_for_slot(self, timeout_s: float) -> None:
        self._freed.clear()
        try:
            await asyncio.wait_for(self._freed.wait(), timeout_s)
        except TimeoutError:
            return

    async def _call(
        self,
        server: BackendServer,
        sub_query: SubQuery,
        shards: tuple[str, ...],
        deadline_s: float,
        outcome: GroupOutcome,
    ) -> BackendAnswer | BackendRefusal | CallFailure:
        """Make one call and let the server's condition learn from it."""
        started_s = self._clock()
        remaining_s = deadline_s - started_s
        request = BackendRequest(
            call_id=f"{sub_query.request_id}-{self.name}-{len(outcome.attempts)}",
            request_id=sub_query.request_id,
            collection=sub_query.collection,
            index_version=sub_query.index_version,
            shards=shards,
            search=sub_query.search,
            remaining_ms=remaining_s * 1000,
            repeatable=sub_query.repeatable,
        )
        server.started()
        result = await self._client.search(server.address, request, remaining_s + CALL_SLACK_S)
        now_s = self._clock()
        server.finished(result, now_s - started_s, now_s)
        self._freed.set()
        not_connected = isinstance(result, CallFailure) and result.fault is CallFault.NOT_CONNECTED
        outcome.sent = outcome.sent or not not_connected
        outcome.attempts.append(
            Attempt(
                backend_server=server.name,
                shards=len(shards),
                reason="first" if not outcome.attempts else "retry",
                started_ms=0.0,
                took_ms=(now_s - started_s) * 1000,
                result=_name_of(result),
            )
        )
        return result


def _joined(name: str, outcomes: list[GroupOutcome]) -> GroupOutcome:
    if len(outcomes) == 1:
        return outcomes[0]
    joined = GroupOutcome(group=name)
    for outcome in outcomes:
        joined.parts.extend(outcome.parts)
        joined.missing.extend(outcome.missing)
        joined.attempts.extend(outcome.attempts)
        joined.sent = joined.sent or outcome.sent
    return joined


def _failure_of(result: BackendRefusal | CallFailure) -> Failure:
    if isinstance(result, BackendRefusal):
        if result.reason == "index_version":
            return Failure(ErrorKind.SNAPSHOT_GONE, "replica no longer holds the index version")
        return Failure(ErrorKind.BACKEND_SHED, f"backend server refused: {result.reason}")
    if result.fault is CallFault.TIMEOUT:
        return Failure(ErrorKind.DEADLINE_EXCEEDED, result.reason)
    if result.fault is CallFault.BAD_ANSWER:
        return Failure(ErrorKind.BACKEND_FAULT, result.reason)
    return Failure(ErrorKind.BACKEND_LOST, result.reason)


def _name_of(result: BackendAnswer | BackendRefusal | CallFailure) -> str:
    if isinstance(result, BackendAnswer):
        return "answered"
    if isinstance(result, BackendRefusal):
        return result.reason
    return result.fault.value
