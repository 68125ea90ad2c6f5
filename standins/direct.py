"""In-process stand-ins for the wire: direct calls to stand-in servers and aggregators."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from fighinge.aggregator.base import Address, CallFailure, CallFault
from standins.backend import ConnectionDropped, NotListening

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fighinge.aggregator.service import AggregatorService
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
        if server.name in self.unreachable or not server.listening:
            return CallFailure(CallFault.NOT_CONNECTED, "connection refused")
        return server.state() or CallFailure(CallFault.BAD_ANSWER, "no report")


class DirectLink:
    """A link to an aggregator in the same process; cut, it loses what is outstanding."""

    def __init__(self, name: str, service: AggregatorService) -> None:
        self._name = name
        self._service = service
        self._listeners: dict[int, OutcomeListener] = {}
        self.is_cut = False

    def send(self, sub_query: SubQuery, listener: OutcomeListener) -> None:
        """Hand a sub-query over."""
        if self.is_cut:
            listener.link_lost(self._name, sent=False)
            return
        self._listeners[sub_query.call] = listener
        self._service.submit(sub_query, self._reply)

    def cancel(self, call: int) -> None:
        """Drop what is still to come for a call."""
        self._listeners.pop(call, None)

    def cut(self) -> None:
        """Break the link."""
        self.is_cut = True
        listeners, self._listeners = self._listeners, {}
        for listener in listeners.values():
            listener.link_lost(self._name, sent=True)

    def _reply(self, call: int, outcome: GroupOutcome) -> None:
        listener = self._listeners.get(call)
        if listener is not None:
            listener.outcome(outcome)


class DirectLinks:
    """One entry's links to aggregators in the same process."""

    def __init__(self, services: dict[str, AggregatorService]) -> None:
        self._links = {name: DirectLink(name, service) for name, service in services.items()}

    def link(self, aggregator: str) -> DirectLink:
        """Return the link to an aggregator."""
        return self._links[aggregator]


def _address(server: StandinServer) -> Address:
    entry = server.document.backend_servers[server.name]
    return Address(entry.host, entry.port)
