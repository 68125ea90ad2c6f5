"""A fleet whose backend servers run in their own processes, with usage and fault control."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from benchmarks.usage import Usage, read_usage
from demo.fleet import BACKEND_HOST, PLATFORM_HOST, PLATFORM_PORT, READY_TIMEOUT_S, Fleet
from fighinge.configuration.history import BASE_KEY, PATCH_PREFIX
from fighinge.model import decode_document
from standins import platform_http
from standins.behaviour import Counters
from standins.platform import StandinPlatform

if TYPE_CHECKING:
    from benchmarks.shapes import FleetShape
    from fighinge.configuration.base import ListedHost

FIRST_CONTROL_PORT = 8900
STATUS_PORTS = {"entry": 8070, "aggregator": 8071}
SECOND_SIGTERM_DELAY_S = 0.2
START_TIMEOUT_S = 15.0
CONTROL_TIMEOUT_S = 10.0


class MemberStatus(msgspec.Struct):
    """The state of a member as reported by a process."""

    name: str
    state: str
    leaving: bool


class ProcessStatus(msgspec.Struct):
    """The fields of a process's status that are measured."""

    name: str
    configuration_version: int
    members: list[MemberStatus]
    sent_bytes: int


POLL_INTERVAL_S = 0.05


class MeasuredFleet(Fleet):
    """A fleet with stand-in backend servers in separate processes."""

    def __init__(self, shape: FleetShape, settings: str, seed: int) -> None:
        super().__init__(shape.document(), shape.hosts(), settings)
        self.shape = shape
        self.document = decode_document(self.raw_document)
        self.platform = StandinPlatform()
        self.patch_count = 0
        self._seed = seed
        self._standins: list[asyncio.subprocess.Process] = []
        self._control_address_by_server: dict[str, str] = {}
        self._control_addresses: list[str] = []
        self._http = AsyncHTTPClient(force_instance=True, max_clients=200)

    async def __aenter__(self) -> MeasuredFleet:
        """Start all processes."""
        try:
            await self.start()
        except BaseException:
            await self.kill_all()
            raise
        return self

    async def __aexit__(self, *_error: object) -> None:
        """Stop all processes, and kill those that do not stop in time.

        A second SIGTERM, sent by :meth:`stop`, ends the wait until callers know of the stop.
        """
        for signal_number in (signal.SIGCONT, signal.SIGTERM):
            for process in self.processes.values():
                if process.returncode is None:
                    process.send_signal(signal_number)
        await asyncio.sleep(SECOND_SIGTERM_DELAY_S)
        try:
            await self.stop()
        except TimeoutError:
            print("a process did not stop in time; killing it", file=sys.stderr)
        finally:
            await self.kill_all()

    async def kill_all(self) -> None:
        """Kill every process that still runs."""
        for process in (*self.processes.values(), *self._standins):
            if process.returncode is None:
                process.kill()
                await process.wait()

    async def start_standins(self) -> None:
        """Start the platform in this process and the backend servers in others."""
        self.platform.hosts = self.hosts
        self._http_servers.append(platform_http.listen(self.platform, PLATFORM_HOST, PLATFORM_PORT))
        await self.platform.publish(BASE_KEY, self.encoded_base())
        path = Path(self._directory.name) / "document.json"
        path.write_bytes(self.raw_document)
        names = list(self.document.backend_servers)
        for number in range(min(self.shape.standin_processes, len(names))):
            server_names = names[number :: self.shape.standin_processes]
            control_address = f"{BACKEND_HOST}:{FIRST_CONTROL_PORT + number}"
            self._control_addresses.append(control_address)
            self._control_address_by_server.update(dict.fromkeys(server_names, control_address))
            await self._start_standin(path, server_names, control_address)
        async with asyncio.timeout(START_TIMEOUT_S):
            await asyncio.gather(
                *(
                    self._wait_listening(control_address)
                    for control_address in self._control_addresses
                )
            )

    async def _start_standin(self, path: Path, names: list[str], control_address: str) -> None:
        command = ["-m", "standins.serve_backends", str(path), "--servers", ",".join(names)]
        behaviour = msgspec.json.encode(self.shape.initial_behaviour()).decode()
        options = [
            "--behaviour",
            behaviour,
            "--control",
            control_address,
            "--seed",
            str(self._seed),
        ]
        self._standins.append(
            await asyncio.create_subprocess_exec(sys.executable, *command, *options)
        )

    async def _wait_listening(self, control_address: str) -> None:
        while True:
            try:
                await self._http.fetch(f"http://{control_address}/counters")
                return
            except OSError:
                await asyncio.sleep(0.05)

    async def stop_standins(self) -> None:
        """Stop the stand-ins."""
        await super().stop_standins()
        for process in self._standins:
            if process.returncode is None:
                process.terminate()

    async def send_control_request(
        self, server: str, path: str, body: bytes = b"", method: str = "PUT"
    ) -> None:
        """Send a control request for one backend server."""
        url = f"http://{self._control_address_by_server[server]}/servers/{server}/{path}"
        await self._http.fetch(
            HTTPRequest(url, method=method, body=body, request_timeout=CONTROL_TIMEOUT_S)
        )

    async def set_behaviour(self, servers: list[str], **fields: object) -> None:
        """Set behaviour fields of some backend servers."""
        body = msgspec.json.encode(fields)
        await asyncio.gather(
            *(self.send_control_request(name, "behaviour", body) for name in servers)
        )

    async def counters(self) -> dict[str, Counters]:
        """Return the counters of each backend server, without executions by request."""
        answers = await asyncio.gather(
            *(
                self._http.fetch(f"http://{control_address}/counters")
                for control_address in self._control_addresses
            )
        )
        counters: dict[str, Counters] = {}
        for answer in answers:
            counters.update(msgspec.json.decode(answer.body, type=dict[str, Counters]))
        return counters

    async def executions(self) -> dict[str, dict[str, int]]:
        """Return the number of executions of each request, by backend server."""
        executions: dict[str, dict[str, int]] = {}
        for server, control_address in self._control_address_by_server.items():
            url = f"http://{control_address}/servers/{server}/counters?executions=1"
            answer = await self._http.fetch(url, request_timeout=CONTROL_TIMEOUT_S)
            executions[server] = msgspec.json.decode(answer.body, type=Counters).executions
        return executions

    def server_names_in(self, zone: str) -> list[str]:
        """Return the names of the backend servers of a data centre; of all if ``zone`` is empty."""
        return [
            name
            for name, server in self.document.backend_servers.items()
            if zone in ("", server.zone)
        ]

    def usage(self, role: str) -> Usage:
        """Return the usage of the running processes of a role so far."""
        pids = [
            process.pid
            for (process_role, _address), process in self.processes.items()
            if process_role == role and process.returncode is None
        ]
        return read_usage(pids)

    async def process_statuses(self) -> list[ProcessStatus]:
        """Return the status of each process that answers."""
        urls = [
            f"http://{address}:{STATUS_PORTS[role]}/v1/status" for role, address in self.processes
        ]
        answers = await asyncio.gather(
            *(self._http.fetch(url, request_timeout=1.0) for url in urls), return_exceptions=True
        )
        return [
            msgspec.json.decode(answer.body, type=ProcessStatus)
            for answer in answers
            if not isinstance(answer, BaseException)
        ]

    async def sent_bytes(self) -> int:
        """Return the datagram bytes that all processes have sent."""
        return sum(status.sent_bytes for status in await self.process_statuses())

    async def publish_patch(self, operations: list[dict]) -> int:
        """Publish a patch as an operator does and return the resulting version."""
        self.patch_count += 1
        patch = {"applies_to": self.patch_count, "operations": operations}
        key = f"{PATCH_PREFIX}{self.patch_count:08d}"
        await self.platform.publish(key, msgspec.json.encode(patch))
        return self.patch_count + 1

    def send_signal(self, role: str, host: ListedHost, signal_number: signal.Signals) -> None:
        """Send a signal to one process."""
        os.kill(self.processes[role, host.address].pid, signal_number)

    async def restart_process(
        self, role: str, host: ListedHost, *, waits_until_alive: bool = True
    ) -> int:
        """Restart a process gracefully and return its exit code.

        :param waits_until_alive: whether to return only once all processes that answer see
            the new one as alive
        """
        process = self.processes[role, host.address]
        process.terminate()
        code = await process.wait()
        await self.start_process(role, host)
        if role == "entry":
            await self.wait_ready(host)
        if waits_until_alive:
            await self._wait_alive(f"{role}@{host.address}")
        return code

    async def _wait_alive(self, member_name: str) -> None:
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                statuses = await self.process_statuses()
                if all(_is_alive(status, member_name) for status in statuses):
                    return
                await asyncio.sleep(POLL_INTERVAL_S)


def _is_alive(status: ProcessStatus, member_name: str) -> bool:
    return any(
        member.name == member_name and member.state == "alive" and not member.leaving
        for member in status.members
    )
