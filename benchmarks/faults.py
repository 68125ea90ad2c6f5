"""Faults and measurements that are injected into a scenario's fleet at a given time."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable

import msgspec

from benchmarks.fleet import MeasuredFleet, ProcessStatus
from standins.platform import PlatformBehaviour

POLL_INTERVAL_S = 0.05
MEASURE_TIMEOUT_S = 10.0

InjectFault = Callable[[MeasuredFleet, dict[str, object]], Awaitable[None]]


class Fault(msgspec.Struct, frozen=True):
    """An action on the fleet, ``at_s`` seconds after the load begins.

    It may store measurements, which become figures of the result.
    """

    at_s: float
    name: str
    inject: InjectFault


def set_behaviour(at_s: float, zone: str = "", count: int = 10_000, **fields: object) -> Fault:
    """Set behaviour fields of the first backend servers of one data centre or of all of them."""

    async def inject(fleet: MeasuredFleet, _measurements: dict[str, object]) -> None:
        await fleet.set_behaviour(fleet.server_names_in(zone)[:count], **fields)

    return Fault(at_s, f"backend servers of {zone or 'all data centres'}: set {fields}", inject)


def begin_cold_start(at_s: float, zone: str) -> Fault:
    """Turn every backend server of a data centre cold without an announcement."""

    async def inject(fleet: MeasuredFleet, _measurements: dict[str, object]) -> None:
        server_names = fleet.server_names_in(zone)
        await asyncio.gather(
            *(fleet.send_control_request(name, "cold", method="POST") for name in server_names)
        )

    return Fault(at_s, f"the backend servers of {zone} turn cold", inject)


def restart_servers(at_s: float, count: int, outage_s: float) -> Fault:
    """Restart some backend servers; they lose the calls in flight."""

    async def inject(fleet: MeasuredFleet, _measurements: dict[str, object]) -> None:
        for name in fleet.server_names_in("")[:count]:
            await fleet.send_control_request(name, f"restart?outage_s={outage_s}", method="POST")

    return Fault(at_s, f"{count} backend servers restart", inject)


def set_zone_in_service(at_s: float, zone: str, *, in_service: bool) -> Fault:
    """Evacuate a data centre or return it to service."""

    async def inject(fleet: MeasuredFleet, _measurements: dict[str, object]) -> None:
        path = f"/zones/{zone}/in_service"
        await fleet.publish_patch([{"op": "add", "path": path, "value": in_service}])

    return Fault(at_s, f"{zone} {'back in' if in_service else 'out of'} service", inject)


def pause_process(at_s: float, role: str, host_index: int, pause_s: float) -> Fault:
    """Pause a process with SIGSTOP and resume it with SIGCONT."""

    async def inject(fleet: MeasuredFleet, _measurements: dict[str, object]) -> None:
        fleet.send_signal(role, fleet.hosts[host_index], signal.SIGSTOP)
        await asyncio.sleep(pause_s)
        fleet.send_signal(role, fleet.hosts[host_index], signal.SIGCONT)

    return Fault(at_s, f"{role} {host_index} is paused for {pause_s} s", inject)


def pause_zone(at_s: float, zone: str, pause_s: float) -> Fault:
    """Isolate a data centre by pausing its aggregators and entries, not its backend servers."""

    async def inject(fleet: MeasuredFleet, _measurements: dict[str, object]) -> None:
        hosts = [host for host in fleet.hosts if host.zone == zone]
        for signal_number in (signal.SIGSTOP, signal.SIGCONT):
            for host in hosts:
                for role in ("aggregator", "entry"):
                    fleet.send_signal(role, host, signal_number)
            await asyncio.sleep(pause_s if signal_number == signal.SIGSTOP else 0)

    return Fault(at_s, f"the aggregators and entries of {zone} are paused for {pause_s} s", inject)


def kill_and_restart(at_s: float, role: str, host_index: int) -> Fault:
    """Kill a process with SIGKILL and start it again."""

    async def inject(fleet: MeasuredFleet, _measurements: dict[str, object]) -> None:
        process = fleet.processes[role, fleet.hosts[host_index].address]
        process.kill()
        await process.wait()
        await fleet.start_process(role, fleet.hosts[host_index])

    return Fault(at_s, f"{role} {host_index} is killed and restarted", inject)


def rolling_restart(at_s: float, role: str, *, waits_until_alive: bool = True) -> Fault:
    """Restart every process of a role gracefully, one per data centre at a time.

    :param waits_until_alive: whether to continue only once all processes see the restarted ones
        as alive
    """

    async def inject(fleet: MeasuredFleet, measurements: dict[str, object]) -> None:
        exit_codes = measurements.setdefault("exit_codes", [])
        hosts_per_zone = fleet.shape.hosts_per_zone
        for number in range(hosts_per_zone):
            hosts = fleet.hosts[number::hosts_per_zone]
            exit_codes.extend(
                await asyncio.gather(
                    *(
                        fleet.restart_process(role, host, waits_until_alive=waits_until_alive)
                        for host in hosts
                    )
                )
            )

    return Fault(at_s, f"rolling restart of every {role}", inject)


def platform_outage(at_s: float, outage_s: float) -> Fault:
    """Make the platform refuse all readers for a while."""

    async def inject(fleet: MeasuredFleet, _measurements: dict[str, object]) -> None:
        fleet.platform.down = True
        await asyncio.sleep(outage_s)
        fleet.platform.down = False

    return Fault(at_s, f"the platform is down for {outage_s} s", inject)


def measure_propagation(at_s: float, variant: str) -> Fault:
    """Publish a patch and measure the time until all processes use it.

    :param variant: part of the figure's key; ``one_reader`` first makes the platform refuse all
        readers of the configuration but one entry
    """

    async def inject(fleet: MeasuredFleet, measurements: dict[str, object]) -> None:
        if variant == "one_reader":
            await fleet.platform.set_behaviour(
                PlatformBehaviour(only_reader=f"entry@{fleet.hosts[0].address}")
            )
        # The base has weight 1; each patch has to change the value.
        weight = {"op": "replace", "path": "/classes/batch/weight", "value": fleet.patch_count + 2}
        version = await fleet.publish_patch([weight])

        def have_version(statuses: list[ProcessStatus]) -> bool:
            return all(status.configuration_version >= version for status in statuses)

        measurements[f"spread_{variant}_s"] = await _time_until(fleet, have_version)

    return Fault(at_s, f"a patch is published ({variant})", inject)


def measure_convergence(at_s: float) -> Fault:
    """Measure the time until all processes see the same members as alive."""

    async def inject(fleet: MeasuredFleet, measurements: dict[str, object]) -> None:
        measurements["agreement_s"] = await _time_until(fleet, _has_converged)

    return Fault(at_s, "wait until the member tables have converged", inject)


def _has_converged(statuses: list[ProcessStatus]) -> bool:
    alive = [
        {member.name for member in status.members if member.state == "alive"} | {status.name}
        for status in statuses
    ]
    return all(names == alive[0] and len(names) == len(statuses) for names in alive)


async def _time_until(
    fleet: MeasuredFleet, condition: Callable[[list[ProcessStatus]], bool]
) -> float | None:
    """Return the seconds until all processes answered and met a condition, none at the timeout."""
    started_s = time.monotonic()
    while time.monotonic() - started_s < MEASURE_TIMEOUT_S:
        statuses = await fleet.process_statuses()
        if len(statuses) == len(fleet.processes) and condition(statuses):
            return round(time.monotonic() - started_s, 3)
        await asyncio.sleep(POLL_INTERVAL_S)
    return None


def measure_last_new_work(at_s: float, zone: str, duration_s: float) -> Fault:
    """Measure when the last search started on a data centre's backend servers."""

    async def inject(fleet: MeasuredFleet, measurements: dict[str, object]) -> None:
        server_names = fleet.server_names_in(zone)
        started_s = time.monotonic()
        last_start_s, previous = 0.0, -1
        while time.monotonic() - started_s < duration_s:
            counters = await fleet.counters()
            searches = sum(counters[name].searches for name in server_names)
            if searches != previous and previous >= 0:
                last_start_s = time.monotonic() - started_s
            previous = searches
            await asyncio.sleep(POLL_INTERVAL_S)
        measurements["last_new_work_s"] = round(last_start_s, 2)

    return Fault(at_s, f"new searches in {zone} are observed", inject)
