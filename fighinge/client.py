"""A small asynchronous client for callers."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING
from urllib.parse import urlencode

import msgspec
from tornado.httpclient import HTTPRequest

from fighinge.curl import TransferFailure, create_client, fetch_once
from fighinge.errors import ErrorKind, Failure
from fighinge.queries import EntriesAnswer, EntryAddress, QueryAnswer, QueryError, QueryRequest

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Set

    from tornado.httpclient import HTTPResponse

CONNECT_TIMEOUT_S = 1.0
ASK_TIMEOUT_S = 2.0
DEFAULT_TIMEOUT_S = 10.0
ANSWER_SLACK_S = 0.5
MAX_CONCURRENT_CALLS = 200
MAX_TICKETS_TRIED = 3
MOVED_KINDS = frozenset(
    {
        ErrorKind.NOT_READY,
        ErrorKind.STOPPING,
        ErrorKind.ZONE_OUT,
        ErrorKind.OWNER_UNREACHABLE,
        ErrorKind.OUTCOME_UNKNOWN,
    }
)


class _Ticket(msgspec.Struct, frozen=True):
    """A ticket and the entry that minted it."""

    text: str
    url: str


class Client:
    """Asks which entries to use, keeps the answer and sends queries there.

    A query moves on to the next entry only after a failure that is certain not to have run it.
    A query that is not repeatable goes to the entry that minted its ticket.
    """

    __slots__ = (
        "_caller",
        "_clock",
        "_entries",
        "_http",
        "_kept_until_s",
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
        """Return a client that knows some entries.

        :param seeds: URLs of entries to ask first
        :param caller: name under which entries are spread over callers
        :param zone: data centre of the caller, whose entries are preferred
        """
        self._seeds = seeds
        self._caller = caller
        self._zone = zone
        self._clock = clock
        self._http = create_client(MAX_CONCURRENT_CALLS)
        self._entries: list[EntryAddress] = []
        self._tickets: list[_Ticket] = []
        self._kept_until_s = 0.0
        self._refreshing = asyncio.Lock()

    def close(self) -> None:
        """Close every connection."""
        self._http.close()

    async def query(self, service: str, request: QueryRequest) -> QueryAnswer | QueryError:
        """Send a query to the first entry that takes it.

        :returns: the whole answer, or an error of the closed list
        """
        started_s = self._clock()
        failure = await self._refresh(started_s)
        if failure is not None:
            return _error(request, failure, not_run=True)
        if not request.repeatable and not request.ticket:
            return await self._query_with_tickets(service, request, started_s)
        last = _error(request, Failure(ErrorKind.NOT_READY, "no entry is known"), not_run=True)
        for url in self._urls(request.ticket):
            last = await self._send(url, service, request, started_s)
            if not _moves_on(last):
                return last
            self._kept_until_s = 0.0
        return last

    async def _query_with_tickets(
        self, service: str, request: QueryRequest, started_s: float
    ) -> QueryAnswer | QueryError:
        """Run a query under a ticket; another ticket is used only if it has certainly not run."""
        tried: set[str] = set()
        for _ in range(MAX_TICKETS_TRIED):
            ticket = await self._take_ticket(tried)
            if isinstance(ticket, Failure):
                return _error(request, ticket, not_run=True)
            ticketed = msgspec.structs.replace(request, ticket=ticket.text)
            last = await self._send(ticket.url, service, ticketed, started_s)
            if not _moves_on(last):
                break
            tried.add(ticket.url)
            self._tickets = [kept for kept in self._tickets if kept.url != ticket.url]
        return last

    async def _take_ticket(self, tried: Set[str]) -> _Ticket | Failure:
        """Return a fresh ticket that no other query has."""
        async with self._refreshing:
            now_s = self._clock()
            if not self._tickets or now_s >= self._kept_until_s:
                failure = await self._ask_all(now_s, tried)
                if failure is not None:
                    return failure
            if not self._tickets:
                return Failure(ErrorKind.NOT_READY, "no entry gives tickets")
            return self._tickets.pop()

    def _urls(self, ticket: str) -> Iterator[str]:
        """Yield where to send a query, first to the entry that a ticket names."""
        minted_by = ticket.partition("/")[0]
        urls = [entry.url for entry in self._entries]
        preferred = [entry.url for entry in self._entries if entry.name == minted_by]
        yield from dict.fromkeys(preferred + urls)

    async def _refresh(self, now_s: float) -> Failure | None:
        """Ask for addresses again where the kept answer is too old.

        While no entry answers, the last answer stays in use.
        """
        async with self._refreshing:
            if now_s < self._kept_until_s and self._entries:
                return None
            return await self._ask_all(now_s)

    async def _ask_all(self, now_s: float, tried: Set[str] = frozenset()) -> Failure | None:
        """Ask entries until one answers, those that have just failed last."""
        self._tickets.clear()
        reason = "no address to ask"
        known = dict.fromkeys([entry.url for entry in self._entries] + self._seeds)
        for url in sorted(known, key=tried.__contains__):
            answer = await self._ask(url)
            if isinstance(answer, Failure):
                reason = answer.reason
                continue
            self._entries = answer.entries
            self._tickets = [_Ticket(text, url) for text in answer.tickets]
            self._kept_until_s = now_s + answer.keep_s
            return None
        if self._entries:
            return None
        return Failure(ErrorKind.NOT_READY, f"no entry tells which addresses to use: {reason}")

    async def _ask(self, url: str) -> EntriesAnswer | Failure:
        query = urlencode({"caller": self._caller, "zone": self._zone})
        request = HTTPRequest(
            f"{url}/v1/entries?{query}",
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=ASK_TIMEOUT_S,
        )
        response = await fetch_once(self._http, request)
        if isinstance(response, TransferFailure):
            return Failure(ErrorKind.NOT_READY, f"{url}: {response.reason}")
        if response.code != 200:
            return Failure(ErrorKind.NOT_READY, f"{url}: status {response.code}")
        try:
            return msgspec.json.decode(response.body, type=EntriesAnswer)
        except msgspec.DecodeError as error:
            return Failure(ErrorKind.NOT_READY, f"{url}: {error}")

    async def _send(
        self, url: str, service: str, request: QueryRequest, started_s: float
    ) -> QueryAnswer | QueryError:
        """Send a query once, with the time that is left of its deadline."""
        timeout_s = DEFAULT_TIMEOUT_S
        if request.deadline_ms is not None:
            left_ms = request.deadline_ms - (self._clock() - started_s) * 1000
            if left_ms <= 0:
                failure = Failure(ErrorKind.DEADLINE_TOO_SHORT, "no time is left to send it")
                return _error(request, failure, not_run=True)
            request = msgspec.structs.replace(request, deadline_ms=left_ms)
            timeout_s = left_ms / 1000 + ANSWER_SLACK_S
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


def _moves_on(result: QueryAnswer | QueryError) -> bool:
    return isinstance(result, QueryError) and result.not_run and result.kind in MOVED_KINDS


def _decode(request: QueryRequest, response: HTTPResponse) -> QueryAnswer | QueryError:
    message_type = QueryAnswer if response.code == 200 else QueryError
    try:
        return msgspec.json.decode(response.body, type=message_type)
    except msgspec.DecodeError as error:
        failure = Failure(ErrorKind.OUTCOME_UNKNOWN, f"the answer is broken: {error}")
        return _error(request, failure, not_run=False)


def _error(request: QueryRequest, failure: Failure, *, not_run: bool) -> QueryError:
    return QueryError(
        request_id=request.request_id,
        kind=failure.kind,
        reason=failure.reason,
        may_resend=not_run,
        not_run=not_run,
    )
