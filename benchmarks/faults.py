"""Faults that a scenario inflicts on its fleet, each at its moment."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable

import msgspec

from benchmarks.fleet import MeasuredFleet

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

    async def act(fleet: MeasuredFleet, notes: dict[str, object]) -> None:
        path = f"/zones/{zone}/in_service"
        await fleet.publish_patch([{"op": "replace", "path": path, "value": in_service}])
        notes[f"{zone}_{'in' if in_service else 'out'}_s"] = time.monotonic()

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


def roll(at_s: float, role: str) -> Fault:
    """Restart every process of a role by a planned stop, one in each zone at a time."""

    async def act(fleet: MeasuredFleet, notes: dict[str, object]) -> None:
        codes = notes.setdefault("exit_codes", [])
        per_zone = fleet.shape.hosts_per_zone
        for number in range(per_zone):
            hosts = fleet.hosts[number::per_zone]
            codes.extend(
                await asyncio.gather(*(fleet.restart_process(role, host) for host in hosts))
            )

    return Fault(at_s, f"rolling restart of every {role}", act)


def platform_down(at_s: float, for_s: float) -> Fault:
    """Let the platform answer nothing for a while."""

    async def act(fleet: MeasuredFleet, _notes: dict[str, object]) -> None:
        fleet.platform.down = True
        await asyncio.sleep(for_s)
        fleet.platform.down = False

    return Fault(at_s, f"the platform is down for {for_s} s", act)
