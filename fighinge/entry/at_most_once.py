"""Runs requests that are not repeatable at most once, whichever entry they reach."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

import logbook
import msgspec

from fighinge.entry.query_service import query_error
from fighinge.entry.tickets import ForeignTicket, TicketRegistry
from fighinge.errors import ErrorKind, Failure

if TYPE_CHECKING:
    from collections.abc import Callable

    from fighinge.queries import QueryAnswer, QueryError, QueryRequest

logger = logbook.Logger(__name__)


class QueryExecutor(Protocol):
    """Answers queries."""

    @property
    def ready(self) -> bool:
        """Return whether queries can be answered."""

    async def query(self, service_name: str, request: QueryRequest) -> QueryAnswer | QueryError:
        """Answer one request, whole or with an error of the closed list."""


class RequestForwarder(Protocol):
    """Hands requests to other entries."""

    async def forward(
        self, entry: str, service_name: str, request: QueryRequest
    ) -> QueryAnswer | QueryError:
        """Send a request once to another entry and return what it answers."""


class _ActiveRequest:
    """A request that runs under a ticket."""

    __slots__ = ("request", "service_name", "task")

    def __init__(self, service_name: str, request: QueryRequest, task: asyncio.Task) -> None:
        self.service_name = service_name
        self.request = request
        self.task = task

    def is_for(self, service_name: str, request: QueryRequest) -> bool:
        """Return whether a request is the same one, sent again."""
        if service_name != self.service_name:
            return False
        return msgspec.json.encode(request) == msgspec.json.encode(self.request)


class AtMostOnceExecutor:
    """Lets repeatable requests pass and runs any other under its ticket.

    A request that is sent again while it runs gets the answer of the one run.
    """

    __slots__ = ("_clock", "_peers", "_queries", "_running", "_tickets")

    def __init__(
        self,
        queries: QueryExecutor,
        tickets: TicketRegistry,
        peers: RequestForwarder,
        clock: Callable[[], float],
    ) -> None:
        self._queries = queries
        self._tickets = tickets
        self._peers = peers
        self._clock = clock
        self._running: dict[str, _ActiveRequest] = {}

    @property
    def ready(self) -> bool:
        """Return whether queries can be answered."""
        return self._queries.ready

    async def query(
        self, service_name: str, request: QueryRequest, *, forwarded: bool = False
    ) -> QueryAnswer | QueryError:
        """Answer one request.

        :param forwarded: whether another entry sent it here; it goes no further then
        """
        if request.repeatable:
            return await self._queries.query(service_name, request)
        if not request.ticket:
            reason = "a request that is not repeatable needs a ticket; GET /v1/entries gives some"
            return _refusal(request, Failure(ErrorKind.BAD_REQUEST, reason, "ticket"))
        running = self._running.get(request.ticket)
        if running is not None and running.is_for(service_name, request):
            return await asyncio.shield(running.task)
        ticket = self._tickets.use(request.ticket, self._clock())
        if isinstance(ticket, Failure):
            return _refusal(request, ticket)
        if isinstance(ticket, ForeignTicket):
            return await self._forward(ticket, service_name, request, forwarded=forwarded)
        return await self._run(service_name, request)

    async def _run(self, service_name: str, request: QueryRequest) -> QueryAnswer | QueryError:
        """Run a request to its end, even if its caller hangs up and sends it again."""
        task = asyncio.create_task(self._queries.query(service_name, request))
        self._running[request.ticket] = _ActiveRequest(service_name, request, task)
        task.add_done_callback(lambda _task: self._running.pop(request.ticket, None))
        return await asyncio.shield(task)

    async def _forward(
        self, ticket: ForeignTicket, service_name: str, request: QueryRequest, *, forwarded: bool
    ) -> QueryAnswer | QueryError:
        if forwarded:
            reason = f"the ticket belongs to entry {ticket.entry}"
            return _refusal(request, Failure(ErrorKind.OUTCOME_UNKNOWN, reason, "ticket"))
        logger.info("forwarding request {} to entry {}", request.request_id, ticket.entry)
        return await self._peers.forward(ticket.entry, service_name, request)


def _refusal(request: QueryRequest, failure: Failure) -> QueryError:
    return query_error(request.request_id, failure)
