"""The aggregator's part of a query: runs sub-queries on the groups it is asked for."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook

from fighinge.aggregator.base import CallFailure
from fighinge.aggregator.replica_group import ReplicaGroup
from fighinge.errors import ErrorKind
from fighinge.groups import GroupMap
from fighinge.logs import bind_request_id
from fighinge.messages import failed_group

if TYPE_CHECKING:
    from collections.abc import Callable

    from fighinge.aggregator.backend_server import BackendServer
    from fighinge.aggregator.base import BackendClient
    from fighinge.messages import GroupOutcome, GroupShards, GroupStatus, SubQuery
    from fighinge.model import Document

logger = logbook.Logger(__name__)

STATE_INTERVAL_S = 0.5
STATE_TIMEOUT_S = 0.4


class AggregatorService:
    """Holds the replica groups that this process was asked for and runs sub-queries on them.

    A group is taken up when it is first asked for or when this process owns it.
    """

    __slots__ = ("_client", "_clock", "_document", "_group_map", "_groups", "_running", "_tasks")

    def __init__(self, client: BackendClient, clock: Callable[[], float]) -> None:
        self._client = client
        self._clock = clock
        self._document: Document | None = None
        self._group_map: GroupMap | None = None
        self._groups: dict[str, ReplicaGroup] = {}
        self._tasks: set[asyncio.Task] = set()
        self._running: dict[str, dict[int, list[asyncio.Task]]] = {}

    def configure(self, document: Document) -> None:
        """Put a configuration document in force; unchanged groups keep their state."""
        self._document = document
        self._group_map = GroupMap.from_document(document)
        self._groups.clear()
        for group in self._group_map.groups.values():
            self._groups[group.name] = ReplicaGroup.from_config(
                group, document, self._client, self._clock
            )

    def statuses(self) -> list[GroupStatus]:
        """Return what is believed of each group taken up."""
        return [group.status() for group in self._groups.values()]

    def submit(
        self,
        sub_query: SubQuery,
        reply: Callable[[int, GroupOutcome], None],
        entry: str = "",
    ) -> None:
        """Start a sub-query; ``reply`` gets one outcome for each group of it.

        :param entry: names the stream that the sub-query came by; see :meth:`cancel`
        """
        deadline_s = self._clock() + sub_query.remaining_s
        tasks = [
            asyncio.create_task(self._run(sub_query, wanted, deadline_s, reply))
            for wanted in sub_query.groups
        ]
        self._running.setdefault(entry, {})[sub_query.call] = tasks
        for task in tasks:
            self._tasks.add(task)
            task.add_done_callback(
                lambda done: self._ended(done, entry, sub_query.call),
            )

    def cancel(self, entry: str, call: int) -> None:
        """Give a sub-query up: stop its calls at the backend servers and reply nothing more."""
        for task in self._running.get(entry, {}).get(call, ()):
            task.cancel()

    def cancel_all(self, entry: str) -> None:
        """Give up every sub-query of an entry whose stream was lost."""
        for call in list(self._running.get(entry, ())):
            self.cancel(entry, call)

    def _ended(self, task: asyncio.Task, entry: str, call: int) -> None:
        self._tasks.discard(task)
        calls = self._running.get(entry, {})
        if all(other.done() for other in calls.get(call, ())):
            calls.pop(call, None)
        if not calls:
            self._running.pop(entry, None)

    async def _run(
        self,
        sub_query: SubQuery,
        wanted: GroupShards,
        deadline_s: float,
        reply: Callable[[int, GroupOutcome], None],
    ) -> None:
        bind_request_id(sub_query.request_id)
        group = self._groups.get(wanted.group)
        if group is None:
            reason = "the group is not configured here"
            outcome = failed_group(
                wanted.group, wanted.shards, ErrorKind.NOT_OWNER, reason, sent=False
            )
        else:
            outcome = await group.run(sub_query, wanted.shards, deadline_s)
        reply(sub_query.call, outcome)

    async def poll_states(self) -> None:
        """Ask every backend server for its state, again and again."""
        while True:
            servers = [
                server for group in self._groups.values() for server in group.servers.values()
            ]
            await asyncio.gather(*(self._poll(server) for server in servers))
            await asyncio.sleep(STATE_INTERVAL_S)

    async def _poll(self, server: BackendServer) -> None:
        state = await self._client.state(server.address, STATE_TIMEOUT_S)
        if not isinstance(state, CallFailure):
            server.reported(state)
