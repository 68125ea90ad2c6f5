"""Stand-in platform store that routers read, with revisions, pages, watches and faults."""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Callable
from contextlib import suppress

import msgspec
from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

ITEMS_PER_PAGE = 50


class StoreCopy(msgspec.Struct, frozen=True):
    """The content of a store at a revision: the revision and the value of each key."""

    revision: int
    items: dict[str, tuple[int, bytes]]


class StandinStore:
    """Hold items and their event history in memory, and serve them over HTTP.

    ``fault`` is empty, ``busy`` (503), ``silent`` (no response) or ``reset`` (closed connection).
    It affects the addresses in ``affected_callers``, or all callers if that is empty. ``rewrite``
    replaces each item or event that a caller gets. ``era`` is in all answers, unless it is 0.
    """

    def __init__(self) -> None:
        self.revision = 100
        self.era = 0
        self.fault = ""
        self.affected_callers: set[str] = set()
        self.rewrite: Callable[[str, dict], dict] = lambda _caller, item: item
        self.calls: list[str] = []
        self._items: dict[str, tuple[int, bytes]] = {}
        self._events: list[dict] = []
        self._compacted_revision = self.revision
        self._changed = asyncio.Event()
        self._server: HTTPServer | None = None

    def start(self, port: int, host: str = "127.0.0.1") -> None:
        """Listen on an address."""
        routes = [
            ("/v1/kv-range", _RangeHandler, {"store": self}),
            ("/v1/kv-watch", _WatchHandler, {"store": self}),
        ]
        self._server = Application(routes, log_function=lambda _: None).listen(port, host)

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self._server.stop()
        await self._server.close_all_connections()

    async def put(self, key: str, value: object) -> int:
        """Write an item, as JSON unless the value is bytes.

        :returns: the revision of the item
        """
        self.revision += 1
        raw = value if isinstance(value, bytes) else msgspec.json.encode(value)
        self._items[key] = (self.revision, raw)
        await self._append_event(_item(key, self.revision, raw))
        return self.revision

    async def delete(self, key: str) -> None:
        """Delete an item, if it exists."""
        if self._items.pop(key, None) is None:
            return
        self.revision += 1
        await self._append_event({"key": key, "revision": self.revision, "deleted": True})

    async def compact(self) -> None:
        """Drop the event history, so that watches of older revisions fail."""
        self._events.clear()
        self._compacted_revision = self.revision
        self._notify_watches()

    def copy(self) -> StoreCopy:
        """Return a copy of the content, for :meth:`restore`."""
        return StoreCopy(self.revision, dict(self._items))

    async def restore(self, copied: StoreCopy) -> None:
        """Go back to a copy, without any history; later revisions are given out again."""
        self.revision, self._items = copied.revision, dict(copied.items)
        self.era += 1
        await self.compact()

    async def write_again(self, lost: StoreCopy, copied: StoreCopy) -> None:
        """Repeat what the restored copy lacks, for each key that was not written since.

        :param lost: the content before the restore
        :param copied: the content after it
        """
        for key in lost.items.keys() | copied.items.keys():
            if self._items.get(key) != copied.items.get(key):
                continue
            if key not in lost.items:
                await self.delete(key)
            elif lost.items[key] != copied.items.get(key):
                await self.put(key, lost.items[key][1])

    def list_page(self, prefix: str, after: str) -> dict:
        """Return the first page of items under a prefix whose keys follow a key."""
        keys = sorted(key for key in self._items if key.startswith(prefix) and key > after)
        items = [_item(key, *self._items[key]) for key in keys[:ITEMS_PER_PAGE]]
        return {
            "items": items,
            "has-more": len(keys) > ITEMS_PER_PAGE,
            "store-revision": self.revision,
        }

    async def wait_for_events(self, prefix: str, after: int, wait_s: float) -> dict | None:
        """Return the events under a prefix after a revision, or none if they were compacted.

        :param wait_s: seconds to wait for an event if there is none yet
        """
        deadline_s = asyncio.get_running_loop().time() + wait_s
        while True:
            if not self._compacted_revision <= after <= self.revision:
                return None
            events = [
                event
                for event in self._events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            remaining_s = deadline_s - asyncio.get_running_loop().time()
            if events or remaining_s <= 0:
                return {"events": events, "store-revision": self.revision}
            changed = self._changed
            with suppress(TimeoutError):
                async with asyncio.timeout(remaining_s):
                    await changed.wait()

    def fault_for(self, caller: str) -> str:
        """Return the fault that affects a caller, empty if none does."""
        if self.affected_callers and caller not in self.affected_callers:
            return ""
        return self.fault

    async def _append_event(self, event: dict) -> None:
        self._events.append(event)
        self._notify_watches()

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def _item(key: str, revision: int, raw: bytes) -> dict:
    value = base64.b64encode(raw).decode()
    return {"key": key, "value": value, "revision": revision, "created": revision, "lease": 0}


class _Handler(RequestHandler):
    def initialize(self, store: StandinStore) -> None:
        self.store = store

    async def inject_fault(self) -> bool:
        """Record the request path and apply the fault of this caller.

        :returns: whether a fault was applied; the handler must not respond then
        """
        self.store.calls.append(self.request.path)
        if self.store.era:
            self.set_header("Store-Era", str(self.store.era))
        fault = self.store.fault_for(self.request.remote_ip)
        if fault == "busy":
            self.set_status(503)
            self.finish()
        elif fault == "silent":
            await asyncio.sleep(3600)
        elif fault == "reset":
            self.request.connection.stream.close()
        return bool(fault)

    def send_json(self, content: dict) -> None:
        """Finish the response with JSON, unless the caller has closed the connection."""
        for name in ("items", "events"):
            if name in content:
                caller = self.request.remote_ip
                content[name] = [self.store.rewrite(caller, item) for item in content[name]]
        self.set_header("Content-Type", "application/json")
        try:
            self.finish(msgspec.json.encode(content))
        except StreamClosedError:
            return


class _RangeHandler(_Handler):
    async def get(self) -> None:
        if await self.inject_fault():
            return
        self.send_json(
            self.store.list_page(
                self.get_query_argument("prefix"), self.get_query_argument("after", "")
            )
        )


class _WatchHandler(_Handler):
    async def get(self) -> None:
        if await self.inject_fault():
            return
        events = await self.store.wait_for_events(
            self.get_query_argument("prefix"),
            int(self.get_query_argument("after")),
            int(self.get_query_argument("wait-ms")) / 1000,
        )
        if await self.inject_fault():
            return
        if events is None:
            self.set_status(410)
            self.finish()
            return
        self.send_json(events)
