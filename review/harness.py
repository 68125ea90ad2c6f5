"""Small stand-ins for the review's scripts: the store, backend servers, clients and the platform.

They use the standard library only and follow the users' pages (PROTOCOL.md, DEPLOY.md). The routers
are started with the command of the deploy file, on loopback addresses and the real clock.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import itertools
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[1]
ZONES = ("z1", "z2", "z3")
HOST = "search.example"
MEMORY_MB = 300
RESTART_DELAY_S = 0.5
HEARTBEAT_S = 1.2
CUT_OFF = "connection closed without an answer"
BOUNDS = {
    "seed-lag-s": 3, "reuse-after-s": 2, "stability-window-ms": 4000, "ack-ms": 5000,
    "catch-up-s": 4, "drain-ms": 3000, "grace-s": 6, "loss-slack-ms": 200,
    "config-apply-ms": 3000, "rollback-slack-ms": 250, "max-skew-ms": 12000,
    "retry-budget-ratio": 0.2, "budget-window-s": 10, "budget-slack": 56, "cold-overage": 1.5,
    "cold-slack": 5, "evacuate-ms": 5000, "recovery-s": 12, "ttl_max_s": 5,
}  # fmt: skip


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.started_s = time.monotonic()
        self._file = open(path, "w", buffering=1)

    def now_s(self) -> float:
        return time.monotonic() - self.started_s

    def write(self, *words: object) -> None:
        self._file.write(f"{self.now_s():8.3f} " + " ".join(str(word) for word in words) + "\n")


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Return the first line, the headers and the body of a message, if there is a whole one."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in head[1:] if line)
        headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, OSError, asyncio.LimitOverrunError):
        return None
    return head[0], headers, body


def encode(status: int, headers: dict[str, str], body: bytes) -> bytes:
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode("latin-1") + body


class HttpServer:
    """Serves requests on one address; can be away, refusing or without any response."""

    def __init__(self) -> None:
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self.host, self.port = "", 0

    async def listen(self, host: str, port: int = 0) -> None:
        self._server = await asyncio.start_server(self._serve, host, port, limit=1 << 22)
        self.host, self.port = self._server.sockets[0].getsockname()[:2]

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self._writers.add(writer)
        self._tasks.add(task)
        try:
            while (message := await read_message(reader)) is not None:
                if not await self.answer(*message, writer):
                    break
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.close()

    async def answer(self, line: str, headers: dict, body: bytes, writer) -> bool:
        raise NotImplementedError


class Store(HttpServer):
    """The platform's store: revisions, history, watches, and the drill that restores a copy.

    ``rejected`` holds addresses of machines that get 503.
    """

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.record = record
        self.revision = 100
        self.era = 1
        self.items: dict[str, tuple[int, bytes, int]] = {}
        self.events: list[dict] = []
        self.is_away = False
        self.rejected: set[str] = set()
        self._changed = asyncio.Event()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def put(self, key: str, value: object, *, is_heartbeat: bool = False) -> int:
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (self.revision, raw, created)
        self.events.append(_item(key, *self.items[key]))
        if not is_heartbeat:
            self.record.write("store put", key, "revision", self.revision, f"{len(raw)} bytes")
        self._wake()
        return self.revision

    def delete(self, key: str) -> None:
        del self.items[key]
        self.revision += 1
        self.events.append({"key": key, "revision": self.revision, "deleted": True})
        self.record.write("store delete", key, "revision", self.revision)
        self._wake()

    def copy(self) -> tuple:
        return self.revision, dict(self.items), list(self.events)

    def go_away(self) -> None:
        """Cut all watches and connections, and give no response from now on."""
        self.is_away = True
        self.record.write("store away at revision", self.revision, "era", self.era)
        for writer in list(self._writers):
            writer.transport.abort()
        self._wake()

    def fall_silent(self) -> None:
        """Give no response to calls that come from now on; connections stay open."""
        self.is_away = True
        self.record.write("store silent at revision", self.revision)

    def speak_again(self) -> None:
        """Answer further calls; those that came in the silence get no response any more."""
        self.is_away = False
        self.record.write("store answers again")
        self._wake()

    def come_back(self, copy: tuple) -> None:
        self.revision, self.items, self.events = copy[0], dict(copy[1]), list(copy[2])
        self.era += 1
        self.is_away = False
        self.record.write("store back from a copy, revision", self.revision, "era", self.era)

    async def answer(self, line: str, headers: dict, body: bytes, writer) -> bool:
        url = urlsplit(line.split(" ")[1])
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        peer = writer.get_extra_info("peername")[0]
        if self.is_away:
            await asyncio.sleep(3600)
        if peer in self.rejected:
            status, content = 503, {}
        elif url.path == "/v1/kv-range":
            status, content = 200, self._range(query)
        elif url.path == "/v1/kv-watch":
            status, content = await self._watch(query)
        else:
            status, content = 404, {}
        if self.is_away:
            await asyncio.sleep(3600)
        if status != 200 or query.get("prefix") == "op/" or url.path == "/v1/kv-range":
            self.record.write(
                "store answer", peer, url.path, query.get("prefix"),
                "after", query.get("after", "-"),
                "->", status, "store-revision", content.get("store-revision"), "era", self.era
            )  # fmt: skip
        headers = {"Content-Type": "application/json", "Store-Era": str(self.era)}
        writer.write(encode(status, headers, json.dumps(content).encode()))
        await writer.drain()
        return True

    def _range(self, query: dict[str, str]) -> dict:
        after = query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > after)
        items = [_item(key, *self.items[key]) for key in keys[:50]]
        return {"items": items, "has-more": len(keys) > 50, "store-revision": self.revision}

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict]:
        after, end_s = int(query["after"]), time.monotonic() + int(query["wait-ms"]) / 1000
        era = self.era
        while True:
            if self.era != era or after > self.revision:
                return 410, {}
            events = [
                event
                for event in self.events
                if event["revision"] > after and event["key"].startswith(query["prefix"])
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "store-revision": self.revision}
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)
            if self.is_away:
                await asyncio.sleep(3600)


def _item(key: str, revision: int, raw: bytes, created: int) -> dict:
    value = base64.b64encode(raw).decode()
    return {"key": key, "value": value, "revision": revision, "created": created, "lease": 0}


class Backend(HttpServer):
    """A backend server that runs each request and answers with its signature."""

    def __init__(self, record: Record, instance_id: str, service: str, zone: str) -> None:
        super().__init__()
        self.record = record
        self.instance_id, self.service, self.zone = instance_id, service, zone
        self.work_s = 0.005
        self.runs: list[tuple[float, str, str]] = []  # time, request id, path
        self.born = int(time.time() * 1000)
        self.seq = 1

    def entry(self, **changes: object) -> dict:
        return {
            "service": self.service, "address": f"{self.host}:{self.port}", "zone": self.zone,
            "version": "v1", "slots": 4, "state": "ready", "cold-left-ms": 0,
            "seq": self.seq, "born": self.born,
        } | changes  # fmt: skip

    async def answer(self, line: str, headers: dict, body: bytes, writer) -> bool:
        path = line.split(" ")[1]
        request_id = headers.get("x-request-id", "")
        if headers.get("x-expect-instance", self.instance_id) != self.instance_id:
            refusal = {"X-Request-Id": request_id, "X-Not-Executed": "1"}
            writer.write(encode(421, refusal, b""))
            return True
        self.runs.append((self.record.now_s(), request_id, path))
        self.record.write("run", request_id, path, "by", self.instance_id, "of", self.service)
        return await self.respond(path, request_id, writer)

    async def respond(self, path: str, request_id: str, writer) -> bool:
        await asyncio.sleep(self.work_s)
        records = b"".join(random.randbytes(16) for _ in range(6))
        writer.write(encode(200, self.answer_headers(request_id), records))
        await writer.drain()
        return True

    def answer_headers(self, request_id: str) -> dict[str, str]:
        stamp = f"{self.instance_id}.{request_id}"
        return {"X-Request-Id": request_id, "X-Server-Stamp": stamp, "X-Server-Load": "1,0,4"}


class Reply:
    """The answer that a client got; status 0 if there was none until ``took_s``."""

    def __init__(
        self, request_id: str, status: int, headers: dict, body: bytes, note: str, took_s: float
    ) -> None:
        self.request_id, self.status, self.headers = request_id, status, headers
        self.body, self.note, self.took_s = body, note, took_s


class Fleet:
    """Router processes, restarted by the stand-in platform whenever they end.

    ``own_ends`` counts the ends that the platform did not cause, and those for memory over the
    limit, for each router.
    """

    def __init__(self, record: Record, routers: int, *, seed: int | None = None) -> None:
        self.record = record
        self.directory = Path(tempfile.mkdtemp(prefix="review-"))
        self.network = random.randint(70, 220)
        self.routers = routers
        self.store = Store(record)
        self.backends: list[Backend] = []
        self.processes: dict[int, subprocess.Popen] = {}
        self.own_ends = dict.fromkeys(range(routers), 0)
        self.peak_mb = dict.fromkeys(range(routers), 0.0)
        self.ports = self._free_ports()
        self._ids = itertools.count(1)
        self._instances = itertools.count(1)
        self._is_stopping = False
        self._background: list[asyncio.Task] = []
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._command = deploy["roles"]["router"]["run"].split()

    def address(self, number: int) -> str:
        return f"127.{self.network}.{number % len(ZONES) + 1}.{number + 1}"

    def backend_host(self) -> str:
        return f"127.{self.network}.8.1"

    def _free_ports(self) -> dict[str, int]:
        """Return ports that are free at all routers' addresses."""
        names = ("front", "ready", "control", "directory", "gossip", "metrics")
        for first in random.sample(range(20_000, 30_000, 20), 400):
            ports = {name: first + index for index, name in enumerate(names)}
            ports["metrics"] = ports["gossip"] + 1
            if all(
                _is_free(self.address(number), port, kind)
                for number in range(self.routers)
                for port in ports.values()
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM)
            ):
                return ports
        raise OSError("no free ports")

    async def add_backend(self, service: str, zone: str, kind: type = Backend) -> Backend:
        backend = kind(self.record, f"i-{next(self._instances):04}", service, zone)
        await backend.listen(self.backend_host())
        self.backends.append(backend)
        self.store.put(f"servers/{backend.instance_id}", backend.entry())
        self._background.append(asyncio.create_task(self._beat(backend)))
        return backend

    async def _beat(self, backend: Backend) -> None:
        """Write a backend's entry at each heartbeat, as long as the store is there."""
        await asyncio.sleep(random.uniform(0.0, HEARTBEAT_S))
        while True:
            backend.seq += 1
            if not self.store.is_away:
                key = f"servers/{backend.instance_id}"
                self.store.put(key, backend.entry(), is_heartbeat=True)
            await asyncio.sleep(HEARTBEAT_S)

    async def start(self, config: dict) -> None:
        """Start the store and the routers, and wait until all are ready."""
        await self.store.listen(f"127.{self.network}.9.1")
        self.store.put("op/config", config)
        for number in range(self.routers):
            self.start_router(number, is_first=True)
        self._background.append(asyncio.create_task(self._supervise()))
        for number in range(self.routers):
            await self.wait_ready(number, 20.0)

    def start_router(self, number: int, *, is_first: bool = False) -> None:
        address, ports = self.address(number), self.ports
        settings = {
            "node-name": f"front-{number}", "role": "router", "machine-class": "front",
            "serves": ["front", "control_plane", "directory"], "ip": address,
            "zone": ZONES[number % len(ZONES)], "region": "r", "zones": dict.fromkeys(ZONES, "r"),
            "listen": {name: f"{address}:{ports[name]}"
                       for name in ("front", "ready", "control", "directory")},
            "internal-port-range": [ports["gossip"], ports["gossip"] + 15],
            "seeds": [f"{self.address(seed)}:{ports['control']}"
                      for seed in range(min(3, self.routers))],
            "bootstrap": is_first, "in-tolerance": False,
            "limits": {"cpu-share": 0.537, "cores": 2, "memory-mb": MEMORY_MB, "max-fds": 4100,
                       "link-mbps": 1000.0, "disk-mb": 0},
            "data-dir": None, "discovery": "platform", "entry": "directory", "heartbeat-ms": 1200,
            "bounds": BOUNDS,
            "platform": {"address": f"{self.store.host}:{self.store.port}", "form": "read",
                         "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576},
        }  # fmt: skip
        path = self.directory / f"node-{number}.json"
        path.write_text(json.dumps(settings))
        env = {
            "PATH": os.environ["PATH"], "HOME": str(self.directory), "LANG": "C.UTF-8",
            "FIGHINGE_BOOT": str(path), "PYTHONPATH": str(ROOT / "target" / "deps"),
        }  # fmt: skip
        with open(self.directory / f"router-{number}.log", "ab") as log:
            self.processes[number] = subprocess.Popen(
                self._command, cwd=ROOT, env=env, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )
        self.record.write("start router", number)

    async def _supervise(self) -> None:
        """Restart processes that end, and kill those that exceed their memory."""
        while not self._is_stopping:
            for number, process in list(self.processes.items()):
                if process.poll() is not None:
                    self.own_ends[number] += 1
                    self.record.write("router", number, "ended, exit code", process.returncode)
                    await asyncio.sleep(RESTART_DELAY_S)
                    self.start_router(number)
                    continue
                used_mb = _memory_mb(process.pid)
                self.peak_mb[number] = max(self.peak_mb[number], used_mb)
                if used_mb > MEMORY_MB:
                    self.record.write("router", number, f"uses {used_mb:.0f} MB and is killed")
                    process.kill()
                    process.wait()
            await asyncio.sleep(0.02)

    async def wait_ready(self, number: int, within_s: float) -> None:
        end_s = time.monotonic() + within_s
        while time.monotonic() < end_s:
            reply = await self.get(number, "ready", "/v1/ready")
            if reply == 200:
                return
            await asyncio.sleep(0.1)
        raise TimeoutError(f"router {number} is not ready")

    async def get(self, number: int, port: str, path: str) -> int:
        """Return the status of one of the platform's own calls, 0 if there is no answer."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self.address(number), self.ports[port]
                )
                try:
                    writer.write(f"GET {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
                    message = await read_message(reader)
                    return int(message[0].split(" ")[1]) if message else 0
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return 0

    async def ask(
        self, number: int, path: str, *, method: str = "GET", body: bytes = b"",
        deadline_ms: int = 2000,
    ) -> Reply:  # fmt: skip
        """Send a client's request on a new connection; wait for the answer until its deadline."""
        request_id = f"q{next(self._ids):06}"
        lines = [
            f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Request-Id: {request_id}",
            f"X-Deadline-Ms: {deadline_ms}",
        ]  # fmt: skip
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.record.write("sent", request_id, method, path, "to router", number)
        writer, note, sent_s = None, "", self.record.now_s()
        status, headers, content = 0, {}, b""
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                reader, writer = await asyncio.open_connection(
                    self.address(number), self.ports["front"]
                )
                writer.write("\r\n".join([*lines, "", ""]).encode() + body)
                message = await read_message(reader)
                if message is None:
                    note = CUT_OFF
                else:
                    first, headers, content = message
                    status = int(first.split(" ")[1])
        except TimeoutError:
            note = f"no answer in {deadline_ms} ms"
        except OSError as error:
            note = f"no connection: {type(error).__name__}"
        finally:
            if writer is not None:
                writer.close()
        self.record.write("answer", request_id, status, note, content[:60] if status > 299 else "")
        took_s = self.record.now_s() - sent_s
        return Reply(request_id, status, headers, content, note, took_s)

    async def stop(self) -> None:
        """End all processes and stand-ins."""
        self._is_stopping = True
        for task in self._background:
            task.cancel()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
            process.wait()
        for server in [*self.backends, self.store]:
            await server.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


def _memory_mb(pid: int) -> float:
    try:
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    except (OSError, IndexError, ValueError):
        return 0.0
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def _is_free(host: str, port: int, kind: int) -> bool:
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


def route(name: str, prefix: str, kind: str = "idempotent", **fields: object) -> dict:
    return {
        "name": name, "host": HOST, "prefix": prefix, "kind": kind, "max-attempts": 2,
        "timeout-ms": 2000, "latency-target-ms": 300, "priority": 1,
    } | fields  # fmt: skip


def config(version: int, routes: list[dict], services: list[str], max_conns: int = 110) -> dict:
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "health-path": "/health", "max-conns": max_conns} for name in services
        ],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                   "header-timeout-ms": 10000, "idle-timeout-ms": 60000},
    }  # fmt: skip


def play(script: str, work, *, has_trouble: bool) -> int:
    """Run a case and return the exit code: 1 if the rule was broken, 0 if it held, 2 otherwise.

    :param work: a coroutine function that gets the record, and returns whether the rule was broken
    :param has_trouble: whether the disruption is played
    """

    path = Path(script).resolve().parent / "record.txt"

    async def run() -> int:
        record = Record(path)
        record.write("trouble" if has_trouble else "no trouble")
        try:
            async with asyncio.timeout(115):
                was_broken = await work(record)
        except Exception as error:
            record.write("the case could not run:", repr(error))
            return 2
        record.write("the rule was broken" if was_broken else "the rule held")
        return 1 if was_broken else 0

    return asyncio.run(run())
