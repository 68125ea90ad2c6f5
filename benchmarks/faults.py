"""Faults that a scenario inflicts on its fleet, each at its moment."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable

import msgspec

from benchmarks.fleet import MeasuredFleet, ProcessStatus
from standins.platform import PlatformBehaviour

POLL_S = 0.05
MEASURE_TIMEOUT_S = 10.0

Act = Callable[[MeasuredFleet, dict[str, object]], Awaitable[None]]


class Fault(msgspec.Struct, frozen=True):
    """Something done to the fleet ``at_s`` seconds into the run."""

    at_s: float
    name: str
    act: Act


def behave(at_s: float, zone: str = "", first: int = 10_000, **fields: object) -> Fault:
    """Change how the first backend servers of a zone, or of all, serve."""

    async def act(fleet: MeasuredFleet, _notes: dict[str, object]) -> None:
        await fleet.behave(fleet.servers_in(zone)[:first], **fields)

    return Fault(at_s, f"behaviour of {zone or 'all'}: {fields}", act)


def turn_cold(at_s: float, zone: str) -> Fault:
    """Let every backend server of a zone turn cold without an announcement."""

    async def act(fleet: MeasuredFleet, _notes: dict[str, object]) -> None:
        servers = fleet.servers_in(zone)
        await asyncio.gather(*(fleet.control(name, "cold", method="POST") for name in servers))

    return Fault(at_s, f"{zone} turns cold", act)


def restart_servers(at_s: float, first: int, outage_s: float) -> Fault:
    """Restart some backend servers, which lose what they run."""

    async def act(fleet: MeasuredFleet, _notes: dict[str, object]) -> None:
        for name in fleet.servers_in("")[:first]:
            await fleet.control(name, f"restart?outage_s={outage_s}", method="POST")

    return Fault(at_s, f"{first} backend servers restart", act)


def set_zone(at_s: float, zone: str, *, in_service: bool) -> Fault:
    """Take a data centre out of service or back."""

    async def act(fleet: MeasuredFleet, _notes: dict[str, object]) -> None:
        path = f"/zones/{zone}/in_service"
        await fleet.publish_patch([{"op": "add", "path": path, "value": in_service}])

    return Fault(at_s, f"{zone} {'back in' if in_service else 'out of'} service", act)


def pause(at_s: float, role: str, host: int, for_s: float) -> Fault:
    """Stop a process and let it go on later."""

    async def act(fleet: MeasuredFleet, _notes: dict[str, object]) -> None:
        fleet.signal(role, fleet.hosts[host], signal.SIGSTOP)
        await asyncio.sleep(for_s)
        fleet.signal(role, fleet.hosts[host], signal.SIGCONT)

    return Fault(at_s, f"{role} {host} is paused for {for_s} s", act)


def pause_zone(at_s: float, zone: str, for_s: float) -> Fault:
    """Cut a data centre off by stopping all its processes."""

    async def act(fleet: MeasuredFleet, _notes: dict[str, object]) -> None:
        hosts = [host for host in fleet.hosts if host.zone == zone]
        for number in (signal.SIGSTOP, signal.SIGCONT):
            for host in hosts:
                for role in ("aggregator", "entry"):
                    fleet.signal(role, host, number)
            await asyncio.sleep(for_s if number == signal.SIGSTOP else 0)

    return Fault(at_s, f"the processes of {zone} are stopped for {for_s} s", act)


def kill(at_s: float, role: str, host: int) -> Fault:
    """Kill a process and start it again."""

    async def act(fleet: MeasuredFleet, _notes: dict[str, object]) -> None:
        process = fleet.processes[role, fleet.hosts[host].address]
        process.kill()
        await process.wait()
        await fleet.start_process(role, fleet.hosts[host])

    return Fault(at_s, f"{role} {host} is killed and started again", act)


def roll(at_s: float, role: str, *, waits: bool = True) -> Fault:
    """Restart every process of a role by a planned stop, one in each zone at a time.

    :param waits: whether the next ones are stopped only once the new ones are known
    """

    async def act(fleet: MeasuredFleet, notes: dict[str, object]) -> None:
        codes = notes.setdefault("exit_codes", [])
        per_zone = fleet.shape.hosts_per_zone
        for number in range(per_zone):
            hosts = fleet.hosts[number::per_zone]
            codes.extend(
                await asyncio.gather(
                    *(fleet.restart_process(role, host, waits=waits) for host in hosts)
                )
            )

    return Fault(at_s, f"rolling restart of every {role}", act)


def platform_down(at_s: float, for_s: float) -> Fault:
    """Let the platform answer nothing for a while."""

    async def act(fleet: MeasuredFleet, _notes: dict[str, object]) -> None:
        fleet.platform.down = True
        await asyncio.sleep(for_s)
        fleet.platform.down = False

    return Fault(at_s, f"the platform is down for {for_s} s", act)


def measure_spread(at_s: float, name: str) -> Fault:
    """Publish a patch and note when the last process has it; ``one_reader`` cuts all others off."""

    async def act(fleet: MeasuredFleet, notes: dict[str, object]) -> None:
        if name == "one_reader":
            await fleet.platform.set_behaviour(
                PlatformBehaviour(only_reader=f"entry@{fleet.hosts[0].address}")
            )
        weight = {"op": "replace", "path": "/classes/batch/weight", "value": fleet.patches + 2}
        version = await fleet.publish_patch([weight])

        def is_everywhere(statuses: list[ProcessStatus]) -> bool:
            return all(status.configuration_version >= version for status in statuses)

        notes[f"spread_{name}_s"] = await _time_until(fleet, is_everywhere)

    return Fault(at_s, f"a patch is published ({name})", act)


def measure_agreement(at_s: float) -> Fault:
    """Note how long it takes until all processes see the same live members."""

    async def act(fleet: MeasuredFleet, notes: dict[str, object]) -> None:
        notes["agreement_s"] = await _time_until(fleet, _agree)

    return Fault(at_s, "wait until all statuses agree", act)


def _agree(statuses: list[ProcessStatus]) -> bool:
    alive = [
        {member.name for member in status.members if member.state == "alive"} | {status.name}
        for status in statuses
    ]
    return all(seen == alive[0] and len(seen) == len(statuses) for seen in alive)


async def _time_until(
    fleet: MeasuredFleet, holds: Callable[[list[ProcessStatus]], bool]
) -> float | None:
    """Return after how many seconds something held in all processes, none if it did not."""
    started_s = time.monotonic()
    while time.monotonic() - started_s < MEASURE_TIMEOUT_S:
        statuses = await fleet.process_statuses()
        if len(statuses) == len(fleet.processes) and holds(statuses):
            return round(time.monotonic() - started_s, 3)
        await asyncio.sleep(POLL_S)
    return None


def watch_zone(at_s: float, zone: str, for_s: float) -> Fault:
    """Note when the last new work started on a zone's backend servers."""

    async def act(fleet: MeasuredFleet, notes: dict[str, object]) -> None:
        servers = fleet.servers_in(zone)
        started_s = time.monotonic()
        last_s, seen = 0.0, -1
        while time.monotonic() - started_s < for_s:
            counters = await fleet.counters()
            count = sum(counters[name].searches for name in servers)
            if count != seen and seen >= 0:
                last_s = time.monotonic() - started_s
            seen = count
            await asyncio.sleep(POLL_S)
        notes["last_new_work_s"] = round(last_s, 2)

    return Fault(at_s, f"new work at {zone} is watched", act)
