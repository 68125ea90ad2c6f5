"""The faults that a schedule injects into a running system."""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING

import msgspec

from tests.histories.record import ProcessDisrupted, ServerDraining, ServerReturned
from tests.histories.system import HOSTS, configuration_document

if TYPE_CHECKING:
    from tests.histories.system import RecordedServer, System

CRASHING_REQUEST_ATTEMPTS = 3
CRASHING_REQUEST_INTERVAL_S = 0.3
INDEX_VERSION_ROLLOUT_INTERVAL_S = 0.4
MIN_OUT_OF_SERVICE_S = 6.0  # longer than the propagation limit, so that checks apply


class FaultKind(enum.Enum):
    """The kind of a fault."""

    STRAGGLER = "straggler"
    SERVER_RESTART = "backend server restart"
    REPARTITION = "repartition"
    WRONG_VERSION = "wrong version served"
    MISPLACED_RECORDS = "misplaced records"
    COLD_START = "cold start"
    PLATFORM_DOWN = "platform down"
    PLATFORM_STALE = "platform stale"
    PROCESS_PAUSE = "process pause"
    PARTITION = "partition"
    CRASHING_REQUEST = "crashing request"
    ZONE_EVACUATION = "zone evacuation"
    SERVER_DRAIN = "backend server drain"
    GRACEFUL_SHUTDOWN = "graceful shutdown"
    HOST_CRASH = "host crash"


class Fault(msgspec.Struct, frozen=True):
    """A fault of a schedule.

    ``target``, modulo their number, selects the affected server or host; a repartition and a
    crashing request start there. ``duration_s`` is added to ``MIN_OUT_OF_SERVICE_S`` for zone
    evacuations and server drains; it is unused for cold starts, which end as the server warms up,
    and for crashing requests.
    """

    kind: FaultKind
    at_s: float
    duration_s: float
    target: int = 0

    def __repr__(self) -> str:
        return (
            f"Fault(FaultKind.{self.kind.name}, at_s={self.at_s}, "
            f"duration_s={self.duration_s}, target={self.target})"
        )


async def inject(system: System, fault: Fault) -> None:
    """Inject a fault at its time; revert it unless it ends by itself or is a repartition."""
    await asyncio.sleep(fault.at_s)
    await _ACTIONS[fault.kind](system, fault)


def _server(system: System, fault: Fault) -> RecordedServer:
    servers = list(system.servers.values())
    return servers[fault.target % len(servers)]


def _host(fault: Fault) -> str:
    return list(HOSTS)[fault.target % len(HOSTS)]


async def _override_behaviour(system: System, fault: Fault, **changes) -> None:
    """Change a server's behaviour for the duration of a fault."""
    behaviour = _server(system, fault).behaviour
    original = {name: getattr(behaviour, name) for name in changes}
    for name, value in changes.items():
        setattr(behaviour, name, value)
    await asyncio.sleep(fault.duration_s)
    for name, value in original.items():
        setattr(behaviour, name, value)


async def _straggler(system: System, fault: Fault) -> None:
    await _override_behaviour(system, fault, straggler_share=0.5, straggler_factor=60.0)


async def _server_restart(system: System, fault: Fault) -> None:
    _server(system, fault).restart(fault.duration_s)


async def _wrong_version(system: System, fault: Fault) -> None:
    await _override_behaviour(system, fault, serves_index_version=2, index_versions={"c": [1, 2]})


async def _misplaced_records(system: System, fault: Fault) -> None:
    await _override_behaviour(system, fault, misplaced_records=3, doubled_records=2)


async def _cold_start(system: System, fault: Fault) -> None:
    _server(system, fault).begin_cold_start()


async def _repartition(system: System, fault: Fault) -> None:
    """Publish the second snapshot, add it to all servers, then remove the first one."""
    if system.has_second_snapshot():
        return
    snapshots = configuration_document((1, 2))["collections"]["c"]["snapshots"]
    await _set_snapshots(system, snapshots)
    await _set_index_versions(system, fault, [1, 2])
    await asyncio.sleep(fault.duration_s)
    await _set_index_versions(system, fault, [2])
    await _set_snapshots(system, snapshots[1:])


async def _set_index_versions(system: System, fault: Fault, versions: list[int]) -> None:
    """Change the index versions that servers hold, one server after the other."""
    servers = list(system.servers.values())
    for number in range(len(servers)):
        server = servers[(number + fault.target) % len(servers)]
        server.behaviour.index_versions = {"c": versions}
        await asyncio.sleep(INDEX_VERSION_ROLLOUT_INTERVAL_S)


async def _set_snapshots(system: System, snapshots: list[dict]) -> None:
    operation = {"op": "replace", "path": "/collections/c/snapshots", "value": snapshots}
    await system.publish([operation])


