"""In-process stand-ins for the wire: direct calls to stand-in servers and aggregators."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from fighinge.aggregator.base import Address, CallFailure, CallFault
from standins.backend import ConnectionDropped, NotListening

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from fighinge.entry.base import OutcomeListener
    from fighinge.messages import (
        BackendAnswer,
        BackendRefusal,
        BackendRequest,
        GroupOutcome,
        ServerState,
        SubQuery,
    )
    from standins.backend import StandinServer


class SubQueryService(Protocol):
    """An aggregator's end of a link."""

    def submit(
        self, sub_query: SubQuery, reply: Callable[[int, GroupOutcome], None], entry: str = ""
    ) -> None:
        """Start a sub-query."""

    def cancel(self, entry: str, call: int) -> None:
        """Give a sub-query up."""


class DirectBackendClient:
    """A backend client that calls stand-in servers in the same process.

    ``unreachable`` holds names of servers that refuse connections.
    """

    def __init__(self, servers: Iterable[StandinServer]) -> None:
        self._servers = {_address(server): server for server in servers}
        self.unreachable: set[str] = set()

    async def search(
        self, address: Address, request: BackendRequest, timeout_s: float
    ) -> BackendAnswer | BackendRefusal | CallFailure:
        """Run a request on a stand-in."""
        server = self._servers[address]
        if server.name in self.unreachable:
            return CallFailure(CallFault.NOT_CONNECTED, "connection refused")
        try:
            async with asyncio.timeout(timeout_s):
                return await server.search(request)
        except TimeoutError:
            return CallFailure(CallFault.TIMEOUT, "no answer in time")
        except NotListening:
            return CallFailure(CallFault.NOT_CONNECTED, "connection refused")
        except ConnectionDropped:
            return CallFailure(CallFault.CONNECTION_LOST, "connection dropped")

    async def cancel(self, address: Address, call_id: str) -> None:
        """Stop a call on a stand-in."""
        self._servers[address].cancel(call_id)

    async def state(self, address: Address, timeout_s: float) -> ServerState | CallFailure:
        """Return a stand-in's report."""
        server = self._servers[address]
        if server.name in self.unreachable or not server.is_listening:
            return CallFailure(CallFault.NOT_CONNECTED, "connection refused")
        return server.state() or CallFailure(CallFault.BAD_ANSWER, "no report")


class DirectLink:
    """A link to an aggregator in the same process.

    Cut, it loses what is outstanding; held, it keeps what arrives at either end until released,
    as a process does that is paused.
    """

    def __init__(
        self, name: str, service: SubQueryService, entry: str = "", latency_s: float = 0.0
    ) -> None:
        self.is_disconnected = False
        self.is_paused = False
        self._name = name
        self._service = service
        self._entry = entry
        self._latency_s = latency_s
        self._listeners: dict[int, OutcomeListener] = {}
        self._pending_deliveries: list[Callable[[], None]] = []
        self._connection_number = 0

    def send(self, sub_query: SubQuery, listener: OutcomeListener) -> None:
        """Hand a sub-query over."""
        if self.is_disconnected:
            listener.on_link_lost(self._name, sent=False)
            return
        self._listeners[sub_query.call] = listener
        self._schedule(lambda: self._service.submit(sub_query, self._reply, self._entry))

    def cancel(self, call: int) -> None:
        """Drop what is still to come for a call and stop it at the aggregator."""
        if self._listeners.pop(call, None) is not None and not self.is_disconnected:
            self._schedule(lambda: self._service.cancel(self._entry, call))

    def disconnect(self) -> None:
        """Break the link."""
        self.is_disconnected = True
        self._connection_number += 1
        self._pending_deliveries.clear()
        listeners, self._listeners = self._listeners, {}
        for listener in listeners.values():
            listener.on_link_lost(self._name, sent=True)

    def reconnect(self) -> None:
        """Let the link carry again."""
        self.is_disconnected = False

    def pause_delivery(self) -> None:
        """Keep what arrives."""
        self.is_paused = True

    def resume_delivery(self) -> None:
        """Hand over what was kept."""
        self.is_paused = False
        pending, self._pending_deliveries = self._pending_deliveries, []
        for action in pending:
            action()

    def _reply(self, call: int, outcome: GroupOutcome) -> None:
        self._schedule(lambda: self._deliver_outcome(call, outcome))

    def _deliver_outcome(self, call: int, outcome: GroupOutcome) -> None:
        listener = self._listeners.get(call)
        if listener is not None:
            listener.on_outcome(outcome)

    def _schedule(self, action: Callable[[], None]) -> None:
        if not self._latency_s:
            self._deliver(self._connection_number, action)
            return
        loop = asyncio.get_running_loop()
        loop.call_later(self._latency_s, self._deliver, self._connection_number, action)

    def _deliver(self, connection: int, action: Callable[[], None]) -> None:
        if connection != self._connection_number:
            return
        if self.is_paused:
            self._pending_deliveries.append(action)
        else:
            action()


class DirectLinks:
    """One entry's links to aggregators in the same process; unknown ones are disconnected."""

    def __init__(
        self, services: Mapping[str, SubQueryService], entry: str = "", latency_s: float = 0.0
    ) -> None:
        self._entry = entry
        self._latency_s = latency_s
        self._links = {name: self._create(name, service) for name, service in services.items()}

    def link(self, aggregator: str) -> DirectLink:
        """Return the link to an aggregator."""
        link = self._links.get(aggregator)
        if link is None:
            link = self._links[aggregator] = self._create(aggregator, None)
            link.is_disconnected = True
        return link

    def connect(self, aggregator: str, service: SubQueryService) -> DirectLink:
        """Open a link to an aggregator that has started, in place of one to its forerunner."""
        self.link(aggregator).disconnect()
        self._links[aggregator] = self._create(aggregator, service)
        return self._links[aggregator]

    def _create(self, name: str, service: SubQueryService | None) -> DirectLink:
        return DirectLink(name, service, self._entry, self._latency_s)


def _address(server: StandinServer) -> Address:
    entry = server.document.backend_servers[server.name]
    return Address(entry.host, entry.port)
