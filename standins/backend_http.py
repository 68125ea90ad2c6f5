"""The HTTP side of stand-in backend servers: the real protocol and the control of faults."""

from __future__ import annotations

import asyncio

import msgspec
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from fighinge.errors import Failure
from fighinge.messages import BackendCancel, BackendRefusal, BackendRequest
from standins.backend import ConnectionDropped, NotListening, StandinServer
from standins.behaviour import replace_fields


class ConnectionLimitedServer(HTTPServer):
    """An HTTP server that counts connections and closes those above its server's limit."""

    def initialize(self, application: Application, server: StandinServer) -> None:
        """Take the stand-in whose connections these are."""
        super().initialize(application)
        self._server = server
        self._limit = server.document.backend_servers[server.name].connection_limit
        server.drop_connections = self.drop_connections

    def handle_stream(self, stream, address) -> None:
        """Accept a connection after the time that a new one costs, or close it."""
        counters = self._server.counters
        if not self._server.is_listening:
            stream.close()
            return
        if len(self._connections) >= self._limit:
            counters.connections_refused += 1
            stream.close()
            return
        counters.connections_opened += 1
        super().handle_stream(stream, address)
        counters.peak_connections = max(counters.peak_connections, len(self._connections))

    def drop_connections(self) -> None:
        """Close every connection without an answer."""
        for connection in list(self._connections):
            connection.stream.close()


class ServerHandler(RequestHandler):
    """The base of the handlers; control requests name one server of the process."""

    def initialize(self, servers: dict[str, StandinServer]) -> None:
        """Take the servers that requests may be for."""
        self._servers = servers

    def server(self, name: str = "") -> StandinServer:
        """Return the server that a request is for."""
        return self._servers[name] if name else next(iter(self._servers.values()))

    def write_message(self, message: object) -> None:
        """Finish the response with a message."""
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(message))

    def drop_connection(self) -> None:
        """Close the connection without an answer."""
        self._finished = True
        self.request.connection.stream.close()


class SearchHandler(ServerHandler):
    """``POST /v1/search``"""

    async def post(self) -> None:
        """Run a call."""
        server = self.server()
        request = msgspec.json.decode(self.request.body, type=BackendRequest)
        await self._delay_new_connection(server)
        try:
            result = await server.search(request)
        except (ConnectionDropped, NotListening):
            self.drop_connection()
            return
        if isinstance(result, BackendRefusal):
            self.set_status(503)
        if server.consume_drop("in_answer"):
            await self._drop_in_answer(result)
            return
        self.write_message(result)
        if server.consume_drop("after_answer"):
            self.request.connection.stream.close()

    async def _delay_new_connection(self, server: StandinServer) -> None:
        """Wait for what a new connection costs, once for each."""
        stream = self.request.connection.stream
        if not getattr(stream, "is_connect_delayed", False):
            stream.is_connect_delayed = True
            await asyncio.sleep(server.behaviour.connect_ms / 1000)

    async def _drop_in_answer(self, result: object) -> None:
        body = msgspec.json.encode(result)
        self.set_header("Content-Length", str(len(body)))
        self.write(body[: len(body) // 2])
        await self.flush()
        self.drop_connection()


class CancelHandler(ServerHandler):
    """``POST /v1/cancel``"""

    def post(self) -> None:
        """Stop running a call."""
        self.server().cancel(msgspec.json.decode(self.request.body, type=BackendCancel).call_id)
        self.set_status(204)


class StateHandler(ServerHandler):
    """``GET /v1/state``"""

    def get(self) -> None:
        """Report load."""
        server = self.server()
        server.counters.state_reads += 1
        state = server.state()
        if state is None:
            self.set_status(404)
        else:
            self.write_message(state)


class BehaviourHandler(ServerHandler):
    """``PUT /standin/behaviour``: changes how a stand-in serves, now or ``after_s`` from now."""

    def put(self, name: str = "") -> None:
        """Replace the named fields."""
        server = self.server(name)
        changed = replace_fields(server.behaviour, self.request.body)
        if isinstance(changed, Failure):
            self.set_status(400)
            self.write_message(changed)
            return
        after_s = float(self.get_query_argument("after_s", "0"))
        if after_s <= 0:
            _apply_behaviour(server, self.request.body)
            return
        asyncio.get_running_loop().call_later(after_s, _apply_behaviour, server, self.request.body)


class ActionHandler(ServerHandler):
    """``POST /standin/restart`` or ``/standin/cold``"""

    def post(self, name: str, action: str) -> None:
        """Restart a stand-in, or turn it cold."""
        server = self.server(name)
        if action == "restart":
            server.restart(float(self.get_query_argument("outage_s", "0")))
        else:
            server.begin_cold_start()


class CountersHandler(ServerHandler):
    """``GET /standin/counters``; executions by identifier only with ``?executions=1``."""

    def get(self, name: str = "") -> None:
        """Report what was counted."""
        counters = self.server(name).counters
        if not self.get_query_argument("executions", ""):
            counters = msgspec.structs.replace(counters, executions={})
        self.write_message(counters)


class AllCountersHandler(ServerHandler):
    """``GET /counters``: the counters of every server of the process."""

    def get(self) -> None:
        """Report what was counted."""
        self.write_message(
            {
                name: msgspec.structs.replace(server.counters, executions={})
                for name, server in self._servers.items()
            }
        )


def listen(server: StandinServer, host: str = "", port: int = 0) -> ConnectionLimitedServer:
    """Serve a stand-in, unless told otherwise at the address that the configuration gives it."""
    arguments = {"servers": {server.name: server}}
    application = Application(
        [
            (r"/v1/search", SearchHandler, arguments),
            (r"/v1/cancel", CancelHandler, arguments),
            (r"/v1/state", StateHandler, arguments),
            (r"/standin/behaviour", BehaviourHandler, arguments),
            (r"/standin/counters", CountersHandler, arguments),
            (r"/standin()/(restart|cold)", ActionHandler, arguments),
        ],
        log_function=lambda _handler: None,
    )
    entry = server.document.backend_servers[server.name]
    http_server = ConnectionLimitedServer(application, server=server)
    http_server.listen(port or entry.port, host or entry.host)
    return http_server


def listen_control(servers: dict[str, StandinServer], host: str, port: int) -> HTTPServer:
    """Serve the control of all servers of a process, also while they are absent."""
    arguments = {"servers": servers}
    application = Application(
        [
            (r"/servers/([^/]+)/behaviour", BehaviourHandler, arguments),
            (r"/servers/([^/]+)/counters", CountersHandler, arguments),
            (r"/servers/([^/]+)/(restart|cold)", ActionHandler, arguments),
            (r"/counters", AllCountersHandler, arguments),
        ],
        log_function=lambda _handler: None,
    )
    http_server = HTTPServer(application)
    http_server.listen(port, host)
    return http_server


def _apply_behaviour(server: StandinServer, raw_changes: bytes) -> None:
    changed = replace_fields(server.behaviour, raw_changes)
    if isinstance(changed, Failure):
        return
    server.behaviour = changed
    if changed.absent:
        server.drop_connections()
