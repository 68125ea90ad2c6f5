"""Checks that versions are in force in time at many router processes, after faults of the store.

``python -m tests.platform.version_rounds --routers 61 --shards 36 --due-s 5`` plays all faults.
"""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING

import defopt
import msgspec

from tests.platform.fleet import HOST, RouterFleet
from tests.platform.store_faults import NEXT_WATCH_S, restore_older_copy

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

MOVED_PATH = "/one/x/"
STABLE_S = 4.0  # after a fault, before the judged version
JUDGED_S = 3.0  # after the time at which the version is due
FAULT_S = 4.5
PROBE_INTERVAL_S = 0.25
CONCURRENT_PROBES = 32
NETWORK = 210


class Probe(msgspec.Struct):
    """A request to a router on the moved route, or on the added one."""

    request_id: str
    router: int
    is_moved: bool
    sent_s: float
    status: int


class Round(msgspec.Struct):
    """What a fault led to; times count from the acknowledgement of the judged version.

    ``latest_s`` is when the last router first ran a request by the version. ``late_routers`` ran
    one by the version before after it was due, or none by the new one; ``regressed_routers`` ran
    one by the version before after one by the new one. ``not_found`` counts answers 404 on routes
    in force.
    """

    fault: str
    latest_s: float
    late_routers: list[int]
    regressed_routers: list[int]
    not_found: int
    requests: int
    ended_routers: list[int]

    @property
    def is_good(self) -> bool:
        """Return whether all routers had the version in time and kept it."""
        return not (
            self.late_routers or self.regressed_routers or self.not_found or self.ended_routers
        )