async def _platform_down(system: System, fault: Fault) -> None:
    _record_disruption(system, fault)
    await system.set_platform_behaviour(down=True)
    await asyncio.sleep(fault.duration_s)
    await system.set_platform_behaviour(down=False)


async def _platform_stale(system: System, fault: Fault) -> None:
    _record_disruption(system, fault)
    await system.set_platform_behaviour(stale=True)
    await asyncio.sleep(fault.duration_s)
    await system.set_platform_behaviour(stale=False)


def _record_disruption(system: System, fault: Fault, process: str = "") -> None:
    now_s = system.clock()
    until_s = now_s + fault.duration_s
    system.history.add(ProcessDisrupted(at_s=now_s, until_s=until_s, process=process))


async def _process_pause(system: System, fault: Fault) -> None:
    host = _host(fault)
    processes = [process for process in system.processes(host) if not process.ended]
    for process in processes:
        _record_disruption(system, fault, process.name)
        process.pause()
    links = system.links_of(host)
    for link in links:
        link.pause_delivery()
    await asyncio.sleep(fault.duration_s)
    for process in processes:
        process.resume()
    for link in links:
        link.resume_delivery()


async def _partition(system: System, fault: Fault) -> None:
    """Disconnect a host from the other hosts and the platform, but not from backend servers."""
    host = _host(fault)
    for process in system.processes(host):
        _record_disruption(system, fault, process.name)
    links = system.links_of(host, remote=True)
    system.partitioned_hosts.add(host)
    for link in links:
        link.disconnect()
    await asyncio.sleep(fault.duration_s)
    system.partitioned_hosts.discard(host)
    for link in links:
        link.reconnect()


async def _crashing_request(system: System, fault: Fault) -> None:
    """Send a request repeatedly that crashes each server that runs it."""
    name = f"crash-{system.next_number()}"
    for number in range(CRASHING_REQUEST_ATTEMPTS):
        host = list(HOSTS)[(fault.target + number) % len(HOSTS)]
        await system.send_request(host, f"{name}-{number}", crash=name)
        await asyncio.sleep(CRASHING_REQUEST_INTERVAL_S)


async def _zone_evacuation(system: System, fault: Fault) -> None:
    zone = HOSTS[_host(fault)]
    await _set_zone_in_service(system, zone, in_service=False)
    await asyncio.sleep(MIN_OUT_OF_SERVICE_S + fault.duration_s)
    await _set_zone_in_service(system, zone, in_service=True)


async def _set_zone_in_service(system: System, zone: str, *, in_service: bool) -> None:
    path = f"/zones/{zone}/in_service"
    await system.publish([{"op": "replace", "path": path, "value": in_service}])


async def _server_drain(system: System, fault: Fault) -> None:
    server = _server(system, fault)
    system.history.add(ServerDraining(at_s=system.clock(), server=server.name))
    server.behaviour.draining = True
    await asyncio.sleep(MIN_OUT_OF_SERVICE_S + fault.duration_s)
    server.behaviour.draining = False
    server.restart()
    system.history.add(ServerReturned(at_s=system.clock(), server=server.name))


async def _graceful_shutdown(system: System, fault: Fault) -> None:
    processes = [process for process in system.processes(_host(fault)) if not process.ended]
    await asyncio.gather(*(process.stop() for process in processes))
    await asyncio.sleep(fault.duration_s)
    system.restart_host(_host(fault))


async def _host_crash(system: System, fault: Fault) -> None:
    for process in system.processes(_host(fault)):
        if not process.ended:
            process.kill()
    await asyncio.sleep(fault.duration_s)
    system.restart_host(_host(fault))


_ACTIONS = {
    FaultKind.STRAGGLER: _straggler,
    FaultKind.SERVER_RESTART: _server_restart,
    FaultKind.REPARTITION: _repartition,
    FaultKind.WRONG_VERSION: _wrong_version,
    FaultKind.MISPLACED_RECORDS: _misplaced_records,
    FaultKind.COLD_START: _cold_start,
    FaultKind.PLATFORM_DOWN: _platform_down,
    FaultKind.PLATFORM_STALE: _platform_stale,
    FaultKind.PROCESS_PAUSE: _process_pause,
    FaultKind.PARTITION: _partition,
    FaultKind.CRASHING_REQUEST: _crashing_request,
    FaultKind.ZONE_EVACUATION: _zone_evacuation,
    FaultKind.SERVER_DRAIN: _server_drain,
    FaultKind.GRACEFUL_SHUTDOWN: _graceful_shutdown,
    FaultKind.HOST_CRASH: _host_crash,
}
