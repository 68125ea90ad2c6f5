"""A small asynchronous client for callers."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING
from urllib.parse import urlencode

import msgspec
from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPRequest

from fighinge.curl import UNSENT_CODES, create_client, refuse_rewind
from fighinge.errors import ErrorKind, Failure
from fighinge.queries import EntriesAnswer, EntryAddress, QueryAnswer, QueryError, QueryRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from tornado.httpclient import HTTPResponse

CONNECT_TIMEOUT_S = 1.0
DEFAULT_TIMEOUT_S = 10.0
MAX_CONCURRENT_CALLS = 200
MOVED_KINDS = frozenset({ErrorKind.NOT_READY, ErrorKind.STOPPING, ErrorKind.ZONE_OUT})


class Client:
    """Asks which entries to use, keeps the answer and sends queries there.

    A query moves on to the next entry only after a failure that is certain not to have run it.
    """

    __slots__ = ("_caller", "_clock", "_entries", "_http", "_kept_until_s", "_seeds", "_zone")

    def __init__(
        self,
        seeds: list[str],
        caller: str = "",
        zone: str = "",
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._seeds = seeds
        self._caller = caller
        self._zone = zone
        self._clock = clock
        self._http = create_client(MAX_CONCURRENT_CALLS)
        self._entries: list[EntryAddress] = []
        self._kept_until_s = 0.0

    def close(self) -> None:
        """Close every connection."""
        self._http.close()

    async def query(self, service: str, request: QueryRequest) -> QueryAnswer | QueryError:
        """Send a query to the first entry that takes it.

        :returns: the whole answer, or an error of the closed list
        """
        failure = await self._refresh(self._clock())
        if failure is not None:
            return _error(request, failure, not_run=True)
        last = _error(request, Failure(ErrorKind.NOT_READY, "no entry is known"), not_run=True)
        for entry in self._entries:
            last = await self._send(entry, service, request)
            if not isinstance(last, QueryError) or not _moves_on(last):
                return last
            self._kept_until_s = 0.0
        return last

    async def _refresh(self, now_s: float) -> Failure | None:
        """Ask for addresses again where the kept answer is too old."""
        if now_s < self._kept_until_s and self._entries:
            return None
        asked = [entry.url for entry in self._entries] + self._seeds
        reason = "no address to ask"
        for url in asked:
            answer = await self._ask(url)
            if isinstance(answer, Failure):
                reason = answer.reason
                continue
            self._entries = answer.entries
            self._kept_until_s = now_s + answer.keep_s
            return None
        return Failure(ErrorKind.NOT_READY, f"no entry tells which addresses to use: {reason}")

    async def _ask(self, url: str) -> EntriesAnswer | Failure:
        query = urlencode({"caller": self._caller, "zone": self._zone})
        request = HTTPRequest(
            f"{url}/v1/entries?{query}",
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=DEFAULT_TIMEOUT_S,
        )
        try:
            response = await self._http.fetch(request, raise_error=False)
            if response.code == 200:
                return msgspec.json.decode(response.body, type=EntriesAnswer)
        except CurlError as error:
            return Failure(ErrorKind.NOT_READY, f"{url}: {error}")
        except msgspec.DecodeError as error:
            return Failure(ErrorKind.INTERNAL, f"{url}: {error}")
        return Failure(ErrorKind.NOT_READY, f"{url}: status {response.code}")

    async def _send(
        self, entry: EntryAddress, service: str, request: QueryRequest
    ) -> QueryAnswer | QueryError:
        http_request = HTTPRequest(
            f"{entry.url}/v1/services/{service}/query",
            method="POST",
            body=msgspec.json.encode(request),
            headers={"Content-Type": "application/json"},
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=DEFAULT_TIMEOUT_S,
            prepare_curl_callback=refuse_rewind,
        )
        try:
            response = await self._http.fetch(http_request, raise_error=False)
        except CurlError as error:
            unsent = error.errno in UNSENT_CODES
            failure = Failure(ErrorKind.OUTCOME_UNKNOWN, f"{entry.url}: {error}")
            return _error(request, failure, not_run=unsent)
        return _decode(request, response)


def _moves_on(error: QueryError) -> bool:
    return error.not_run and (error.kind in MOVED_KINDS or error.kind is ErrorKind.OUTCOME_UNKNOWN)


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