class VersionRounds:
    """Plays a fault of the store or of routers, and then publishes and judges a version.

    :param due_s: time in seconds after which a version has to be in force at all routers
    """

    def __init__(self, fleet: RouterFleet, seed: int, due_s: float) -> None:
        self._fleet = fleet
        self._random = random.Random(seed)
        self._due_s = due_s
        self._clock = asyncio.get_running_loop().time
        self._added = 0
        self._is_moved = False
        self.faults: dict[str, Callable[[], Awaitable[None]]] = {
            "none": self._no_fault,
            "silence after a change": self._silence_after_change,
            "silence for some hosts": self._silence_for_some,
            "busy": self._busy,
            "history lost": self._lose_history,
            "older copy": self._restore,
            "versions in a storm": self._storm,
            "frozen hosts": self._freeze,
            "restarts": self._restart,
            "older copy beside restarts": self._restore_beside_restarts,
            "silence beside frozen hosts": self._silence_beside_freeze,
        }

    async def run(self, fault: str) -> Round:
        """Play one fault, publish a version once the store is stable, and judge it."""
        await self.faults[fault]()
        self._fleet.store.fault, self._fleet.store.affected_callers = "", set()
        await asyncio.sleep(STABLE_S)
        self._fleet.events.arrivals.clear()
        service, path = await self._publish()
        acknowledged_s = self._clock()
        probes: list[Probe] = []
        while self._clock() - acknowledged_s < self._due_s + JUDGED_S:
            began_s = self._clock()
            probes += await self._probe_all(path, acknowledged_s)
            await asyncio.sleep(max(0.0, PROBE_INTERVAL_S - (self._clock() - began_s)))
        return self._judge(fault, service, probes)

    async def _publish(self) -> tuple[str, str]:
        """Publish a version that moves a route and adds one; return both."""
        self._is_moved = not self._is_moved
        self._added += 1
        service = "shard0" if self._is_moved else "shard1"
        path = f"/added-{self._added}/"
        common = {"host": HOST, "kind": "idempotent", "max-attempts": 2, "timeout-ms": 2000}
        await self._fleet.configure(
            routes=[
                common | {"name": "moved", "prefix": MOVED_PATH, "service": service},
                common | {"name": f"added-{self._added}", "prefix": path, "service": "single"},
            ]
        )
        return service, path

    async def _probe_all(self, added_path: str, acknowledged_s: float) -> list[Probe]:
        slots = asyncio.Semaphore(CONCURRENT_PROBES)

        async def probe(router: int, path: str) -> Probe:
            async with slots:
                sent_s = self._clock() - acknowledged_s
                request_id, reply = await self._fleet.ask(router, path)
            return Probe(request_id, router, path == MOVED_PATH, sent_s, reply.status)

        routers = [
            number for number, process in self._fleet.processes.items() if process.poll() is None
        ]
        work = [probe(number, path) for number in routers for path in (MOVED_PATH, added_path)]
        return await asyncio.gather(*work)

    def _services(self) -> dict[str, str]:
        """Return the service that each request reached, by the request's identifier."""
        names = {server.instance_id: server.service for server in self._fleet.servers}
        arrivals = self._fleet.events.arrivals
        return {item.request_id: names[item.instance_id] for item in arrivals}

    def _judge(self, fault: str, service: str, probes: list[Probe]) -> Round:
        services = self._services()
        ran = [item for item in probes if item.is_moved and item.request_id in services]
        old = [item for item in ran if services[item.request_id] != service]
        new = [item for item in ran if services[item.request_id] == service]
        first_s: dict[int, float] = {}
        for item in new:
            first_s.setdefault(item.router, item.sent_s)
        running = [
            number for number, process in self._fleet.processes.items() if process.poll() is None
        ]
        late = {item.router for item in old if item.sent_s > self._due_s}
        late |= {number for number in running if number not in first_s}
        return Round(
            fault,
            round(max(first_s.values(), default=float("inf")), 2),
            sorted(late),
            sorted({item.router for item in old if item.sent_s > first_s.get(item.router, 1e9)}),
            sum(
                item.status == 404 and (item.is_moved or item.sent_s > self._due_s)
                for item in probes
            ),
            len(probes),
            [number for number in self._fleet.processes if number not in running],
        )

    def _some_hosts(self, share: float = 0.3) -> list[int]:
        numbers = list(self._fleet.processes)
        return self._random.sample(numbers, max(1, int(share * len(numbers))))

    async def _no_fault(self) -> None:
        """Let nothing happen."""

    async def _silence_after_change(self) -> None:
        await self._fleet.configure()
        await asyncio.sleep(self._random.uniform(0.0, 2 * NEXT_WATCH_S))
        self._fleet.store.fault = "silent"
        await asyncio.sleep(FAULT_S)

    async def _silence_for_some(self) -> None:
        store = self._fleet.store
        store.affected_callers = {self._fleet.address(number) for number in self._some_hosts(0.5)}
        store.fault = "silent"
        await asyncio.sleep(FAULT_S / 2)
        await self._fleet.configure()
        await asyncio.sleep(FAULT_S / 2)

    async def _busy(self) -> None:
        self._fleet.store.fault = "busy"
        await asyncio.sleep(FAULT_S)

    async def _lose_history(self) -> None:
        for _ in range(5):
            await self._fleet.configure()
            await self._fleet.store.compact()
            await asyncio.sleep(FAULT_S / 5)

    async def _restore(self) -> None:
        for _ in range(2):
            await restore_older_copy(self._fleet, 1.0)

    async def _storm(self) -> None:
        for _ in range(12):
            await self._publish()
            await asyncio.sleep(0.33)

    async def _freeze(self) -> None:
        frozen = self._some_hosts()
        for number in frozen:
            self._fleet.signal(number, signal.SIGSTOP)
        await self._fleet.configure()
        await asyncio.sleep(FAULT_S)
        for number in frozen:
            self._fleet.signal(number, signal.SIGCONT)

    async def _restart(self) -> None:
        for what in (signal.SIGKILL, signal.SIGTERM):
            stopped = self._some_hosts(0.15)
            for number in stopped:
                self._fleet.signal(number, what)
            for number in stopped:
                await self._fleet.exited(number, 10.0)
                self._fleet.start_router(number)
            for number in stopped:
                await self._fleet.ready(number)

    async def _restore_beside_restarts(self) -> None:
        await asyncio.gather(self._restart(), self._restore())

    async def _silence_beside_freeze(self) -> None:
        await asyncio.gather(self._silence_after_change(), self._freeze())


async def play(
    directory: Path, routers: int, shards: int, due_s: float, seed: int, faults: list[str]
) -> list[Round]:
    """Play faults one after the other on a new fleet, all of them if none is named."""
    fleet = RouterFleet(directory, NETWORK + seed % 20, routers, shards=shards)
    rounds = []
    try:
        await fleet.start()
        player = VersionRounds(fleet, seed, due_s)
        for fault in faults or list(player.faults):
            rounds.append(await player.run(fault))
            print(msgspec.json.encode(rounds[-1]).decode(), flush=True)
    finally:
        for number in fleet.processes:
            fleet.signal(number, signal.SIGCONT)
        await fleet.stop()
    return rounds


def version_rounds(
    *,
    routers: int = 12,
    shards: int = 4,
    due_s: float = 3.0,
    seed: int = 1,
    faults: list[str] | None = None,
    logs: Path | None = None,
) -> None:
    """Play faults and report the versions that were not in force in time.

    :param routers: number of router processes
    :param shards: number of shards, each with three servers
    :param due_s: time in seconds after which a version is due
    :param seed: seed of the faults' figures
    :param faults: faults to play, by default all
    :param logs: folder for the routers' logs, by default a temporary one
    """
    with tempfile.TemporaryDirectory(ignore_cleanup_errors=True) as directory:
        place = logs or Path(directory)
        rounds = asyncio.run(play(place, routers, shards, due_s, seed, faults or []))
    failed = sum(not item.is_good for item in rounds)
    print(f"{len(rounds)} faults, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    defopt.run(version_rounds)
