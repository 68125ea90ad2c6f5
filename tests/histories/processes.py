"""Entries and aggregators as simulated processes in one event loop, made of production classes."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from fighinge.admission import Admission
from fighinge.aggregator.admitted_sub_queries import AdmittedSubQueries
from fighinge.aggregator.service import AggregatorService
from fighinge.configuration.store import ConfigurationStore
from fighinge.configuration.watcher import ConfigurationWatcher, follow_host_list
from fighinge.entry.at_most_once import AtMostOnceExecutor
from fighinge.entry.query_admission import AdmissionControlledExecutor, CountingExecutor
from fighinge.entry.query_service import QueryService
from fighinge.entry.snapshots import SnapshotChooser
from fighinge.entry.tickets import TicketRegistry
from fighinge.errors import ErrorKind, Failure
from fighinge.facts import FactBoard
from fighinge.membership.fleet import Fleet, Ports
from fighinge.membership.member import GossipPorts, Member, Role
from fighinge.membership.service import Membership
from fighinge.membership.zone_ramp_up import ZoneRampUp
from fighinge.pauses import PauseDetector
from standins.datagrams import NetworkTransport
from standins.direct import DirectBackendClient, DirectLinks
from tests.histories.record import ProcessEnded, ProcessStarted, SearchArrived, VersionActivated

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from fighinge.configuration.base import ListedHost, Values
    from fighinge.configuration.history import AcceptedVersion
    from fighinge.messages import BackendRequest
    from tests.histories.system import System

GOSSIP_PORTS = GossipPorts(8070, 8071)
ADDRESS_TTL_S = 1.5
LINK_LATENCY_S = 0.0015
STATUS_POLL_INTERVAL_S = 0.5
SHUTDOWN_TIMEOUT_S = 5.0


class HostPlatformReader:
    """Read the platform from one host, as far as the injected faults allow."""

    def __init__(self, system: System, host: str) -> None:
        self._system = system
        self._host = host

    async def read(self, prefix: str, after_revision: int, wait_s: float) -> Values | Failure:
        """Read or watch values, or fail while the platform is down or disconnected."""
        values = await self._system.platform.read(prefix, after_revision, wait_s)
        return self._failure() or values

    async def hosts(self) -> list[ListedHost] | Failure:
        """Return the host list, or fail while the platform is down or disconnected."""
        return self._failure() or self._system.platform.hosts

    def _failure(self) -> Failure | None:
        if self._system.platform.down or self._host in self._system.partitioned_hosts:
            return Failure(ErrorKind.NOT_READY, "platform is unreachable")
        return None


class Process:
    """Membership, configuration, admission and life cycle, common to both roles."""

    def __init__(self, system: System, role: Role, host: str, incarnation: int) -> None:
        self.system = system
        self.host = host
        self.name = f"{role.value}@{host}"
        self.clock = asyncio.get_running_loop().time
        self.random = random.Random(f"{self.name} {incarnation} {system.seed}")
        self.board = FactBoard()
        self.store = ConfigurationStore()
        self.store.listen(self._record_activation)
        zone = system.hosts[host]
        self.membership = Membership(
            Member(role, host, zone, incarnation),
            GOSSIP_PORTS,
            NetworkTransport(system.network, GOSSIP_PORTS.address(role, host)),
            self.store,
            self.board,
            self.clock,
            self.random,
        )
        ramp_up = ZoneRampUp(self.board, self.clock)
        self.store.listen(ramp_up.configure)
        self.pauses = PauseDetector(self.clock)
        self.pauses.listen(self.membership.handle_pause)
        self.fleet = Fleet(
            Ports(8080, 8090), self.membership.table, self.board, ramp_up, ADDRESS_TTL_S, self.clock
        )
        self.admission = Admission(zone, self.store, self.membership.sync, self.pauses, self.clock)
        self.resumed = asyncio.Event()
        self.resumed.set()
        self.ended = False
        self._background_tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Start the background tasks, which join the cluster."""
        self.system.history.add(ProcessStarted(at_s=self.clock(), process=self.name))
        self._start_background_tasks()

    def background_work(self) -> list[Coroutine]:
        """Return the coroutines that run until the process pauses or ends."""
        reader = HostPlatformReader(self.system, self.host)
        watcher = ConfigurationWatcher(reader, self.store, self.membership, self.clock, self.random)
        return [
            self.pauses.run(),
            self.membership.run(),
            watcher.run(),
            follow_host_list(reader, self.membership, (), self.fleet.update_hosts, self.random),
        ]

    def pause(self) -> None:
        """Cancel the background tasks until the process resumes; the caller pauses its links."""
        self.resumed.clear()
        self._stop_background_tasks()

    def resume(self) -> None:
        """Continue after a pause with the state from before it."""
        if self.ended:
            return
        self.resumed.set()
        self._start_background_tasks()

    async def _announce_leaving(self) -> None:
        """Announce that the process is leaving and wait until the cached addresses expire."""
        await self.resumed.wait()
        self.membership.announce_leaving()
        await asyncio.sleep(ADDRESS_TTL_S)
        await self.resumed.wait()
        await asyncio.sleep(LINK_LATENCY_S)

    def end(self, *, graceful: bool) -> None:
        """End the process and record whether it was a graceful shutdown."""
        self.ended = True
        self.resumed.set()
        self._stop_background_tasks()
        self.system.history.add(
            ProcessEnded(at_s=self.clock(), process=self.name, graceful=graceful)
        )

    def _start_background_tasks(self) -> None:
        self._background_tasks = [asyncio.create_task(work) for work in self.background_work()]

    def _stop_background_tasks(self) -> None:
        for task in self._background_tasks:
            task.cancel()

    def _record_activation(self, accepted: AcceptedVersion) -> None:
        event = VersionActivated(at_s=self.clock(), process=self.name, version=accepted.version)
        self.system.history.add(event)


