"""The service of an aggregator: runs sub-queries on its replica groups."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook

from fighinge.aggregator.backend_server import BackendServer
from fighinge.aggregator.replica_group import ReplicaGroup
from fighinge.aggregator.served_groups import ServedGroups
from fighinge.aggregator.shared_resources import SharedResources
from fighinge.errors import ErrorKind, Failure
from fighinge.facts import Fact, FactKind
from fighinge.groups import GroupMap
from fighinge.logs import bind_request_id
from fighinge.messages import failed_group
from fighinge.ownership import zone_in_service

if TYPE_CHECKING:
    from collections.abc import Callable

    from fighinge.aggregator.base import BackendClient
    from fighinge.aggregator.policy import Policy
    from fighinge.aggregator.served_groups import FleetView
    from fighinge.facts import FactBoard
    from fighinge.messages import GroupOutcome, GroupShards, GroupStatus, SubQuery
    from fighinge.model import Document

logger = logbook.Logger(__name__)

STATE_POLL_INTERVAL_S = 0.5
WARM_FACT_TTL_S = 15.0
REFUSED_RETRY_AFTER_S = 0.1


class AggregatorService:
    """Runs sub-queries on the replica groups that this process owns or has taken over.

    Without a fleet view every group is owned. A sub-query for a group that is not served here runs
    only if the entry flags it as a takeover; otherwise the entry tries the next aggregator.
    """

    __slots__ = (
        "_document",
        "_group_map",
        "_groups",
        "_is_stopping",
        "_running",
        "_served",
        "_servers",
        "_shared",
        "_tasks",
        "_zone",
    )

    def __init__(
        self,
        client: BackendClient,
        clock: Callable[[], float],
        *,
        name: str = "",
        zone: str = "",
        fleet: FleetView | None = None,
        facts: FactBoard | None = None,
        policy: Policy | None = None,
        seed: int | None = None,
    ) -> None:
        self._shared = SharedResources(client, clock, policy, facts, seed)
        self._shared.facts.listen(self._apply_fact)
        self._zone = zone
        self._served = ServedGroups(name, fleet)
        self._document: Document | None = None
        self._group_map: GroupMap | None = None
        self._groups: dict[str, ReplicaGroup] = {}
        self._servers: dict[str, BackendServer] = {}
        self._is_stopping = False
        self._tasks: set[asyncio.Task] = set()
        self._running: dict[str, dict[int, list[asyncio.Task]]] = {}

    @property
    def shared(self) -> SharedResources:
        """Return the resources that the groups share."""
        return self._shared

    def configure(self, document: Document) -> None:
        """Apply a configuration document; unchanged groups keep their state.

        A server keeps its state even if it moves to another group.
        """
        self._document = document
        self._group_map = GroupMap.from_document(document)
        self._shared.budgets.configure(document)
        self._configure_servers(document)
        for name in [name for name in self._groups if name not in self._group_map.groups]:
            self._remove_group(name)
        for name, group in self._groups.items():
            group.configure(self._group_servers(name), document)
        self.update_ownership()

    def update_ownership(self) -> None:
        """Add the owned groups and remove those whose handover or takeover has expired."""
        if self._document is None:
            return
        now_s = self._shared.clock()
        lost = self._served.update_ownership(self._group_map, self._document, now_s)
        for name in self._served.names():
            if name not in self._groups:
                self._add_group(name, "owned")
        for name in lost:
            logger.notice("group {} is now owned by another aggregator", name)
            self._publish_warm(name, now_s)
        for name in self._served.expired(now_s):
            if name not in self._groups or not self._groups[name].running:
                self._remove_group(name)

    def stop(self) -> None:
        """Refuse new work and publish the warm servers; sub-queries in progress continue."""
        self._is_stopping = True
        now_s = self._shared.clock()
        for name in self._groups:
            self._publish_warm(name, now_s)

    @property
    def running(self) -> int:
        """Return how many sub-queries, counted by group, and first polls of servers are running."""
        return len(self._tasks)

    def statuses(self) -> list[GroupStatus]:
        """Return the status of each served group."""
        return [group.status() for group in self._groups.values()]

    def groups(self) -> list[ReplicaGroup]:
        """Return the served groups."""
        return list(self._groups.values())

    def submit(
        self,
        sub_query: SubQuery,
        reply: Callable[[int, GroupOutcome], None],
        entry: str = "",
    ) -> None:
        """Start a sub-query; ``reply`` is called once for each of its groups.

        :param entry: name of the stream that the sub-query came from; an entry that reconnects has
            another one. See :meth:`cancel`
        """
        refusal = self._refusal()
        if refusal is not None:
            for group_shards in sub_query.groups:
                reply(sub_query.call, _refused_outcome(group_shards, refusal))
            return
        deadline_s = self._shared.clock() + sub_query.remaining_s
        tasks = [
            asyncio.create_task(self._run(sub_query, group_shards, deadline_s, reply))
            for group_shards in sub_query.groups
        ]
        self._running.setdefault(entry, {})[sub_query.call] = tasks
        for task in tasks:
            self._tasks.add(task)
            task.add_done_callback(lambda done: self._task_ended(done, entry, sub_query.call))

    def cancel(self, entry: str, call: int) -> None:
        """Cancel a sub-query and its calls to backend servers; no more replies are sent."""
        for task in self._running.get(entry, {}).get(call, ()):
            task.cancel()

    def cancel_all(self, entry: str) -> None:
        """Cancel every sub-query of an entry's stream that was lost."""
        for call in list(self._running.get(entry, ())):
            self.cancel(entry, call)

    async def poll_states(self) -> None:
        """Update the ownership and poll the states of the servers periodically.

        A server whose answers have reported its state recently is not polled.
        """
        while True:
            self.update_ownership()
            now_s = self._shared.clock()
            await asyncio.gather(
                *(
                    group.poll(server)
                    for group in self._groups.values()
                    for server in group.servers.values()
                    if server.zone_in_service
                    and not server.has_fresh_state(now_s, STATE_POLL_INTERVAL_S)
                )
            )
            await asyncio.sleep(STATE_POLL_INTERVAL_S)

    def _refusal(self) -> Failure | None:
        """Return why no new work is accepted, if so."""
        if self._is_stopping:
            return Failure(ErrorKind.STOPPING, "the aggregator is stopping")
        if self._document is None:
            return Failure(ErrorKind.NOT_READY, "no configuration is known yet")
        if self._zone and not zone_in_service(self._document, self._zone):
            return Failure(ErrorKind.ZONE_OUT, f"data centre {self._zone} is out of service")
        return None

    async def _run(
        self,
        sub_query: SubQuery,
        group_shards: GroupShards,
        deadline_s: float,
        reply: Callable[[int, GroupOutcome], None],
    ) -> None:
        bind_request_id(sub_query.request_id)
        group = self._accepted_group(sub_query, group_shards.group)
        if isinstance(group, Failure):
            outcome = _refused_outcome(group_shards, group)
        else:
            try:
                outcome = await group.run(sub_query, group_shards.shards, deadline_s)
            except Exception:
                logger.exception("sub-query on group {} raised an exception", group_shards.group)
                reason = "internal error of the aggregator"
                outcome = failed_group(
                    group_shards.group, group_shards.shards, ErrorKind.INTERNAL, reason, sent=True
                )
        reply(sub_query.call, outcome)

    def _accepted_group(self, sub_query: SubQuery, name: str) -> ReplicaGroup | Failure:
        if name not in self._group_map.groups:
            return Failure(ErrorKind.NOT_OWNER, "the group is not configured here")
        now_s = self._shared.clock()
        if not self._served.accepts(name, now_s, takeover=sub_query.takeover):
            return Failure(ErrorKind.NOT_OWNER, "the group is owned by another aggregator")
        if name not in self._groups:
            self._add_group(name, "takeover")
        return self._groups[name]

    def _task_ended(self, task: asyncio.Task, entry: str, call: int) -> None:
        self._tasks.discard(task)
        calls = self._running.get(entry, {})
        if all(other.done() for other in calls.get(call, ())):
            calls.pop(call, None)
        if not calls:
            self._running.pop(entry, None)

    def _configure_servers(self, document: Document) -> None:
        now_s = self._shared.clock()
        for name in list(self._servers):
            config = document.backend_servers.get(name)
            if config is None or not self._servers[name].matches(config):
                del self._servers[name]
                continue
            self._servers[name].reconfigure(
                config, zone_in_service=zone_in_service(document, config.zone), now_s=now_s
            )

    def _group_servers(self, group: str) -> dict[str, BackendServer]:
        """Return the servers of a group; create the unknown ones as cold."""
        return {name: self._server(name) for name in self._group_map.groups[group].backend_servers}

    def _server(self, name: str) -> BackendServer:
        known = self._servers.get(name)
        if known is not None:
            return known
        shared, config = self._shared, self._document.backend_servers[name]
        server = BackendServer.from_config(
            name, config, shared.clock(), shared.policy, shared.slow_fraction
        )
        server.zone_in_service = zone_in_service(self._document, config.zone)
        server.is_same_zone = not self._zone or config.zone == self._zone
        shared.client.set_quota(server.address, server.connection_quota)
        self._servers[name] = server
        return server

    def _add_group(self, name: str, cause: str) -> None:
        logger.notice("serving group {}: {}", name, cause)
        group = ReplicaGroup(
            self._group_map.groups[name], self._group_servers(name), self._document, self._shared
        )
        self._groups[name] = group
        for server in group.servers.values():
            if server.zone_in_service:
                self._spawn(group.poll(server))

    def _remove_group(self, name: str) -> None:
        self._served.remove(name)
        group = self._groups.pop(name, None)
        if group is None:
            return
        logger.notice("no longer serving group {}", name)
        current = self._group_map.groups
        kept = {
            server
            for other in self._groups
            if other in current
            for server in self._group_servers(other)
        }
        for server in group.servers:
            if server not in kept and name in current:
                self._servers.pop(server, None)

    def _publish_warm(self, name: str, now_s: float) -> None:
        group = self._groups.get(name)
        for server in group.servers.values() if group else ():
            if not server.cold_start.is_cold:
                fact = Fact(FactKind.WARM, server.name, server.process_id, now_s + WARM_FACT_TTL_S)
                self._shared.facts.add(fact, now_s)

    def _apply_fact(self, fact: Fact) -> None:
        if fact.kind is FactKind.WARM and fact.key in self._servers:
            self._servers[fact.key].warm_reported(fact.value)

    def _spawn(self, work) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _refused_outcome(group_shards: GroupShards, failure: Failure) -> GroupOutcome:
    outcome = failed_group(
        group_shards.group, group_shards.shards, failure.kind, failure.reason, sent=False
    )
    outcome.retry_after_s = REFUSED_RETRY_AFTER_S
    return outcome
