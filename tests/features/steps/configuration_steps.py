"""Steps about the configuration in force."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from fighinge.configuration.confirmation import Confirmation
from fighinge.ownership import rendezvous_weight
from tests.features.steps.membership_steps import new_loop, on_loop
from tests.fleets import ProcessFleet, base_values, until, zone_patch


def _in_force(fleet, version):
    return all(process.store.version == version for process in fleet.processes.values())


async def _fleet(version, zones, hosts, **changes):
    fleet = ProcessFleet(zones, hosts)
    await until(fleet.all_alive, 10)
    for process in fleet.processes.values():
        process.store.apply_published(base_values(**changes))
        for number in range(1, version):
            process.store.apply_published(zone_patch(number, in_service=number % 2 == 0))
        process.membership.sync.confirmation.record_platform_read(process.clock())
    await asyncio.sleep(2)
    return fleet


@given("configuration version {version:d} in {zones:d} zones with {hosts:d} hosts each")
def in_force_at_first(context, version, zones, hosts):
    new_loop(context)
    context.fleet = on_loop(context, _fleet(version, zones, hosts))


@given(
    "configuration version 1 with {shards:d} shards in {zones:d} zones with {hosts:d} hosts each"
)
def large_in_force(context, shards, zones, hosts):
    new_loop(context)
    context.fleet = on_loop(context, _fleet(1, zones, hosts, shards=shards))


@given('configuration peers that have "{fault}"')
def peers_have(context, fault):
    network = context.fleet.network
    if fault == "one-way cuts":
        network.is_blocked = lambda sender, receiver: rendezvous_weight(sender, receiver) % 3 == 0
    else:
        network.loss_ratio = {
            "nothing wrong": 0.0,
            "a tenth of loss": 0.1,
            "a third of loss": 0.33,
        }[fault]


@when("configuration version 2 is read by one process only")
def read_by_one(context):
    on_loop(context, _take(next(iter(context.fleet.processes.values())), zone_patch(1)))


async def _take(process, values):
    process.store.apply_published(values)


@when("configuration is asked for by a process that started without the platform")
def start_another(context):
    fleet = context.fleet
    fleet.hosts["10.0.1.99"] = "z1"

    async def start():
        fleet.start("10.0.1.99")

    on_loop(context, start())


@when('configuration meets "{source}"')
def meets(context, source):
    fleet = context.fleet
    first, *others = fleet.processes

    async def stale_read():
        fleet.processes[first].store.discard_published()
        await _take(fleet.processes[first], base_values())

    async def older_base():
        await _take(fleet.processes[first], base_values(version=2, shards=5))

    async def stale_peer():
        fleet.processes.pop(first).crash()
        await _take(fleet.start(first, incarnation=200), zone_patch(1))
        await _take(fleet.processes[first], base_values())

    async def new_beside_stale():
        fleet.hosts["10.0.1.99"] = "z1"
        await _take(fleet.start("10.0.1.99"), base_values())

    async def restarts():
        for number, host in enumerate([first, *others]):
            fleet.processes.pop(host).crash()
            await _take(fleet.start(host, incarnation=200 + number), base_values())
            await until(lambda host=host: fleet.processes[host].store.version == 3, 5)

    events = {
        "a stale read": stale_read,
        "an older base": older_base,
        "a stale peer": stale_peer,
        "a new process beside a stale read": new_beside_stale,
        "restarts one by one": restarts,
    }
    on_loop(context, events[source]())


@then("configuration version {version:d} is in force everywhere within {limit:g} s")
def in_force_within(context, version, limit):
    on_loop(context, until(lambda: _in_force(context.fleet, version), limit))


@then("configuration version {version:d} is in force everywhere after {duration:g} s")
def in_force_after(context, version, duration):
    on_loop(context, asyncio.sleep(duration))
    assert _in_force(context.fleet, version)
    for process in context.fleet.processes.values():
        assert process.versions == sorted(set(process.versions)), process.versions


@then("configuration is confirmed everywhere within {limit:g} s")
def confirmed_everywhere(context, limit):
    processes = context.fleet.processes.values()
    on_loop(
        context,
        until(lambda: all(process.membership.sync.confirmed for process in processes), limit),
    )


@given("configuration of a process that starts at 0 s")
def starts(context):
    context.confirmation = Confirmation()


@when("configuration is {platform} by the platform and {peers} by peers")
def is_told(context, platform, peers):
    if platform == "told":
        context.confirmation.record_platform_read(0.0)
    version = 4 if peers == "told of a newer version" else 3
    if peers != "not told":
        confirmed = peers in ("told by a confirmed one", "told of a newer version")
        context.confirmation.record_peer_version(version, 0.0, confirmed=confirmed)


@then('configuration is confirmed "{early}" after {early_s:g} s and "{later}" after {later_s:g} s')
def is_confirmed(context, early, early_s, later, later_s):
    for expected, now_s in ((early, early_s), (later, later_s)):
        assert context.confirmation.is_confirmed(3, now_s) is (expected == "yes"), now_s


@when("configuration version 2 is another document at {others:d} processes that are {kind}")
def another_document(context, others, kind):
    fleet = context.fleet
    first, *hosts = fleet.processes
    context.kept = fleet.processes[first].store.digest

    async def start():
        fleet.partition(set(hosts[:others]), set(fleet.hosts) - set(hosts[:others]))
        for host in hosts[:others]:
            fleet.processes.pop(host).crash()
            process = fleet.start(host, incarnation=300)
            await _take(process, base_values(version=2, shards=5))
            if kind == "confirmed":
                process.membership.sync.confirmation.record_platform_read(process.clock())
        await asyncio.sleep(0.0 if kind == "new" else 3.0)
        fleet.heal()

    on_loop(context, start())


@then("configuration is the same document everywhere within {limit:g} s")
def same_document(context, limit):
    stores = [process.store for process in context.fleet.processes.values()]
    on_loop(context, until(lambda: len({store.digest for store in stores}) == 1, limit))


@then('configuration kept the document of the first process is "{kept}"')
def kept_document(context, kept):
    digest = next(iter(context.fleet.processes.values())).store.digest
    assert kept == "either" or digest == context.kept
