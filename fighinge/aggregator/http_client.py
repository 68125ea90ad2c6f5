"""HTTP client of backend servers on Tornado's curl client."""

from __future__ import annotations

from typing import TYPE_CHECKING

import logbook
import msgspec
import pycurl
from tornado.httpclient import HTTPRequest

from fighinge.aggregator.base import Address, CallFailure, CallFault
from fighinge.curl import TransferFailure, create_client, fetch_once
from fighinge.decoding import UNREADABLE_ERRORS
from fighinge.messages import (
    BackendAnswer,
    BackendCancel,
    BackendRefusal,
    BackendRequest,
    ServerState,
)

if TYPE_CHECKING:
    from tornado.httpclient import HTTPResponse

    from fighinge.curl import CurlClient

logger = logbook.Logger(__name__)

CONNECT_TIMEOUT_S = 0.5
CANCEL_TIMEOUT_S = 1.0
MAX_CONCURRENT_CALLS = 1000
JSON_HEADERS = {"Content-Type": "application/json"}


class HttpBackendClient:
    """A client of the backend server protocol that keeps connections alive."""

    __slots__ = ("_client",)

    def __init__(self, client: CurlClient) -> None:
        self._client = client

    @classmethod
    def create(cls) -> HttpBackendClient:
        """Return a client with its own connection pool."""
        return cls(create_client(MAX_CONCURRENT_CALLS))

    def close(self) -> None:
        """Close every connection."""
        self._client.close()

    async def search(
        self, address: Address, request: BackendRequest, timeout_s: float
    ) -> BackendAnswer | BackendRefusal | CallFailure:
        """Run a request on a backend server.

        :param timeout_s: timeout of the call, in seconds
        """
        response = await self._post(address, "/v1/search", msgspec.json.encode(request), timeout_s)
        if isinstance(response, CallFailure):
            return response
        if response.code == 200:
            return _decode(response.body, BackendAnswer)
        return _decode(response.body, BackendRefusal)

    async def cancel(self, address: Address, call_id: str) -> None:
        """Ask a backend server to stop running a call; failures are ignored."""
        body = msgspec.json.encode(BackendCancel(call_id))
        await self._post(address, "/v1/cancel", body, CANCEL_TIMEOUT_S)

    async def state(self, address: Address, timeout_s: float) -> ServerState | CallFailure:
        """Ask a backend server for its load and the index versions that it holds."""
        request = HTTPRequest(
            _url(address, "/v1/state"),
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=timeout_s,
        )
        response = await self._fetch(request)
        if isinstance(response, CallFailure):
            return response
        return _decode(response.body, ServerState)

    async def _post(
        self, address: Address, path: str, body: bytes, timeout_s: float
    ) -> HTTPResponse | CallFailure:
        request = HTTPRequest(
            _url(address, path),
            method="POST",
            body=body,
            headers=JSON_HEADERS,
            connect_timeout=min(CONNECT_TIMEOUT_S, timeout_s),
            request_timeout=timeout_s,
        )
        return await self._fetch(request)

    async def _fetch(self, request: HTTPRequest) -> HTTPResponse | CallFailure:
        response = await fetch_once(self._client, request)
        if isinstance(response, TransferFailure):
            return _failure(response)
        return response


def _url(address: Address, path: str) -> str:
    return f"http://{address.host}:{address.port}{path}"


def _failure(failure: TransferFailure) -> CallFailure:
    """Return a failure whose reason is safe to show to callers: it contains no address."""
    logger.debug("call to a backend server failed: {}", failure.reason)
    if not failure.sent:
        return CallFailure(CallFault.NOT_CONNECTED, "the backend server accepted no connection")
    if failure.error_number == pycurl.E_WRITE_ERROR:
        return CallFailure(CallFault.BAD_ANSWER, "the status is not one of HTTP")
    if failure.timed_out:
        return CallFailure(CallFault.TIMEOUT, "no answer from the backend server in time")
    return CallFailure(CallFault.CONNECTION_LOST, "the connection to the backend server was lost")


def _decode(body: bytes, message_type: type):
    try:
        return msgspec.json.decode(body, type=message_type)
    except UNREADABLE_ERRORS as error:
        return CallFailure(CallFault.BAD_ANSWER, str(error))
