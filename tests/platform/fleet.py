"""Runs router processes with a stand-in store, stand-in backend servers and callers."""

from __future__ import annotations

import asyncio
import itertools
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from standins.server_events import ServerEvents
from standins.shard_server import Run, ShardServer
from standins.store import StandinStore

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

ZONES = ("z1", "z2", "z3")
SHARDS = 4
FRONT_PORT, READY_PORT, ADDRESS_PORT, CONTROL_PORT = 8226, 8227, 8225, 8224
GOSSIP_PORT = 7740
BACKEND_PORT = 9100
START_TIMEOUT_S = 15.0
CALL_TIMEOUT_S = 5.0
HOST = "search.example"
STOP_TIMEOUT_S = 6
POLL_INTERVAL_S = 0.03
ROUTER_COMMAND = (sys.executable, "-S", "fighinge/platform/start.py")  # of deploy/system.toml
FIRST_NETWORK = int(os.environ.get("FIGHINGE_TEST_NETWORK", "60"))  # differs between parallel runs
END_NETWORK = 250
_networks = itertools.cycle(range(FIRST_NETWORK, END_NETWORK))


class Reply(msgspec.Struct):
    """The response to a caller; status 0 if the connection ended before it was complete."""

    status: int
    headers: dict[str, str] = {}
    body: bytes = b""
    was_refused: bool = False


class RouterFleet:
    """Router processes on the loopback addresses of a separate network.

    :param shards: number of shards, each a service with a server in each data centre
    :param has_single: whether a service that is no shard has servers as well
    :param accounts: records of client accounts; without any, callers need no key
    :param changed_settings: settings of all routers that differ from the usual ones
    """

    def __init__(
        self,
        directory: Path,
        network: int,
        routers: int = 2,
        *,
        shards: int = SHARDS,
        has_single: bool = True,
        accounts: list[dict] | None = None,
        changed_settings: dict | None = None,
    ) -> None:
        self.directory = directory
        self._accounts = accounts
        self._changed_settings = changed_settings or {}
        self.network = network
        self.runs: list[Run] = []
        self.events = ServerEvents(self.list_server)
        self.store = StandinStore()
        self.servers: list[ShardServer] = []
        self.processes: dict[int, subprocess.Popen] = {}
        self.version = 0
        self._routers = routers
        self.events.routers = {self.address(number): number for number in range(routers)}
        self._shards = [f"shard{number}" for number in range(shards)]
        self.has_single = has_single
        self._ids = itertools.count(1)
        self._instances = itertools.count(1)

    def address(self, number: int) -> str:
        """Return the address of a router."""
        return f"127.{self.network}.{number % len(ZONES) + 1}.{number + 1}"

    async def start(self) -> None:
        """Start everything and wait until each router is ready."""
        self.store.start(8229, f"127.{self.network}.9.1")
        for service in [*self._shards, *(["single"] if self.has_single else [])]:
            for zone in ZONES:
                await self.add_server(service, zone)
        await self.configure()
        for number in range(self._routers):
            self.start_router(number)
        for number in range(self._routers):
            await self.ready(number)

    async def stop(self) -> None:
        """Kill the routers and stop the stand-ins."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        for server in self.servers:
            await server.stop()
        await self.store.stop()

    async def add_server(self, service: str, zone: str, **changes) -> ShardServer:
        """Start a backend server and write its record to the store."""
        number = next(self._instances)
        server = ShardServer(
            f"i-{number:03}", service, self.runs, zone=zone, events=self.events, **changes
        )
        server.start(BACKEND_PORT + number, f"127.{self.network}.8.1")
        self.servers.append(server)
        await self.list_server(server)
        return server

    async def list_server(self, server: ShardServer) -> None:
        """Write a backend server's record to the store."""
        await self.store.put(f"servers/{server.instance_id}", server.store_value())

    async def configure(self, **changes) -> int:
        """Publish the next version of the configuration and return its number."""
        self.version += 3
        common = {"host": HOST, "timeout-ms": 2000, "latency-target-ms": 300, "max-attempts": 2}
        routes = [
            common
            | {"name": "all", "prefix": "/all/", "kind": "idempotent", "gather": self._shards}
            | {"top-k": 5, "min-coverage": 0.75},
            common | {"name": "one", "prefix": "/one/", "kind": "idempotent", "service": "single"},
            common
            | {"name": "once", "prefix": "/once/", "kind": "non_idempotent", "service": "single"},
            *changes.get("routes", ()),
        ]
        services = [{"name": name, "max-conns": 36} for name in [*self._shards, "single"]]
        limits = changes.get("limits", {})
        config = {"version": self.version, "routes": routes, "services": services, "limits": limits}
        accounts = changes.get("accounts", self._accounts)
        if accounts is not None:
            config["tenants"] = accounts
        await self.store.put("op/config", config)
        return self.version

    def start_router(self, number: int, *, writes_settings: bool = True) -> None:
        """Start a router process whose output goes to a separate file.

        :param writes_settings: whether its settings file is written, or is left as it is
        """
        address = self.address(number)
        seeds = [self.address(seed) for seed in range(3)]
        platform = f"127.{self.network}.9.1:8229"
        settings = router_settings(address, number, platform, seeds) | self._changed_settings
        path = self.directory / f"node-{number}.json"
        if writes_settings:
            path.write_bytes(msgspec.json.encode(settings))
        with open(self.directory / f"router-{number}.log", "ab") as output:
            self.processes[number] = subprocess.Popen(
                [*ROUTER_COMMAND, "--settings-file", str(path)],
                stdout=output,
                stderr=output,
            )

    def handles_hang_up(self, number: int) -> bool:
        """Return whether a router process ignores or handles SIGHUP already."""
        status = Path(f"/proc/{self.processes[number].pid}/status").read_text()
        masks = dict(line.split(":", 1) for line in status.splitlines())
        handled = int(masks["SigIgn"], 16) | int(masks["SigCgt"], 16)
        return bool(handled >> (signal.SIGHUP - 1) & 1)

    def signal(self, number: int, what: signal.Signals) -> None:
        """Send a signal to a router process."""
        self.processes[number].send_signal(what)

    async def ready(self, number: int) -> None:
        """Wait until a router reports that it is ready.

        :raises TimeoutError: after ``START_TIMEOUT_S``
        """

        async def is_ready() -> bool:
            return (await self.get(number, READY_PORT, "/v1/ready")).status == 200

        await wait_until(is_ready, START_TIMEOUT_S)

    async def exited(self, number: int, within_s: float) -> int:
        """Wait for the end of a router and return its exit code.

        :raises TimeoutError: if it still runs after ``within_s`` seconds
        """

        process = self.processes[number]

        async def has_exited() -> bool:
            return process.poll() is not None

        await wait_until(has_exited, within_s)
        return process.returncode

    def lines(self, number: int) -> list[dict]:
        """Return the decoded lines of a router's log."""
        path = self.directory / f"router-{number}.log"
        return [msgspec.json.decode(line) for line in path.read_bytes().splitlines()]

    async def addresses(self, number: int, zone: str = "z1") -> list[str]:
        """Return the router addresses that a router returns to a caller."""
        reply = await self.get(number, ADDRESS_PORT, f"/v1/resolve?name=h&region=r&zone={zone}")
        return msgspec.json.decode(reply.body)["addrs"]

    async def get(self, number: int, port: int, path: str) -> Reply:
        """Send a GET request to one of a router's ports."""
        connection = CallerConnection(self.address(number), port)
        try:
            return await connection.send(f"GET {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
        finally:
            connection.close()

    def request(
        self,
        path: str,
        *,
        method: str = "GET",
        body: bytes = b"",
        caller_timeout_ms: int = 2000,
        key: str = "",
    ):
        """Return the identifier and the encoded form of a new request.

        :param key: a key of the caller's client account, if it has one
        """
        request_id = f"r{next(self._ids):06}"
        head = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Request-Id: {request_id}",
            f"X-Deadline-Ms: {caller_timeout_ms}",
            f"Content-Length: {len(body)}",
            *([f"Authorization: Token {key}"] if key else []),
        ]
        return request_id, "\r\n".join([*head, "", ""]).encode() + body

    async def ask(self, number: int, path: str, **changes) -> tuple[str, Reply]:
        """Send a caller's request on a new connection; return its identifier and the response."""
        request_id, data = self.request(path, **changes)
        connection = CallerConnection(self.address(number), FRONT_PORT)
        try:
            return request_id, await connection.send(data)
        finally:
            connection.close()


