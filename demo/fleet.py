"""Starts a small fleet with its stand-ins on loopback addresses."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
from pathlib import Path

import msgspec
from tornado.httpclient import AsyncHTTPClient

from fighinge.configuration.base import HostEntry
from fighinge.configuration.history import BASE_KEY
from fighinge.model import decode_document
from standins import backend, platform
from standins.records import shard_map

LOOPBACK_NET = f"127.{os.environ.get('FIGHINGE_NET', '1')}"
PLATFORM_HOST = f"{LOOPBACK_NET}.0.1"
PLATFORM_PORT = 8500
BACKEND_HOST = f"{LOOPBACK_NET}.2.1"
FIRST_BACKEND_PORT = 9000
ENTRY_PORT = 8080
READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 20.0
ZONES = ("sa-1", "sa-2")
HOSTS_PER_ZONE = 2
SHARDS = 12
REPLICAS = 3


def document() -> dict:
    """Return the configuration document of the demo."""
    servers = {}
    for number in range(SHARDS):
        servers[f"b{number:02d}"] = {
            "host": BACKEND_HOST,
            "port": FIRST_BACKEND_PORT + number,
            "zone": ZONES[number % len(ZONES)],
            "slots": 4,
            "connection_limit": 35,
        }

    def replicas_of(shard: int) -> list[str]:
        first = shard // REPLICAS * REPLICAS
        return [f"b{first + offset:02d}" for offset in range(REPLICAS)]

    return {
        "zones": {zone: {"region": "texas"} for zone in ZONES},
        "classes": {"desk": {"weight": 8, "rank": 0}, "batch": {"weight": 1, "rank": 9}},
        "backend_servers": servers,
        "collections": {
            "attendees": {
                "snapshots": [{"index_version": 7, "shards": shard_map(SHARDS, replicas_of)}]
            }
        },
        "services": {
            "desk": {"collection": "attendees", "query_class": "desk", "deadline_s": 0.5},
            "badges": {"collection": "attendees", "query_class": "batch", "deadline_s": 2.0},
        },
    }


def host_entries() -> list[HostEntry]:
    """Return the hosts of the demo."""
    return [
        HostEntry(f"{LOOPBACK_NET}.1.{zone * HOSTS_PER_ZONE + number + 1}", ZONES[zone])
        for zone in range(len(ZONES))
        for number in range(HOSTS_PER_ZONE)
    ]


class Fleet:
    """The processes of the demo and the stand-ins beside them."""

    def __init__(self) -> None:
        self.hosts = host_entries()
        self.platform = platform.StandinPlatform()
        self.platform.hosts = self.hosts
        self.servers: list[backend.StandinServer] = []
        self._listening = []
        self._directory = tempfile.TemporaryDirectory(prefix="fighinge-")
        self.processes: list[asyncio.subprocess.Process] = []

    async def start(self) -> None:
        """Start everything and wait until every entry is ready."""
        raw = msgspec.json.encode(document())
        decoded = decode_document(raw)
        for name in decoded.backend_servers:
            server = backend.StandinServer(name, decoded, seed=1)
            self.servers.append(server)
            self._listening.append(backend.listen(server))
        self._listening.append(platform.listen(self.platform, PLATFORM_HOST, PLATFORM_PORT))
        base = msgspec.json.encode({"version": 1, "document": msgspec.Raw(raw)})
        await self.platform.publish(BASE_KEY, base)
        for host in self.hosts:
            for role in ("aggregator", "entry"):
                self.processes.append(await self._start_process(role, host))
        await asyncio.gather(*(self._wait_ready(host) for host in self.hosts))

    async def stop(self) -> None:
        """Stop every process gracefully, then the stand-ins."""
        for process in self.processes:
            if process.returncode is None:
                process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(STOP_TIMEOUT_S):
            await asyncio.gather(*(process.wait() for process in self.processes))
        for server in self._listening:
            server.stop()
        self._directory.cleanup()

    async def _start_process(self, role: str, host: HostEntry) -> asyncio.subprocess.Process:
        path = Path(self._directory.name) / f"{host.address}.ini"
        path.write_text(
            f"[host]\naddress = {host.address}\nzone = {host.zone}\n"
            f"[platform]\nurl = http://{PLATFORM_HOST}:{PLATFORM_PORT}\n"
            f"[ports]\nentry = {ENTRY_PORT}\n"
            f"[log]\nlevel = WARNING\n",
            encoding="utf-8",
        )
        return await asyncio.create_subprocess_exec(
            sys.executable, "-m", f"fighinge.cmd.{role}", str(path)
        )

    async def _wait_ready(self, host: HostEntry) -> None:
        client = AsyncHTTPClient()
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                try:
                    await client.fetch(f"http://{host.address}:{ENTRY_PORT}/readyz")
                    return
                except OSError:
                    await asyncio.sleep(0.1)
                except Exception:
                    await asyncio.sleep(0.1)
