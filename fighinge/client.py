"""An asynchronous client for callers of the query tier."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING
from urllib.parse import urlencode

import msgspec
from tornado.httpclient import HTTPRequest

from fighinge.curl import TransferFailure, create_client, fetch_once
from fighinge.decoding import UNREADABLE_ERRORS
from fighinge.errors import ErrorKind, Failure
from fighinge.queries import EntriesAnswer, EntryAddress, QueryAnswer, QueryError, QueryRequest

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Set

    from tornado.httpclient import HTTPResponse

CONNECT_TIMEOUT_S = 1.0
ENTRIES_TIMEOUT_S = 2.0
DEFAULT_TIMEOUT_S = 10.0
ANSWER_MARGIN_S = 0.5
MAX_CONCURRENT_CALLS = 200
MAX_TICKET_ATTEMPTS = 3
FAILOVER_KINDS = frozenset(
    {
        ErrorKind.NOT_READY,
        ErrorKind.STOPPING,
        ErrorKind.ZONE_OUT,
        ErrorKind.OWNER_UNREACHABLE,
        ErrorKind.OUTCOME_UNKNOWN,
    }
)


class _Ticket(msgspec.Struct, frozen=True):
    """A ticket, and the URL of the entry that minted it."""

    text: str
    url: str


class Client:
    """Sends queries to the entries that the query tier assigns to the caller.

    The assignment is cached for as long as the answer says. A query fails over to another entry
    only if it is certain that it has not run. A non-idempotent query is first sent to the entry
    that minted its ticket.
    """

    __slots__ = (
        "_addresses_expire_s",
        "_caller",
        "_clock",
        "_entries",
        "_http",
        "_refreshing",
        "_seeds",
        "_tickets",
        "_zone",
    )

    def __init__(
        self,
        seeds: list[str],
        caller: str = "",
        zone: str = "",
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create a client; it connects at its first query.

        :param seeds: URLs of the entries that are asked first for addresses
        :param caller: name of the caller, by which callers are distributed over entries
        :param zone: data centre of the caller; its entries are preferred
        :param clock: returns the monotonic time in seconds
        """
        self._seeds = seeds
        self._caller = caller
        self._zone = zone
        self._clock = clock
        self._http = create_client(MAX_CONCURRENT_CALLS)
        self._entries: list[EntryAddress] = []
        self._tickets: list[_Ticket] = []
        self._addresses_expire_s = 0.0
        self._refreshing = asyncio.Lock()

    def close(self) -> None:
        """Close every connection."""
        self._http.close()

    async def query(self, service: str, request: QueryRequest) -> QueryAnswer | QueryError:
        """Send a query to the first entry that accepts it.

        :param service: name of the query service
        :returns: the answer, or an error of one of the kinds in :class:`ErrorKind`
        """
        started_s = self._clock()
        failure = await self._refresh_addresses(started_s)
        if failure is not None:
            return _error(request, failure, not_run=True)
        if not request.repeatable and not request.ticket:
            return await self._query_with_tickets(service, request, started_s)
        last = _error(request, Failure(ErrorKind.NOT_READY, "no entry is known"), not_run=True)
        for url in self._entry_urls(request.ticket):
            last = await self._send(url, service, request, started_s)
            if not _can_try_next_entry(last):
                return last
            self._addresses_expire_s = 0.0
        return last

    async def _query_with_tickets(
        self, service: str, request: QueryRequest, started_s: float
    ) -> QueryAnswer | QueryError:
        """Send a query with a ticket; retry with another one only if it has certainly not run."""
        tried_urls: set[str] = set()
        for _ in range(MAX_TICKET_ATTEMPTS):
            ticket = await self._acquire_ticket(tried_urls)
            if isinstance(ticket, Failure):
                return _error(request, ticket, not_run=True)
            ticketed = msgspec.structs.replace(request, ticket=ticket.text)
            last = await self._send(ticket.url, service, ticketed, started_s)
            if not _can_try_next_entry(last):
                break
            tried_urls.add(ticket.url)
            self._tickets = [cached for cached in self._tickets if cached.url != ticket.url]
        return last

    async def _acquire_ticket(self, tried_urls: Set[str]) -> _Ticket | Failure:
        """Return a ticket that no other query of this client uses."""
        async with self._refreshing:
            now_s = self._clock()
            if not self._tickets or now_s >= self._addresses_expire_s:
                failure = await self._fetch_addresses(now_s, tried_urls)
                if failure is not None:
                    return failure
            if not self._tickets:
                return Failure(ErrorKind.NOT_READY, "no entry minted a ticket")
            return self._tickets.pop()

    def _entry_urls(self, ticket: str) -> Iterator[str]:
        """Yield the URLs to send a query to, that of the entry that minted the ticket first."""
        minted_by = ticket.partition("/")[0]
        urls = [entry.url for entry in self._entries]
        preferred = [entry.url for entry in self._entries if entry.name == minted_by]
        yield from dict.fromkeys(preferred + urls)

    async def _refresh_addresses(self, now_s: float) -> Failure | None:
        """Fetch the addresses again if the cached ones have expired.

        While no entry answers, the last addresses stay in use.
        """
        async with self._refreshing:
            if now_s < self._addresses_expire_s and self._entries:
                return None
            return await self._fetch_addresses(now_s)

    async def _fetch_addresses(
        self, now_s: float, tried_urls: Set[str] = frozenset()
    ) -> Failure | None:
        """Ask entries for addresses until one answers; those already tried for the query last."""
        self._tickets.clear()
        reason = "no entry address is known"
        known = dict.fromkeys([entry.url for entry in self._entries] + self._seeds)
        for url in sorted(known, key=tried_urls.__contains__):
            answer = await self._fetch_entries(url)
            if isinstance(answer, Failure):
                reason = answer.reason
                continue
            self._entries = answer.entries
            self._tickets = [_Ticket(text, url) for text in answer.tickets]
            self._addresses_expire_s = now_s + answer.keep_s
            return None
        if self._entries:
            return None
        return Failure(ErrorKind.NOT_READY, f"no entry answered a request for addresses: {reason}")

    async def _fetch_entries(self, url: str) -> EntriesAnswer | Failure:
        query = urlencode({"caller": self._caller, "zone": self._zone})
        request = HTTPRequest(
            f"{url}/v1/entries?{query}",
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=ENTRIES_TIMEOUT_S,
        )
        response = await fetch_once(self._http, request)
        if isinstance(response, TransferFailure):
            return Failure(ErrorKind.NOT_READY, f"{url}: {response.reason}")
        if response.code != 200:
            return Failure(ErrorKind.NOT_READY, f"{url}: status {response.code}")
        try:
            return msgspec.json.decode(response.body, type=EntriesAnswer)
        except UNREADABLE_ERRORS as error:
            return Failure(ErrorKind.NOT_READY, f"{url}: {error}")

    async def _send(
        self, url: str, service: str, request: QueryRequest, started_s: float
    ) -> QueryAnswer | QueryError:
        """Send a query once, with the remaining time as its deadline."""
        timeout_s = DEFAULT_TIMEOUT_S
        if request.deadline_ms is not None:
            remaining_ms = request.deadline_ms - (self._clock() - started_s) * 1000
            if remaining_ms <= 0:
                failure = Failure(
                    ErrorKind.DEADLINE_TOO_SHORT, "the deadline passed before sending"
                )
                return _error(request, failure, not_run=True)
            request = msgspec.structs.replace(request, deadline_ms=remaining_ms)
            timeout_s = remaining_ms / 1000 + ANSWER_MARGIN_S
        http_request = HTTPRequest(
            f"{url}/v1/services/{service}/query",
            method="POST",
            body=msgspec.json.encode(request),
            headers={"Content-Type": "application/json"},
            connect_timeout=min(CONNECT_TIMEOUT_S, timeout_s),
            request_timeout=timeout_s,
        )
        response = await fetch_once(self._http, http_request)
        if isinstance(response, TransferFailure):
            failure = Failure(ErrorKind.OUTCOME_UNKNOWN, f"{url}: {response.reason}")
            return _error(request, failure, not_run=not response.sent)
        return _decode(request, response)


def _can_try_next_entry(result: QueryAnswer | QueryError) -> bool:
    return isinstance(result, QueryError) and result.not_run and result.kind in FAILOVER_KINDS


def _decode(request: QueryRequest, response: HTTPResponse) -> QueryAnswer | QueryError:
    message_type = QueryAnswer if response.code == 200 else QueryError
    try:
        return msgspec.json.decode(response.body, type=message_type)
    except UNREADABLE_ERRORS as error:
        failure = Failure(ErrorKind.OUTCOME_UNKNOWN, f"the answer cannot be decoded: {error}")
        return _error(request, failure, not_run=False)


def _error(request: QueryRequest, failure: Failure, *, not_run: bool) -> QueryError:
    return QueryError(
        request_id=request.request_id,
        kind=failure.kind,
        reason=failure.reason,
        may_resend=not_run,
        not_run=not_run,
    )
