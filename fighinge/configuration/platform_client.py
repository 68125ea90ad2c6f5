"""HTTP client of the operators' platform."""

from __future__ import annotations

import msgspec
from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPRequest
from tornado.httputil import url_concat

from fighinge.configuration.base import ListedHost, Values
from fighinge.curl import create_client
from fighinge.decoding import UNREADABLE_ERRORS
from fighinge.errors import ErrorKind, Failure

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 3.0
MAX_CONCURRENT_CALLS = 10


class PlatformClient:
    """Implements :class:`ConfigurationService` and :class:`HostList` over HTTP.

    Each request carries the name of this process in ``X-Reader``, because the platform counts
    calls by that name.
    """

    __slots__ = ("_client", "_process_name", "_url")

    def __init__(self, url: str, process_name: str) -> None:
        self._url = url.rstrip("/")
        self._process_name = process_name
        self._client = create_client(MAX_CONCURRENT_CALLS)

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def read(self, prefix: str, after_revision: int, wait_s: float) -> Values | Failure:
        """Return the values under a prefix that changed after a revision.

        :param wait_s: seconds that the platform may wait for a change
        """
        query = {"prefix": prefix, "after": str(after_revision), "wait_s": str(wait_s)}
        return await self._get(url_concat(f"{self._url}/v1/values", query), wait_s, Values)

    async def hosts(self) -> list[ListedHost] | Failure:
        """Return the hosts that the platform lists."""
        return await self._get(f"{self._url}/v1/hosts", 0.0, list[ListedHost])

    async def _get(self, url: str, wait_s: float, message_type):
        request = HTTPRequest(
            url,
            headers={"X-Reader": self._process_name},
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=READ_TIMEOUT_S + wait_s,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except CurlError as error:
            return Failure(ErrorKind.NOT_READY, f"request to the platform failed: {error}")
        if response.code != 200:
            return Failure(ErrorKind.NOT_READY, f"the platform returned HTTP {response.code}")
        try:
            return msgspec.json.decode(response.body, type=message_type)
        except UNREADABLE_ERRORS as error:
            return Failure(ErrorKind.NOT_READY, f"invalid response from the platform: {error}")
