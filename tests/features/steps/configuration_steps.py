"""Steps about the activation and confirmation of configuration versions."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from fighinge.configuration.confirmation import Confirmation
from fighinge.ownership import rendezvous_weight
from tests.features.steps.membership_steps import new_loop, on_loop
from tests.fleets import ProcessFleet, base_values, until, zone_patch


def _is_active(fleet, version):
    return all(process.store.version == version for process in fleet.processes.values())


async def _start_fleet(version, zones, hosts, **changes):
    fleet = ProcessFleet(zones, hosts)
    await until(fleet.all_alive, 10)
    for process in fleet.processes.values():
        process.store.apply_published(base_values(**changes))
        for number in range(1, version):
            process.store.apply_published(zone_patch(number, in_service=number % 2 == 0))
        process.membership.sync.confirmation.record_platform_read(process.clock())
    await asyncio.sleep(2)
    return fleet


@given(
    "configuration version {version:d} is active"
    " in {zones:d} data centre(s) with {hosts:d} hosts each"
)
def given_active_version(context, version, zones, hosts):
    new_loop(context)
    context.fleet = on_loop(context, _start_fleet(version, zones, hosts))


@given(
    "configuration version 1 with {shards:d} shards is active"
    " in {zones:d} data centre(s) with {hosts:d} hosts each"
)
def given_active_version_with_shards(context, shards, zones, hosts):
    new_loop(context)
    context.fleet = on_loop(context, _start_fleet(1, zones, hosts, shards=shards))


@given('the network between the processes has "{fault}"')
def set_network_fault(context, fault):
    network = context.fleet.network
    if fault == "one-way partitions":
        network.is_blocked = lambda sender, receiver: rendezvous_weight(sender, receiver) % 3 == 0
    else:
        network.loss_ratio = {
            "no fault": 0.0,
            "10 % datagram loss": 0.1,
            "33 % datagram loss": 0.33,
        }[fault]


@when("only one process reads configuration version 2")
def read_in_one_process(context):
    on_loop(context, _apply_published(next(iter(context.fleet.processes.values())), zone_patch(1)))


async def _apply_published(process, values):
    process.store.apply_published(values)


@when("another process starts without access to the platform")
def start_another_process(context):
    fleet = context.fleet
    fleet.hosts["10.0.1.99"] = "z1"

    async def start():
        fleet.start("10.0.1.99")

    on_loop(context, start())


@when('the fleet is disturbed by "{source}"')
def disturb(context, source):
    fleet = context.fleet
    first, *others = fleet.processes

    async def stale_read():
        fleet.processes[first].store.discard_published()
        await _apply_published(fleet.processes[first], base_values())

    async def older_base():
        await _apply_published(fleet.processes[first], base_values(version=2, shards=5))

    async def stale_peer():
        fleet.processes.pop(first).crash()
        await _apply_published(fleet.start(first, incarnation=200), zone_patch(1))
        await _apply_published(fleet.processes[first], base_values())

    async def new_process_with_stale_reads():
        fleet.hosts["10.0.1.99"] = "z1"
        await _apply_published(fleet.start("10.0.1.99"), base_values())

    async def rolling_restart():
        for number, host in enumerate([first, *others]):
            fleet.processes.pop(host).crash()
            await _apply_published(fleet.start(host, incarnation=200 + number), base_values())
            await until(lambda host=host: fleet.processes[host].store.version == 3, 5)

    events = {
        "a stale read": stale_read,
        "an older base": older_base,
        "a stale peer": stale_peer,
        "a new process with stale reads": new_process_with_stale_reads,
        "a rolling restart": rolling_restart,
    }
    on_loop(context, events[source]())


@then("configuration version {version:d} is active in all processes within {limit_s:g} s")
def check_active_within(context, version, limit_s):
    on_loop(context, until(lambda: _is_active(context.fleet, version), limit_s))


@then(
    "configuration version {version:d} is still active in all processes after {duration_s:g} s"
    " and was never rolled back"
)
def check_still_active(context, version, duration_s):
    on_loop(context, asyncio.sleep(duration_s))
    assert _is_active(context.fleet, version)
    for process in context.fleet.processes.values():
        assert process.versions == sorted(set(process.versions)), process.versions


@then("the configuration is confirmed in all processes within {limit_s:g} s")
def check_confirmed_in_all(context, limit_s):
    processes = context.fleet.processes.values()
    on_loop(
        context,
        until(lambda: all(process.membership.sync.confirmed for process in processes), limit_s),
    )


@given("a process that starts at 0 s with configuration version 3")
def given_process(context):
    context.confirmation = Confirmation()


@when("the platform is {platform} and {peer} reports its configuration version")
def report_versions(context, platform, peer):
    if platform == "read":
        context.confirmation.record_platform_read(0.0)
    version = 4 if peer == "a confirmed peer with a newer version" else 3
    if peer != "no peer":
        confirmed = peer in ("a confirmed peer", "a confirmed peer with a newer version")
        context.confirmation.record_peer_version(version, 0.0, confirmed=confirmed)


@then(
    'the configuration is confirmed after {early_s:g} s: "{early}",'
    ' and after {late_s:g} s: "{late}"'
)
def check_confirmation(context, early, early_s, late, late_s):
    for expected, now_s in ((early, early_s), (late, late_s)):
        assert context.confirmation.is_confirmed(3, now_s) is (expected == "yes"), now_s


@when("{others:d} {state} process(es) have another document as version 2")
def activate_another_document(context, others, state):
    """Restart processes with another document in a partition, which then ends."""
    fleet = context.fleet
    first, *hosts = fleet.processes
    context.first_digest = fleet.processes[first].store.digest

    async def start():
        fleet.partition(set(hosts[:others]), set(fleet.hosts) - set(hosts[:others]))
        for host in hosts[:others]:
            fleet.processes.pop(host).crash()
            process = fleet.start(host, incarnation=300)
            await _apply_published(process, base_values(version=2, shards=5))
            if state == "confirmed":
                process.membership.sync.confirmation.record_platform_read(process.clock())
        await asyncio.sleep(0.0 if state == "new" else 3.0)
        fleet.heal()

    on_loop(context, start())


@then("all processes have the same document within {limit_s:g} s")
def check_same_document(context, limit_s):
    stores = [process.store for process in context.fleet.processes.values()]
    on_loop(context, until(lambda: len({store.digest for store in stores}) == 1, limit_s))


@then('"{kept}" is kept')
def check_kept_document(context, kept):
    digest = next(iter(context.fleet.processes.values())).store.digest
    assert kept == "either document" or digest == context.first_digest