def router_settings(address: str, number: int, platform: str, seeds: Iterable[str] = ()) -> dict:
    """Return the settings of a router.

    :param platform: host and port of the store
    """
    return {
        "node-name": f"front-{number}",
        "ip": address,
        "zone": ZONES[number % len(ZONES)],
        "region": "r",
        "zones": dict.fromkeys(ZONES, "r"),
        "listen": {
            "front": f"{address}:{FRONT_PORT}",
            "ready": f"{address}:{READY_PORT}",
            "directory": f"{address}:{ADDRESS_PORT}",
            "control": f"{address}:{CONTROL_PORT}",
        },
        "internal-port-range": [GOSSIP_PORT, GOSSIP_PORT + 15],
        "seeds": [f"{seed}:{CONTROL_PORT}" for seed in seeds],
        "bounds": {"grace-s": STOP_TIMEOUT_S, "budget-slack": 56, "retry-budget-ratio": 0.2},
        "platform": {"address": platform},
    }


def run_on_fleet(
    directory: Path,
    work: Callable[[RouterFleet], Awaitable],
    fleet_class: type[RouterFleet] = RouterFleet,
    **changes,
):
    """Run a coroutine function on a new fleet and return its result."""

    async def run():
        fleet = fleet_class(directory, next(_networks), **changes)
        try:
            await fleet.start()
            return await work(fleet)
        finally:
            await fleet.stop()

    return asyncio.run(run())


async def wait_until(condition: Callable[[], Awaitable[bool]], within_s: float) -> None:
    """Poll a condition until it holds.

    :raises TimeoutError: if it does not hold within ``within_s`` seconds
    """
    end_s = asyncio.get_running_loop().time() + within_s
    for _ in range(int(within_s / POLL_INTERVAL_S) + 1):
        if await condition():
            return
        if asyncio.get_running_loop().time() >= end_s:
            break
        await asyncio.sleep(POLL_INTERVAL_S)
    raise TimeoutError(f"not met within {within_s} s")


class CallerConnection:
    """A caller's persistent connection, opened by the first request."""

    def __init__(self, host: str, port: int) -> None:
        self._host, self._port = host, port
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def send(self, data: bytes) -> Reply:
        """Send a request and return the response."""
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                if self._streams is None:
                    self._streams = await asyncio.open_connection(self._host, self._port)
                reader, writer = self._streams
                writer.write(data)
                return await _read(reader)
        except ConnectionRefusedError:
            return Reply(0, was_refused=True)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            self.close()
            return Reply(0)

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


async def _read(reader: asyncio.StreamReader) -> Reply:
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Reply(int(lines[0].split(" ")[1]), headers, body)
