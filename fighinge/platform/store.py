"""HTTP client of the platform's store; no other module accesses it."""

from __future__ import annotations

from typing import TYPE_CHECKING
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
from fighinge.decoding import UNREADABLE_ERRORS
from fighinge.errors import ErrorKind, Failure
from fighinge.platform.records import (
    OPERATOR_PREFIX,
    SERVERS_PREFIX,
    decode_delete,
    decode_put,
)
from fighinge.router.changes import Change, Changes, HistoryLost, Snapshot
from fighinge.router.revisions import era_of, number_of, ordered_revision

if TYPE_CHECKING:
    import pycurl

CONNECT_TIMEOUT_S = 0.5  # a connection within a region takes some milliseconds
READ_TIMEOUT_S = 1.5  # 300 times the store's usual 4 ms
WATCH_RESPONSE_TIMEOUT_S = 1.0  # after the time for which the store may hold a watch
MAX_CONCURRENT_CALLS = 4  # a read and a watch for each of two prefixes
MAX_PAGES = 200  # 200 pages of 50 items exceed the largest planned fleet
PREFIXES = (OPERATOR_PREFIX, SERVERS_PREFIX)
ERA_HEADER = "Store-Era"
MAX_ERA = 2**15 - 1  # an ordered revision then fits into 63 bits


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


class _EraReader:
    """Reads the store's era from the headers of one response."""

    __slots__ = ("era",)

    def __init__(self) -> None:
        self.era = 0

    def prepare(self, curl: pycurl.Curl) -> None:
        """Set the options of a call of the store."""
        enable_keepalive_probes(curl)
        curl.setopt(curl.HEADERFUNCTION, self._read_line)

    def _read_line(self, line: bytes) -> None:
        name, _, value = line.decode("latin-1").partition(":")
        if name.strip().lower() == ERA_HEADER.lower():
            text = value.strip()
            is_number = text.isascii() and text.isdigit() and len(text) <= len(str(MAX_ERA))
            self.era = min(int(text), MAX_ERA) if is_number else 0


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
        first_revision = 0
        first_era: int | None = None
        query = {"prefix": self._prefix}
        for _ in range(MAX_PAGES):
            page, era = await self._get("/v1/kv-range", query, READ_TIMEOUT_S, _Range)
            if isinstance(page, Failure | HistoryLost):
                return page if isinstance(page, Failure) else _failure(page.reason)
            if first_era is None:
                first_era, first_revision = era, ordered_revision(era, page.store_revision)
            if era != first_era:
                return _failure("the store was restored while it was read")
            items.extend(page.items)
            if not page.has_more or not page.items:
                return Snapshot(first_revision, _decode(items), _last_change(items, era))
            query["after"] = page.items[-1].key
        return _failure(f"more than {MAX_PAGES} pages under {self._prefix}")

    async def watch(self, after_revision: int, wait_s: float) -> Changes | HistoryLost | Failure:
        """Return the changes under the prefix after a revision."""
        query = {
            "prefix": self._prefix,
            "after": str(number_of(after_revision)),
            "wait-ms": str(round(1000 * wait_s)),
        }
        timeout_s = wait_s + WATCH_RESPONSE_TIMEOUT_S
        events, era = await self._get("/v1/kv-watch", query, timeout_s, _Events)
        if era > era_of(after_revision):
            return HistoryLost(f"the store was restored from a copy, era {era}", is_restored=True)
        if isinstance(events, Failure | HistoryLost):
            return events
        if era != era_of(after_revision):
            return _failure(f"the store's response is of an earlier era, {era}")
        revision = ordered_revision(era, events.store_revision)
        return Changes(revision, _decode(events.events), _last_change(events.events, era))

    async def _get(
        self, path: str, query: dict[str, str], timeout_s: float, message_type
    ) -> tuple[object, int]:
        """Return the decoded response, or why there is none, and the store's era."""
        reader = _EraReader()
        return await self._fetch(path, query, timeout_s, message_type, reader), reader.era

    async def _fetch(
        self,
        path: str,
        query: dict[str, str],
        timeout_s: float,
        message_type: type,
        reader: _EraReader,
    ):
        self.calls += 1
        request = HTTPRequest(
            f"{self._url}{path}?{urlencode(query, safe='/')}",
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=timeout_s,
        )
        response = await fetch_once(self._client, request, prepare=reader.prepare)
        if isinstance(response, TransferFailure):
            return _failure(response.reason)
        if response.code == 410:
            return HistoryLost("the store no longer has this history")
        if response.code != 200:
            return _failure(f"the store returned status {response.code}")
        try:
            return msgspec.json.decode(response.body, type=message_type)
        except (*UNREADABLE_ERRORS, ValueError) as error:
            return _failure(f"the store's response cannot be decoded: {error}")


def _decode(items: list[_Item]) -> tuple[Change, ...]:
    changes = (item.decode() for item in items)
    return tuple(change for change in changes if change is not None)


def _last_change(items: list[_Item], era: int) -> int:
    """Return the revision of the latest change, 0 if there is none."""
    return max((ordered_revision(era, item.revision) for item in items), default=0)


def _failure(reason: str) -> Failure:
    return Failure(ErrorKind.NOT_READY, reason, "platform store")
