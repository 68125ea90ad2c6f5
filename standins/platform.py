"""A stand-in platform: published values to read and watch, and the host list."""

from __future__ import annotations

import asyncio

import msgspec
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from fighinge.configuration.base import HostEntry, Values


class StandinPlatform:
    """Holds values and hosts; only its own operators' methods change them."""

    def __init__(self) -> None:
        self.revision = 0
        self.down = False
        self.calls: dict[str, int] = {}
        self.hosts: list[HostEntry] = []
        self._values: dict[str, tuple[int, msgspec.Raw]] = {}
        self._changed = asyncio.Condition()

    async def publish(self, key: str, value: bytes) -> None:
        """Publish a value as an operator does."""
        self.revision += 1
        self._values[key] = (self.revision, msgspec.Raw(value))
        async with self._changed:
            self._changed.notify_all()

    def count(self, reader: str) -> None:
        """Count a call of a reader."""
        self.calls[reader] = self.calls.get(reader, 0) + 1

    async def read(self, prefix: str, after_revision: int, wait_s: float) -> Values:
        """Return what changed under a prefix, waiting for a change if there is none."""
        if not self._changes(prefix, after_revision) and wait_s > 0:
            await self._wait(prefix, after_revision, wait_s)
        return Values(self.revision, self._changes(prefix, after_revision))

    async def _wait(self, prefix: str, after_revision: int, wait_s: float) -> None:
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(lambda: self._changes(prefix, after_revision))
        except TimeoutError:
            return

    def _changes(self, prefix: str, after_revision: int) -> dict[str, msgspec.Raw]:
        return {
            key: value
            for key, (revision, value) in self._values.items()
            if key.startswith(prefix) and revision > after_revision
        }


class PlatformHandler(RequestHandler):
    """The base of the platform's handlers."""

    def initialize(self, platform: StandinPlatform) -> None:
        """Take the platform that this request is for."""
        self.platform = platform

    def prepare(self) -> None:
        """Count the call, and refuse it while the platform is down."""
        self.platform.count(self.request.headers.get("X-Reader", "?"))
        if self.platform.down:
            self.send_error(503)


class ValuesHandler(PlatformHandler):
    """``GET /v1/values``"""

    async def get(self) -> None:
        """Return or wait for values."""
        values = await self.platform.read(
            self.get_query_argument("prefix"),
            int(self.get_query_argument("after", "0")),
            float(self.get_query_argument("wait_s", "0")),
        )
        self.finish(msgspec.json.encode(values))


class HostsHandler(PlatformHandler):
    """``GET /v1/hosts``"""

    def get(self) -> None:
        """Return the host list."""
        self.finish(msgspec.json.encode(self.platform.hosts))


class PublishHandler(PlatformHandler):
    """``PUT /operators/values/KEY``: publishes a value."""

    def prepare(self) -> None:
        """Operators' calls are not counted."""

    async def put(self, key: str) -> None:
        """Publish."""
        await self.platform.publish(key, self.request.body)


def listen(platform: StandinPlatform, host: str, port: int) -> HTTPServer:
    """Serve the platform's protocol."""
    arguments = {"platform": platform}
    application = Application(
        [
            (r"/v1/values", ValuesHandler, arguments),
            (r"/v1/hosts", HostsHandler, arguments),
            (r"/operators/values/(.+)", PublishHandler, arguments),
        ],
        log_function=lambda _handler: None,
    )
    server = HTTPServer(application)
    server.listen(port, host)
    return server
