"""In-process transports that call stand-in backend servers and aggregators directly."""

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
    """Interface of an aggregator that a link calls."""

    def submit(
        self, sub_query: SubQuery, reply: Callable[[int, GroupOutcome], None], entry: str = ""
    ) -> None:
        """Run a sub-query and pass each outcome to ``reply``."""

    def cancel(self, entry: str, call: int) -> None:
        """Cancel a sub-query of an entry."""


class DirectBackendClient:
    """Backend client that calls stand-in backend servers in the same process.

    ``unreachable`` holds the names of servers to which connections fail.
    """

    def __init__(self, servers: Iterable[StandinServer]) -> None:
        self._servers = {_address(server): server for server in servers}
        self.unreachable: set[str] = set()

    async def search(
        self, address: Address, request: BackendRequest, timeout_s: float
    ) -> BackendAnswer | BackendRefusal | CallFailure:
        """Run a request on a stand-in; failures are those of a network client."""
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
        """Cancel a call on a stand-in."""
        self._servers[address].cancel(call_id)

    async def state(self, address: Address, timeout_s: float) -> ServerState | CallFailure:
        """Return the load report of a stand-in."""
        server = self._servers[address]
        if server.name in self.unreachable or not server.is_listening:
            return CallFailure(CallFault.NOT_CONNECTED, "connection refused")
        return server.state() or CallFailure(CallFault.BAD_ANSWER, "no report")


class DirectLink:
    """Link to an aggregator in the same process.

    Disconnection loses all outstanding sub-queries. A paused link queues the messages of both
    directions until it is resumed, as the sockets of a stopped process do.
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
        """Submit a sub-query to the aggregator; the listener gets its outcomes."""
        if self.is_disconnected:
            listener.on_link_lost(self._name, sent=False)
            return
        self._listeners[sub_query.call] = listener
        self._schedule(lambda: self._service.submit(sub_query, self._reply, self._entry))

    def cancel(self, call: int) -> None:
        """Drop further outcomes of a call and cancel it at the aggregator."""
        if self._listeners.pop(call, None) is not None and not self.is_disconnected:
            self._schedule(lambda: self._service.cancel(self._entry, call))

    def disconnect(self) -> None:
        """Disconnect; the listeners of outstanding calls are told that the link is lost."""
        self.is_disconnected = True
        self._connection_number += 1
        self._pending_deliveries.clear()
        listeners, self._listeners = self._listeners, {}
        for listener in listeners.values():
            listener.on_link_lost(self._name, sent=True)

    def reconnect(self) -> None:
        """Accept sub-queries again."""
        self.is_disconnected = False

    def pause_delivery(self) -> None:
        """Queue messages in place of delivering them."""
        self.is_paused = True

    def resume_delivery(self) -> None:
        """Deliver the queued messages and all later ones."""
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

    def _deliver(self, connection_number: int, action: Callable[[], None]) -> None:
        if connection_number != self._connection_number:
            return
        if self.is_paused:
            self._pending_deliveries.append(action)
        else:
            action()


class DirectLinks:
    """Links of one entry to aggregators in the same process."""

    def __init__(
        self, services: Mapping[str, SubQueryService], entry: str = "", latency_s: float = 0.0
    ) -> None:
        self._entry = entry
        self._latency_s = latency_s
        self._links = {name: self._create(name, service) for name, service in services.items()}

    def link(self, aggregator: str) -> DirectLink:
        """Return the link to an aggregator, a disconnected one if the aggregator is unknown."""
        link = self._links.get(aggregator)
        if link is None:
            link = self._links[aggregator] = self._create(aggregator, None)
            link.is_disconnected = True
        return link

    def connect(self, aggregator: str, service: SubQueryService) -> DirectLink:
        """Connect to an aggregator that has started; an earlier link to it is disconnected."""
        self.link(aggregator).disconnect()
        self._links[aggregator] = self._create(aggregator, service)
        return self._links[aggregator]

    def _create(self, name: str, service: SubQueryService | None) -> DirectLink:
        return DirectLink(name, service, self._entry, self._latency_s)


def _address(server: StandinServer) -> Address:
    configured = server.document.backend_servers[server.name]
    return Address(configured.host, configured.port)
