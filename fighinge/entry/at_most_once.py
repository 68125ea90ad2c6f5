"""At-most-once execution of non-idempotent requests."""

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
    """Execute queries."""

    @property
    def ready(self) -> bool:
        """Return whether queries can be answered."""

    async def query(self, service_name: str, request: QueryRequest) -> QueryAnswer | QueryError:
        """Answer one request.

        :returns: the answer, or an error of a kind in :class:`~fighinge.errors.ErrorKind`
        """


class RequestForwarder(Protocol):
    """Forward requests to other entries."""

    async def forward(
        self, entry: str, service_name: str, request: QueryRequest
    ) -> QueryAnswer | QueryError:
        """Send a request once to another entry and return its response."""


class _ActiveRequest:
    """A running request and its task."""

    __slots__ = ("request", "service_name", "task")

    def __init__(self, service_name: str, request: QueryRequest, task: asyncio.Task) -> None:
        self.service_name = service_name
        self.request = request
        self.task = task

    def is_for(self, service_name: str, request: QueryRequest) -> bool:
        """Return whether a request is a resend of this one."""
        if service_name != self.service_name:
            return False
        return msgspec.json.encode(request) == msgspec.json.encode(self.request)


class AtMostOnceExecutor:
    """Pass idempotent requests on and execute any other once per ticket.

    A resend of a running request shares the result of that execution.
    """

    __slots__ = ("_active_requests", "_clock", "_executor", "_forwarder", "_tickets")

    def __init__(
        self,
        executor: QueryExecutor,
        tickets: TicketRegistry,
        forwarder: RequestForwarder,
        clock: Callable[[], float],
    ) -> None:
        self._executor = executor
        self._tickets = tickets
        self._forwarder = forwarder
        self._clock = clock
        self._active_requests: dict[str, _ActiveRequest] = {}

    @property
    def ready(self) -> bool:
        """Return whether queries can be answered."""
        return self._executor.ready

    async def query(
        self, service_name: str, request: QueryRequest, *, forwarded: bool = False
    ) -> QueryAnswer | QueryError:
        """Answer one request.

        :param forwarded: whether another entry forwarded the request; it is not forwarded again
        """
        if request.repeatable:
            return await self._executor.query(service_name, request)
        if not request.ticket:
            reason = "a request that is not repeatable requires a ticket from GET /v1/entries"
            return _refusal(request, Failure(ErrorKind.BAD_REQUEST, reason, "ticket"))
        active = self._active_requests.get(request.ticket)
        if active is not None and active.is_for(service_name, request):
            return await asyncio.shield(active.task)
        ticket = self._tickets.use(request.ticket, self._clock())
        if isinstance(ticket, Failure):
            return _refusal(request, ticket)
        if isinstance(ticket, ForeignTicket):
            return await self._forward(ticket, service_name, request, forwarded=forwarded)
        return await self._execute(service_name, request)

    async def _execute(self, service_name: str, request: QueryRequest) -> QueryAnswer | QueryError:
        """Execute a request to completion, even if the caller disconnects and resends it."""
        task = asyncio.create_task(self._executor.query(service_name, request))
        self._active_requests[request.ticket] = _ActiveRequest(service_name, request, task)
        task.add_done_callback(lambda _task: self._active_requests.pop(request.ticket, None))
        return await asyncio.shield(task)

    async def _forward(
        self, ticket: ForeignTicket, service_name: str, request: QueryRequest, *, forwarded: bool
    ) -> QueryAnswer | QueryError:
        if forwarded:
            reason = f"the ticket belongs to entry {ticket.entry}"
            return _refusal(request, Failure(ErrorKind.OUTCOME_UNKNOWN, reason, "ticket"))
        logger.info("forwarding request {} to entry {}", request.request_id, ticket.entry)
        return await self._forwarder.forward(ticket.entry, service_name, request)


def _refusal(request: QueryRequest, failure: Failure) -> QueryError:
    return query_error(request.request_id, failure)
