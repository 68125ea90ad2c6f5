"""Forwarding of requests to other entries over their HTTP interface."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import msgspec
from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPRequest

from fighinge.curl import create_client, forbid_body_rewind
from fighinge.entry.query_service import query_error
from fighinge.errors import ErrorKind, Failure
from fighinge.queries import MAX_DEADLINE_MS, QueryAnswer, QueryError

if TYPE_CHECKING:
    from fighinge.curl import CurlClient
    from fighinge.queries import QueryRequest

FORWARDED_HEADER = "X-Fighinge-Forwarded"
CONNECT_TIMEOUT_S = 0.5
TIMEOUT_MARGIN_S = 0.5  # beyond the request's deadline, so that the other entry's error arrives
MAX_CONCURRENT_CALLS = 100


class EntryUrlResolver(Protocol):
    """Resolve the names of entries to URLs."""

    def entry_url(self, name: str) -> str | None:
        """Return the URL of an entry, or ``None`` if it is not a member."""


class HttpRequestForwarder:
    """Forward each request once; any failure is reported as an unknown outcome."""

    __slots__ = ("_client", "_resolver")

    def __init__(self, resolver: EntryUrlResolver, client: CurlClient) -> None:
        self._resolver = resolver
        self._client = client

    @classmethod
    def create(cls, resolver: EntryUrlResolver) -> HttpRequestForwarder:
        """Create a forwarder with its own connections."""
        return cls(resolver, create_client(MAX_CONCURRENT_CALLS))

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def forward(
        self, entry: str, service_name: str, request: QueryRequest
    ) -> QueryAnswer | QueryError:
        """Send a request once to another entry and return its response."""
        url = self._resolver.entry_url(entry)
        if url is None:
            return _outcome_unknown(
                request, f"entry {entry}, which minted the ticket, is not a member any more"
            )
        http_request = HTTPRequest(
            f"{url}/v1/services/{service_name}/query",
            method="POST",
            body=msgspec.json.encode(request),
            headers={"Content-Type": "application/json", FORWARDED_HEADER: "1"},
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=(request.deadline_ms or MAX_DEADLINE_MS) / 1000 + TIMEOUT_MARGIN_S,
            prepare_curl_callback=forbid_body_rewind,
        )
        try:
            response = await self._client.fetch(http_request, raise_error=False)
        except CurlError as error:
            return _outcome_unknown(
                request, f"request to entry {entry}, which minted the ticket, failed: {error}"
            )
        message_type = QueryAnswer if response.code == 200 else QueryError
        try:
            return msgspec.json.decode(response.body, type=message_type)
        except msgspec.DecodeError as error:
            return _outcome_unknown(request, f"entry {entry} sent an invalid response: {error}")


def _outcome_unknown(request: QueryRequest, reason: str) -> QueryError:
    failure = Failure(ErrorKind.OUTCOME_UNKNOWN, reason, "ticket")
    return query_error(request.request_id, failure)