class AggregatorProcess(Process):
    """A simulated aggregator process."""

    def __init__(self, system: System, host: str, incarnation: int) -> None:
        super().__init__(system, Role.AGGREGATOR, host, incarnation)
        self.service = AggregatorService(
            RecordingBackendClient(self),
            self.clock,
            name=host,
            zone=system.hosts[host],
            fleet=self.fleet,
            facts=self.board,
            seed=system.seed,
        )
        self.store.listen(lambda accepted: self.service.configure(accepted.document))
        self.admitted_sub_queries = AdmittedSubQueries(self.service, self.admission)

    def background_work(self) -> list[Coroutine]:
        """Return the coroutines that run until the process pauses or ends."""
        return [*super().background_work(), self.service.poll_states()]

    async def stop(self) -> None:
        """Shut down gracefully, in the order of ``fighinge.cmd.aggregator`` on SIGTERM."""
        await self._announce_leaving()
        self.service.stop()
        await self.admitted_sub_queries.running.wait_until_idle(SHUTDOWN_TIMEOUT_S)
        await self.resumed.wait()
        await asyncio.sleep(2 * LINK_LATENCY_S)
        self.membership.announce_departure()
        self.system.disconnect_aggregator(self.host)
        self.end(graceful=True)

    def kill(self) -> None:
        """Crash without announcing it."""
        self.system.disconnect_aggregator(self.host)
        for entry in self.system.entries.values():
            self.service.cancel_all(entry.host)
        self.end(graceful=False)


class EntryProcess(Process):
    """A simulated entry process."""

    def __init__(self, system: System, host: str, incarnation: int) -> None:
        super().__init__(system, Role.ENTRY, host, incarnation)
        services = {name: other.admitted_sub_queries for name, other in system.aggregators.items()}
        self.links = DirectLinks(services, host, LINK_LATENCY_S)
        self.chooser = SnapshotChooser(self.clock)
        self.service = QueryService(host, self.fleet, self.links, self.chooser, self.clock)
        self.store.listen(lambda a: self.service.configure(a.version, a.document))
        self.tickets = TicketRegistry.create(host)
        admitted = AdmissionControlledExecutor(self.service, self.admission, lambda: [])
        self.executor = CountingExecutor(
            AtMostOnceExecutor(admitted, self.tickets, system, self.clock)
        )
        self.listening = True
        self.request_tasks: set[asyncio.Task] = set()

    def background_work(self) -> list[Coroutine]:
        """Return the coroutines that run until the process pauses or ends."""
        return [*super().background_work(), self._poll_statuses()]

    async def stop(self) -> None:
        """Shut down gracefully, in the order of ``fighinge.cmd.entry`` on SIGTERM."""
        await self._announce_leaving()
        self.listening = False
        await self.executor.running.wait_until_idle(SHUTDOWN_TIMEOUT_S)
        await self.resumed.wait()
        self.membership.announce_departure()
        self._close(graceful=True)

    def kill(self) -> None:
        """Crash without announcing it."""
        self._close(graceful=False)

    def _close(self, *, graceful: bool) -> None:
        self.listening = False
        for task in self.request_tasks:
            task.cancel()
        self.end(graceful=graceful)

    async def _poll_statuses(self) -> None:
        """Poll the group statuses of aggregators whose links are connected and not paused."""
        while True:
            for name, aggregator in self.system.aggregators.items():
                link = self.links.link(name)
                if not (link.is_disconnected or link.is_paused):
                    self.chooser.on_group_statuses(name, aggregator.service.statuses())
            await asyncio.sleep(STATUS_POLL_INTERVAL_S)


class RecordingBackendClient(DirectBackendClient):
    """A backend client that records each search with the aggregator that sent it."""

    def __init__(self, process: AggregatorProcess) -> None:
        super().__init__(process.system.servers.values())
        self._process = process

    async def search(self, address, request: BackendRequest, timeout_s: float):
        """Record a search unless the connection is refused, then run it on the stand-in server."""
        server = self._servers[address]
        if server.is_listening:
            self._process.system.history.add(
                SearchArrived(
                    at_s=self._process.clock(),
                    request_id=request.request_id,
                    server=server.name,
                    in_flight=server.in_flight + 1,
                    concurrency_limit=(
                        server.cold_concurrency_limit() if server.is_cold else server.slots
                    ),
                    cold_since_s=server.cold_since_s if server.is_cold else None,
                    aggregator=self._process.name,
                )
            )
        return await super().search(address, request, timeout_s)
