"""HTTP interface of stand-in backend servers: backend protocol and fault-injection API."""

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
    """HTTP server that counts connections and closes those above the connection limit."""

    def initialize(self, application: Application, server: StandinServer) -> None:
        """Set the stand-in that the server belongs to; called by tornado."""
        super().initialize(application)
        self._server = server
        self._connection_limit = server.document.backend_servers[server.name].connection_limit
        server.drop_connections = self.drop_connections

    def handle_stream(self, stream, address) -> None:
        """Accept a connection, or close it if the server is down or at its limit."""
        counters = self._server.counters
        if not self._server.is_listening:
            stream.close()
            return
        if len(self._connections) >= self._connection_limit:
            counters.connections_refused += 1
            stream.close()
            return
        counters.connections_opened += 1
        super().handle_stream(stream, address)
        counters.peak_connections = max(counters.peak_connections, len(self._connections))

    def drop_connections(self) -> None:
        """Close all connections without a response."""
        for connection in list(self._connections):
            connection.stream.close()


class ServerHandler(RequestHandler):
    """Base of the handlers; requests to the fault-injection API may name one of several servers."""

    def initialize(self, servers: dict[str, StandinServer]) -> None:
        """Set the servers by name; called by tornado."""
        self._servers = servers

    def server(self, name: str = "") -> StandinServer:
        """Return the server with a name, or the only one if the name is empty."""
        return self._servers[name] if name else next(iter(self._servers.values()))

    def write_message(self, message: object) -> None:
        """Finish the response with a message as JSON."""
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(message))

    def drop_connection(self) -> None:
        """Close the connection without completing the response."""
        self._finished = True
        self.request.connection.stream.close()


class SearchHandler(ServerHandler):
    """``POST /v1/search``: runs a search."""

    async def post(self) -> None:
        """Run a search and write its answer or refusal."""
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
        """Delay the first request of a connection by ``connect_ms``."""
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
    """``POST /v1/cancel``: cancels a call."""

    def post(self) -> None:
        """Cancel a call."""
        self.server().cancel(msgspec.json.decode(self.request.body, type=BackendCancel).call_id)
        self.set_status(204)


class StateHandler(ServerHandler):
    """``GET /v1/state``: the load report."""

    def get(self) -> None:
        """Write the load report, or 404 if there is none."""
        server = self.server()
        server.counters.state_reads += 1
        state = server.state()
        if state is None:
            self.set_status(404)
        else:
            self.write_message(state)


class BehaviourHandler(ServerHandler):
    """``PUT /standin/behaviour``: changes fields of the behaviour, after ``after_s`` seconds."""

    def put(self, name: str = "") -> None:
        """Replace the fields that the JSON body names."""
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
    """``POST /standin/restart`` or ``/standin/cold``: restarts a server, or makes it cold."""

    def post(self, name: str, action: str) -> None:
        """Restart the server, or begin a cold start."""
        server = self.server(name)
        if action == "restart":
            server.restart(float(self.get_query_argument("outage_s", "0")))
        else:
            server.begin_cold_start()


class CountersHandler(ServerHandler):
    """``GET /standin/counters``: the counters, with ``executions`` only if ``?executions=1``."""

    def get(self, name: str = "") -> None:
        """Write the counters of a server."""
        counters = self.server(name).counters
        if not self.get_query_argument("executions", ""):
            counters = msgspec.structs.replace(counters, executions={})
        self.write_message(counters)


class AllCountersHandler(ServerHandler):
    """``GET /counters``: the counters of all servers of the process."""

    def get(self) -> None:
        """Write the counters by server."""
        self.write_message(
            {
                name: msgspec.structs.replace(server.counters, executions={})
                for name, server in self._servers.items()
            }
        )


def listen(server: StandinServer, host: str = "", port: int = 0) -> ConnectionLimitedServer:
    """Serve a stand-in over HTTP.

    :param host: address to listen on; the one in the configuration if empty
    :param port: port to listen on; the one in the configuration if 0
    """
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
    configured = server.document.backend_servers[server.name]
    http_server = ConnectionLimitedServer(application, server=server)
    http_server.listen(port or configured.port, host or configured.host)
    return http_server


def listen_control(servers: dict[str, StandinServer], host: str, port: int) -> HTTPServer:
    """Serve the fault-injection API of all servers of a process, also while they are absent."""
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
