"""Hands requests to other entries over their callers' interface."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import msgspec
from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPRequest

from fighinge.curl import create_client, refuse_rewind
from fighinge.entry.query_service import query_error
from fighinge.errors import ErrorKind, Failure
from fighinge.queries import MAX_DEADLINE_MS, QueryAnswer, QueryError

if TYPE_CHECKING:
    from fighinge.curl import CurlClient
    from fighinge.queries import QueryRequest

FORWARDED_HEADER = "X-Fighinge-Forwarded"
CONNECT_TIMEOUT_S = 0.5
TIMEOUT_MARGIN_S = 0.5
MAX_CONCURRENT_REQUESTS = 100


class EntryUrlResolver(Protocol):
    """Knows where entries listen."""

    def entry_url(self, name: str) -> str | None:
        """Return the URL of an entry, or none where no such entry is a member."""


class HttpRequestForwarder:
    """Sends each forwarded request once; any doubt about its fate is an unknown outcome."""

    __slots__ = ("_client", "_directory")

    def __init__(self, directory: EntryUrlResolver, client: CurlClient) -> None:
        self._directory = directory
        self._client = client

    @classmethod
    def create(cls, directory: EntryUrlResolver) -> HttpRequestForwarder:
        """Return an instance with connections of its own."""
        return cls(directory, create_client(MAX_CONCURRENT_REQUESTS))

    def close(self) -> None:
        """Close every connection."""
        self._client.close()

    async def forward(
        self, entry: str, service_name: str, request: QueryRequest
    ) -> QueryAnswer | QueryError:
        """Send a request once to another entry and return what it answers."""
        url = self._directory.entry_url(entry)
        if url is None:
            return _outcome_unknown(request, f"entry {entry}, which minted the ticket, is gone")
        http_request = HTTPRequest(
            f"{url}/v1/services/{service_name}/query",
            method="POST",
            body=msgspec.json.encode(request),
            headers={"Content-Type": "application/json", FORWARDED_HEADER: "1"},
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=(request.deadline_ms or MAX_DEADLINE_MS) / 1000 + TIMEOUT_MARGIN_S,
            prepare_curl_callback=refuse_rewind,
        )
        try:
            response = await self._client.fetch(http_request, raise_error=False)
        except CurlError as error:
            return _outcome_unknown(request, f"entry {entry}, which minted the ticket: {error}")
        message_type = QueryAnswer if response.code == 200 else QueryError
        try:
            return msgspec.json.decode(response.body, type=message_type)
        except msgspec.DecodeError as error:
            return _outcome_unknown(request, f"entry {entry} sent a broken answer: {error}")


def _outcome_unknown(request: QueryRequest, reason: str) -> QueryError:
    failure = Failure(ErrorKind.OUTCOME_UNKNOWN, reason, "ticket")
    return query_error(request.request_id, failure)
