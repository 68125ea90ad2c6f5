"""Start a small fleet and its stand-ins on loopback addresses."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPError

from fighinge.configuration.base import ListedHost
from fighinge.configuration.history import BASE_KEY
from fighinge.model import decode_document
from standins import backend_http, platform_http
from standins.backend import StandinServer
from standins.platform import StandinPlatform
from standins.records import shard_map

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tornado.httpserver import HTTPServer

LOOPBACK_NET = f"127.{os.environ.get('FIGHINGE_NET', '1')}"
PLATFORM_HOST = f"{LOOPBACK_NET}.0.1"
PLATFORM_PORT = 8500
BACKEND_HOST = f"{LOOPBACK_NET}.2.1"
FIRST_BACKEND_PORT = 9000
ENTRY_PORT = 8080
ROLES = ("aggregator", "entry")
ADDRESS_TTL_S = 1.0
READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 20.0
ZONES = ("sa-1", "sa-2")
HOSTS_PER_ZONE = 2
SHARD_COUNT = 12
REPLICAS_PER_SHARD = 3


def document() -> dict:
    """Return the configuration document of the demo."""
    servers = {}
    for number in range(SHARD_COUNT):
        servers[f"b{number:02d}"] = {
            "host": BACKEND_HOST,
            "port": FIRST_BACKEND_PORT + number,
            "zone": ZONES[number % len(ZONES)],
            "slots": 4,
            "connection_limit": 35,
        }

    def replicas_of(shard: int) -> list[str]:
        first = shard // REPLICAS_PER_SHARD * REPLICAS_PER_SHARD
        return [f"b{first + offset:02d}" for offset in range(REPLICAS_PER_SHARD)]

    return {
        "zones": {zone: {"region": "texas"} for zone in ZONES},
        "classes": {"desk": {"weight": 8, "rank": 0}, "batch": {"weight": 1, "rank": 9}},
        "backend_servers": servers,
        "collections": {
            "attendees": {
                "snapshots": [{"index_version": 7, "shards": shard_map(SHARD_COUNT, replicas_of)}]
            }
        },
        "services": {
            "desk": {"collection": "attendees", "query_class": "desk", "deadline_s": 0.5},
            "badges": {"collection": "attendees", "query_class": "batch", "deadline_s": 2.0},
        },
    }


def listed_hosts(
    zones: Sequence[str] = ZONES, hosts_per_zone: int = HOSTS_PER_ZONE
) -> list[ListedHost]:
    """Return the host list of a fleet on loopback addresses; by default that of the demo."""
    return [
        ListedHost(f"{LOOPBACK_NET}.1.{position * hosts_per_zone + number + 1}", zone)
        for position, zone in enumerate(zones)
        for number in range(hosts_per_zone)
    ]


class Fleet:
    """Processes of each role on a number of hosts, with stand-ins for their surroundings."""

    def __init__(self, raw_document: bytes, hosts: list[ListedHost], settings: str = "") -> None:
        """Create a fleet without starting it.

        :param raw_document: configuration document as JSON
        :param settings: INI text to append to the settings file of each process
        """
        self.raw_document = raw_document
        self.hosts = hosts
        self.processes: dict[tuple[str, str], asyncio.subprocess.Process] = {}
        self.servers: dict[str, StandinServer] = {}
        self._settings = settings
        self._backend_http_servers: dict[str, HTTPServer] = {}
        self._http_servers: list[HTTPServer] = []
        self._directory = tempfile.TemporaryDirectory(prefix="fighinge-")

    async def start(self) -> None:
        """Start the stand-ins and all processes, and wait until each entry is ready."""
        await self.start_standins()
        for host in self.hosts:
            for role in ROLES:
                await self.start_process(role, host)
        await asyncio.gather(*(self.wait_ready(host) for host in self.hosts))

    async def stop(self) -> None:
        """Stop all processes gracefully, then the stand-ins."""
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await asyncio.gather(*(process.wait() for process in self.processes.values()))
        finally:
            await self.stop_standins()
            self._directory.cleanup()

    async def start_standins(self) -> None:
        """Serve the platform and the backend servers in this process."""
        document = decode_document(self.raw_document)
        for name in document.backend_servers:
            server = StandinServer(name, document, seed=1)
            self.servers[name] = server
            self._backend_http_servers[name] = backend_http.listen(server)
        platform = StandinPlatform()
        platform.hosts = self.hosts
        self._http_servers.append(platform_http.listen(platform, PLATFORM_HOST, PLATFORM_PORT))
        await platform.publish(BASE_KEY, self.encoded_base())

    async def stop_standins(self) -> None:
        """Stop listening on all addresses of the stand-ins."""
        for server in (*self._http_servers, *self._backend_http_servers.values()):
            server.stop()

    async def stop_backend_server(self, name: str) -> None:
        """Stop a backend server and close its connections."""
        server = self._backend_http_servers.pop(name)
        server.stop()
        await server.close_all_connections()

    def encoded_base(self) -> bytes:
        """Return the document as the published base configuration of version 1."""
        return msgspec.json.encode({"version": 1, "document": msgspec.Raw(self.raw_document)})

    async def start_process(self, role: str, host: ListedHost) -> None:
        """Write the settings file of a host and start the process of one role."""
        path = Path(self._directory.name) / f"{host.address}.ini"
        path.write_text(
            f"[host]\naddress = {host.address}\nzone = {host.zone}\n"
            f"[platform]\nurl = http://{PLATFORM_HOST}:{PLATFORM_PORT}\n"
            f"[ports]\nentry = {ENTRY_PORT}\n"
            f"[stop]\nkeep_s = {ADDRESS_TTL_S}\n"
            f"[log]\nlevel = WARNING\n{self._settings}",
            encoding="utf-8",
        )
        self.processes[role, host.address] = await asyncio.create_subprocess_exec(
            sys.executable, "-m", f"fighinge.cmd.{role}", str(path)
        )

    async def wait_ready(self, host: ListedHost) -> None:
        """Wait until the entry of a host accepts queries.

        :raises TimeoutError: after ``READY_TIMEOUT_S``
        """
        client = AsyncHTTPClient()
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                try:
                    await client.fetch(f"http://{host.address}:{ENTRY_PORT}/readyz")
                    return
                except (OSError, HTTPError):
                    await asyncio.sleep(0.1)
