"""What every user of tornado's curl client needs: one sending per request, a quiet end."""

from __future__ import annotations

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient

MAX_KEPT_CONNECTIONS = 2048
UNSENT_CODES = frozenset({pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST})


class CurlClient(CurlAsyncHTTPClient):
    """A client that keeps its connections and may be closed while requests are outstanding.

    By itself libcurl keeps four connections for each request that is outstanding at the moment
    and closes the rest, so that a quiet moment costs most of them.
    """

    def initialize(self, max_clients: int = 10, defaults: dict | None = None) -> None:
        """Set up the client."""
        super().initialize(max_clients, defaults)
        self._multi.setopt(pycurl.M_MAXCONNECTS, MAX_KEPT_CONNECTIONS)

    def _handle_timeout(self) -> None:
        if self._multi is not None:
            super()._handle_timeout()


def create_client(max_concurrent_calls: int) -> CurlClient:
    """Return a client with connections of its own."""
    return CurlClient(force_instance=True, max_clients=max_concurrent_calls)


def refuse_rewind(curl: pycurl.Curl) -> None:
    """Make libcurl fail where it would silently send a request body a second time.

    libcurl sends a request again by itself when a reused connection closes before the first
    byte of a response. A body that cannot be rewound turns that into an error.
    """
    curl.setopt(pycurl.SEEKFUNCTION, _fail_seek)


def ignore_headers(curl: pycurl.Curl) -> None:
    """Spare the decoding of response headers that nobody reads."""
    curl.setopt(pycurl.HEADERFUNCTION, _ignore)


def _ignore(_line: bytes) -> None:
    return None


def _fail_seek(_offset: int, _origin: int) -> int:
    return pycurl.SEEKFUNC_FAIL
