"""Tests of the read rate at the platform and of the propagation of its values."""

from __future__ import annotations

import asyncio
import random

import looptime
import pytest

from fighinge.configuration.base import ListedHost, Values
from fighinge.configuration.history import BASE_KEY
from fighinge.configuration.platform_client import READ_TIMEOUT_S
from fighinge.configuration.watcher import (
    READER_REPEAT_DELAY_S,
    ConfigurationWatcher,
    follow_host_list,
)
from fighinge.errors import ErrorKind, Failure
from standins.platform import StandinPlatform
from tests.fleets import ProcessFleet, base_values, until, zone_patch

READ_BUDGET_PER_S = 2000
CHANGE_IN_FORCE_S = 5.0  # the target for a change of the configuration
STABLE_S = 4.0  # a silence is over for so long when the change comes


class CountingPlatform:
    """A platform that counts calls per second and can be made unavailable."""

    def __init__(self, clock) -> None:
        self.platform = StandinPlatform()
        self.clock = clock
        self.calls: dict[int, int] = {}
        self.is_down = False
        self.forgets_reads = False

    def count(self) -> None:
        second = int(self.clock())
        self.calls[second] = self.calls.get(second, 0) + 1

    async def read(self, prefix: str, after_revision: int, wait_s: float) -> Values | Failure:
        self.count()
        if self.is_down:
            await asyncio.sleep(0.5)
            return Failure(ErrorKind.NOT_READY, "down")
        if self.forgets_reads:
            await asyncio.sleep(wait_s + READ_TIMEOUT_S)
            return Failure(ErrorKind.NOT_READY, "timed out")
        return await self.platform.read(prefix, after_revision, wait_s)

    async def hosts(self) -> list[ListedHost] | Failure:
        self.count()
        return Failure(ErrorKind.NOT_READY, "down") if self.is_down else self.platform.hosts

    def rate(self, from_s: float, to_s: float) -> float:
        """Return the mean calls per second between two times."""
        return sum(self.calls.get(s, 0) for s in range(int(from_s), int(to_s))) / (to_s - from_s)

    def peak(self) -> int:
        """Return the highest number of calls in one second."""
        return max(self.calls.values())


def _run(work):
    loop = looptime.new_event_loop(start=1000.0, end=100_000.0, noop_cycles=1)
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(work)
    finally:
        tasks = asyncio.all_tasks(loop)
        for task in tasks:
            task.cancel()
        loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        asyncio.set_event_loop(None)
        loop.close()


async def _started(zones: int, hosts_per_zone: int) -> tuple[ProcessFleet, CountingPlatform]:
    platform = CountingPlatform(asyncio.get_running_loop().time)
    await platform.platform.publish(BASE_KEY, bytes(base_values().values[BASE_KEY]))
    fleet = ProcessFleet(zones, hosts_per_zone)
    platform.platform.hosts = [ListedHost(host, zone) for host, zone in fleet.hosts.items()]
    for process in fleet.processes.values():
        _start_watching(process, platform)
    return fleet, platform


def _start_watching(process, platform) -> None:
    random_source = random.Random(process.host)
    membership = process.membership
    process.watcher = ConfigurationWatcher(
        platform, process.store, membership, process.clock, random_source
    )
    process.tasks = [
        asyncio.create_task(process.watcher.run()),
        asyncio.create_task(
            follow_host_list(platform, membership, (), lambda _: None, random_source)
        ),
    ]


def _all_at(fleet, version):
    return lambda: all(process.store.version == version for process in fleet.processes.values())


@pytest.mark.parametrize(("zones", "hosts_per_zone"), [(2, 4), (2, 16)])
def test_read_rate_is_bounded_at_start_and_when_the_platform_recovers(zones, hosts_per_zone):
    async def run():
        fleet, platform = await _started(zones, hosts_per_zone)
        await until(_all_at(fleet, 1), 5)
        await asyncio.sleep(20)
        platform.is_down = True
        await asyncio.sleep(30)
        platform.is_down = False
        await asyncio.sleep(10)
        assert platform.peak() < READ_BUDGET_PER_S / 10
        readers = [p for p in fleet.processes.values() if p.watcher.is_reader]
        assert len(readers) == 3 * zones

    _run(run())


@pytest.mark.parametrize("answered_process", ["reader", "other"])
def test_version_propagates_from_the_only_process_that_the_platform_answers(answered_process):
    async def run():
        fleet, platform = await _started(3, 8)
        await until(_all_at(fleet, 1), 5)
        await asyncio.sleep(5)
        wants_reader = answered_process == "reader"
        chosen = next(p for p in fleet.processes.values() if p.watcher.is_reader is wants_reader)
        unavailable = CountingPlatform(platform.clock)
        unavailable.is_down = True
        for process in fleet.processes.values():
            if process is not chosen:
                for task in process.tasks:
                    task.cancel()
                _start_watching(process, unavailable)
        key, value = next(iter(zone_patch(1).values.items()))
        await platform.platform.publish(key, bytes(value))
        await until(_all_at(fleet, 2), 5)

    _run(run())


def test_version_is_in_force_in_time_after_the_platform_has_forgotten_all_watches():
    async def run():
        fleet, platform = await _started(1, 3)
        await until(_all_at(fleet, 1), 5)
        await asyncio.sleep(5)
        platform.forgets_reads = True
        key, value = next(iter(zone_patch(1).values.items()))
        await platform.platform.publish(key, bytes(value))
        await asyncio.sleep(5 * READER_REPEAT_DELAY_S)
        platform.forgets_reads = False
        await asyncio.sleep(STABLE_S)
        key, value = next(iter(zone_patch(2).values.items()))
        await platform.platform.publish(key, bytes(value))
        await until(_all_at(fleet, 3), CHANGE_IN_FORCE_S)

    _run(run())


def test_platform_restored_to_an_older_revision_is_read_again_and_reverts_nothing():
    async def run():
        fleet, platform = await _started(1, 2)
        for number in (1, 2):
            key, value = next(iter(zone_patch(number).values.items()))
            await platform.platform.publish(key, bytes(value))
        await until(_all_at(fleet, 3), 10)
        older = StandinPlatform()
        await older.publish(BASE_KEY, bytes(base_values().values[BASE_KEY]))
        platform.platform = older
        await asyncio.sleep(60)
        assert _all_at(fleet, 3)()
        for number in (1, 2, 3):
            key, value = next(iter(zone_patch(number).values.items()))
            await older.publish(key, bytes(value))
        await until(_all_at(fleet, 4), 10)

    _run(run())


def test_configuration_is_never_confirmed_without_platform_and_peers():
    async def run():
        fleet, platform = await _started(1, 1)
        platform.is_down = True
        await asyncio.sleep(600)
        assert not next(iter(fleet.processes.values())).membership.sync.confirmed

    _run(run())
