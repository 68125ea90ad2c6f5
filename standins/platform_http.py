"""The HTTP side of the stand-in platform, for readers and for its operators."""

from __future__ import annotations

import asyncio

import msgspec
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from fighinge.configuration.base import ListedHost
from standins.platform import PlatformBehaviour, StandinPlatform


class PlatformHandler(RequestHandler):
    """The base of the platform's handlers."""

    def initialize(self, platform: StandinPlatform) -> None:
        """Take the platform that this request is for."""
        self.platform = platform

    def write_message(self, message: object) -> None:
        """Finish the response with a message."""
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(message))


class ReaderHandler(PlatformHandler):
    """The base of what readers call: counted, and subject to the platform's faults."""

    async def prepare(self) -> None:
        """Count the call, and refuse it while the platform is down."""
        reader = self.request.headers.get("X-Reader", "?")
        self.platform.count_call(reader)
        if self.platform.behaviour.slow_s:
            await asyncio.sleep(self.platform.behaviour.slow_s)
        if self.platform.refuses(reader):
            self.send_error(503)


class ValuesHandler(ReaderHandler):
    """``GET /v1/values``"""

    async def get(self) -> None:
        """Return or wait for values."""
        values = await self.platform.read(
            self.get_query_argument("prefix"),
            int(self.get_query_argument("after", "0")),
            float(self.get_query_argument("wait_s", "0")),
        )
        if self.platform.refuses(self.request.headers.get("X-Reader", "?")):
            self.send_error(503)
            return
        self.write_message(values)


class HostsHandler(ReaderHandler):
    """``GET /v1/hosts``"""

    def get(self) -> None:
        """Return the host list."""
        self.write_message(self.platform.hosts)


class OperatorHandler(PlatformHandler):
    """The base of what operators call; it is not counted."""

    def decode_body(self, message_type: type):
        """Return the decoded body, or nothing after answering with the reason."""
        try:
            return msgspec.json.decode(self.request.body, type=message_type)
        except msgspec.DecodeError as error:
            self.set_status(400)
            self.finish(f"{error}\n")
            return None


class PublishHandler(OperatorHandler):
    """``PUT /operators/values/KEY``: publishes a value."""

    async def put(self, key: str) -> None:
        """Publish."""
        if self.decode_body(msgspec.Raw) is not None:
            await self.platform.publish(key, self.request.body)


class ReplaceHostsHandler(OperatorHandler):
    """``PUT /operators/hosts``: replaces the host list."""

    def put(self) -> None:
        """Replace."""
        hosts = self.decode_body(list[ListedHost])
        if hosts is not None:
            self.platform.hosts = hosts


class PlatformBehaviourHandler(OperatorHandler):
    """``PUT /operators/behaviour``: replaces how readers are served."""

    async def put(self) -> None:
        """Replace."""
        behaviour = self.decode_body(PlatformBehaviour)
        if behaviour is not None:
            await self.platform.set_behaviour(behaviour)


class CallCountsHandler(OperatorHandler):
    """``GET /operators/calls``: how often each reader called."""

    def get(self) -> None:
        """Report what was counted."""
        self.write_message(self.platform.calls)


def listen(platform: StandinPlatform, host: str, port: int) -> HTTPServer:
    """Serve the platform's protocol."""
    arguments = {"platform": platform}
    application = Application(
        [
            (r"/v1/values", ValuesHandler, arguments),
            (r"/v1/hosts", HostsHandler, arguments),
            (r"/operators/values/(.+)", PublishHandler, arguments),
            (r"/operators/hosts", ReplaceHostsHandler, arguments),
            (r"/operators/behaviour", PlatformBehaviourHandler, arguments),
            (r"/operators/calls", CallCountsHandler, arguments),
        ],
        log_function=lambda _handler: None,
    )
    server = HTTPServer(application)
    server.listen(port, host)
    return server
