"""HTTP client of the platform's store; no other module accesses it."""

from __future__ import annotations

from urllib.parse import urlencode

import msgspec
from tornado.httpclient import HTTPRequest

from fighinge.curl import (
    CurlClient,
    TransferFailure,
    create_client,
    enable_keepalive_probes,
    fetch_once,
)
from fighinge.errors import ErrorKind, Failure
from fighinge.platform.records import (
    OPERATOR_PREFIX,
    SERVERS_PREFIX,
    UNREADABLE_ERRORS,
    decode_delete,
    decode_put,
)
from fighinge.router.changes import Change, Changes, HistoryLost, Snapshot

CONNECT_TIMEOUT_S = 0.5  # a connection within a region takes some milliseconds
READ_TIMEOUT_S = 1.5  # 300 times the store's usual 4 ms
WATCH_RESPONSE_TIMEOUT_S = 1.0  # after the time for which the store may hold a watch
MAX_CONCURRENT_CALLS = 4  # a read and a watch for each of two prefixes
MAX_PAGES = 200  # 200 pages of 50 items exceed the largest planned fleet
PREFIXES = (OPERATOR_PREFIX, SERVERS_PREFIX)


class _Item(msgspec.Struct, rename="kebab"):
    """A stored item, or a deleted one in the events of a watch."""

    key: str
    value: bytes = b""
    revision: int = 0
    deleted: bool = False

    def decode(self) -> Change | None:
        if self.deleted:
            return decode_delete(self.key)
        return decode_put(self.key, self.value)


class _Range(msgspec.Struct, rename="kebab"):
    items: list[_Item]
    store_revision: int
    has_more: bool = False


class _Events(msgspec.Struct, rename="kebab"):
    events: list[_Item]
    store_revision: int


class PlatformStore:
    """A :class:`~fighinge.router.changes.ViewSource` that reads one prefix of the store."""

    __slots__ = ("_client", "_prefix", "_url", "calls")

    def __init__(self, address: str, prefix: str, client: CurlClient) -> None:
        self._url = f"http://{address}"
        self._prefix = prefix
        self._client = client
        self.calls = 0

    @classmethod
    def from_address(cls, address: str, prefix: str, source_address: str = "") -> PlatformStore:
        """Return a reader of one prefix with a separate HTTP client.

        :param source_address: local address of all connections, chosen by the kernel if empty
        """
        client = create_client(MAX_CONCURRENT_CALLS, source_address)
        return cls(address, prefix, client)

    def close(self) -> None:
        """Close every connection."""
        self._client.close()

    async def read_all(self) -> Snapshot | Failure:
        """Read all items under the prefix, page by page.

        The pages are not a consistent snapshot, so the first page's revision is returned: the watch
        then repeats the changes made while the other pages were read.
        """
        items: list[_Item] = []
        revision = None
        query = {"prefix": self._prefix}
        for _ in range(MAX_PAGES):
            page = await self._get("/v1/kv-range", query, READ_TIMEOUT_S, _Range)
            if isinstance(page, Failure | HistoryLost):
                return page if isinstance(page, Failure) else _failure(page.reason)
            revision = page.store_revision if revision is None else revision
            items.extend(page.items)
            if not page.has_more or not page.items:
                return Snapshot(revision, _decode(items), _last_change(items))
            query["after"] = page.items[-1].key
        return _failure(f"more than {MAX_PAGES} pages under {self._prefix}")

    async def watch(self, after_revision: int, wait_s: float) -> Changes | HistoryLost | Failure:
        """Return the changes under the prefix after a revision."""
        query = {
            "prefix": self._prefix,
            "after": str(after_revision),
            "wait-ms": str(round(1000 * wait_s)),
        }
        events = await self._get("/v1/kv-watch", query, wait_s + WATCH_RESPONSE_TIMEOUT_S, _Events)
        if isinstance(events, Failure | HistoryLost):
            return events
        return Changes(events.store_revision, _decode(events.events), _last_change(events.events))

    async def _get(self, path: str, query: dict[str, str], timeout_s: float, message_type):
        self.calls += 1
        request = HTTPRequest(
            f"{self._url}{path}?{urlencode(query, safe='/')}",
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=timeout_s,
        )
        response = await fetch_once(self._client, request, prepare=enable_keepalive_probes)
        if isinstance(response, TransferFailure):
            return _failure(response.reason)
        if response.code == 410:
            return HistoryLost("the store no longer has this history")
        if response.code != 200:
            return _failure(f"the store returned status {response.code}")
        try:
            return msgspec.json.decode(response.body, type=message_type)
        except UNREADABLE_ERRORS as error:
            return _failure(f"the store's response cannot be decoded: {error}")


def _decode(items: list[_Item]) -> tuple[Change, ...]:
    changes = (item.decode() for item in items)
    return tuple(change for change in changes if change is not None)


def _last_change(items: list[_Item]) -> int:
    return max((item.revision for item in items), default=0)


def _failure(reason: str) -> Failure:
    return Failure(ErrorKind.NOT_READY, reason, "platform store")
