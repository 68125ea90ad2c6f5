"""HTTP interface of the stand-in platform for readers and operators."""

from __future__ import annotations

import asyncio

import msgspec
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from fighinge.configuration.base import ListedHost
from standins.platform import PlatformBehaviour, StandinPlatform


class PlatformHandler(RequestHandler):
    """Base of the handlers of the platform."""

    def initialize(self, platform: StandinPlatform) -> None:
        """Set the platform; called by tornado."""
        self.platform = platform

    def write_message(self, message: object) -> None:
        """Finish the response with a message as JSON."""
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(message))


class ReaderHandler(PlatformHandler):
    """Base of the handlers for readers, whose calls are counted and subject to faults."""

    async def prepare(self) -> None:
        """Count the call, delay it by ``slow_s`` and refuse it if its reader is refused."""
        reader = self.request.headers.get("X-Reader", "?")
        self.platform.count_call(reader)
        if self.platform.behaviour.slow_s:
            await asyncio.sleep(self.platform.behaviour.slow_s)
        if self.platform.refuses(reader):
            self.send_error(503)


class ValuesHandler(ReaderHandler):
    """``GET /v1/values``: values under a prefix that changed after a revision."""

    async def get(self) -> None:
        """Write the changed values, after waiting up to ``wait_s`` for a change."""
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
    """``GET /v1/hosts``: the host list."""

    def get(self) -> None:
        """Write the host list."""
        self.write_message(self.platform.hosts)


class OperatorHandler(PlatformHandler):
    """Base of the handlers for operators, whose calls are not counted."""

    def decode_body(self, message_type: type):
        """Return the decoded body, or none after a 400 response with the reason."""
        try:
            return msgspec.json.decode(self.request.body, type=message_type)
        except msgspec.DecodeError as error:
            self.set_status(400)
            self.finish(f"{error}\n")
            return None


class PublishHandler(OperatorHandler):
    """``PUT /operators/values/KEY``: publishes a value."""

    async def put(self, key: str) -> None:
        """Publish the body under a key."""
        if self.decode_body(msgspec.Raw) is not None:
            await self.platform.publish(key, self.request.body)


class ReplaceHostsHandler(OperatorHandler):
    """``PUT /operators/hosts``: replaces the host list."""

    def put(self) -> None:
        """Replace the host list with the body."""
        hosts = self.decode_body(list[ListedHost])
        if hosts is not None:
            self.platform.hosts = hosts


class PlatformBehaviourHandler(OperatorHandler):
    """``PUT /operators/behaviour``: replaces the simulated faults."""

    async def put(self) -> None:
        """Replace the behaviour with the body."""
        behaviour = self.decode_body(PlatformBehaviour)
        if behaviour is not None:
            await self.platform.set_behaviour(behaviour)


class CallCountsHandler(OperatorHandler):
    """``GET /operators/calls``: the number of calls by reader."""

    def get(self) -> None:
        """Write the number of calls by reader."""
        self.write_message(self.platform.calls)


def listen(platform: StandinPlatform, host: str, port: int) -> HTTPServer:
    """Serve a platform over HTTP."""
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
