"""Steps about membership and the facts that members exchange."""

from __future__ import annotations

import asyncio
import hashlib

import looptime
from behave import given, then, when

from fighinge.facts import Fact, FactKind
from fighinge.membership.member import Member, MemberState, Role
from fighinge.membership.messages import (
    MAX_DATAGRAM_BYTES,
    Codec,
    ConfigurationSummary,
    Datagram,
    Gossip,
)
from tests.fleets import PORTS, ProcessFleet, until

FORGED_INCARNATION = 2**40


def on_loop(context, coroutine):
    """Run a coroutine on the scenario's event loop, in virtual time."""
    return context.loop.run_until_complete(coroutine)


def new_loop(context):
    """Create the event loop with virtual time for a scenario."""
    context.loop = looptime.new_event_loop(start=1000.0, end=100_000.0, noop_cycles=1)
    asyncio.set_event_loop(context.loop)
    context.add_cleanup(close_loop, context.loop)


def close_loop(loop):
    """Cancel the tasks of a scenario and close its event loop."""
    pending = asyncio.all_tasks(loop)
    for task in pending:
        task.cancel()
    loop.run_until_complete(asyncio.gather(*pending, return_exceptions=True))
    asyncio.set_event_loop(None)
    loop.close()


@given(
    "{zones:d} data centre(s) with {hosts:d} hosts each and a datagram loss ratio of {loss_ratio:g}"
)
def given_fleet(context, zones, hosts, loss_ratio):
    new_loop(context)

    async def start():
        context.fleet = ProcessFleet(zones, hosts)
        await until(context.fleet.all_alive, 10)
        context.fleet.network.loss_ratio = loss_ratio

    on_loop(context, start())


class HostEvents:
    """Events on a host; each method is one event."""

    def __init__(self, context, host):
        self.context = context
        self.fleet = context.fleet
        self.host = host
        self.others = set(self.fleet.hosts) - {host}

    async def crash(self):
        self.fleet.processes.pop(self.host).crash()

    async def restart(self):
        self.fleet.start(self.host, incarnation=101)

    async def restart_without_seeds(self):
        self.fleet.start(self.host, incarnation=101).membership.set_seeds([])

    async def host_replacement(self):
        self.fleet.start(self.host, incarnation=1)

    async def pause(self):
        self.fleet.partition({self.host}, self.others)
        self.context.paused = self.fleet.processes[self.host]
        self.context.paused.crash()

    async def resumption(self):
        self.fleet.heal()
        process = self.context.paused
        process.task = asyncio.create_task(process.membership.run())
        process.membership.handle_pause(process.clock())

    async def partition(self):
        self.fleet.partition({self.host}, self.others)

    async def inbound_partition(self):
        self.fleet.partition(self.others, {self.host}, one_way=True)

    async def network_repair(self):
        self.fleet.heal()

    async def graceful_shutdown(self):
        process = self.fleet.processes.pop(self.host)
        process.membership.announce_leaving()
        await asyncio.sleep(1)
        process.membership.announce_departure()
        process.crash()


@when('the event "{event}" occurs on host "{host}"')
def trigger_event(context, event, host):
    method = event.replace(" ", "_").replace("-", "_")
    on_loop(context, getattr(HostEvents(context, host), method)())


@when("data centre {zone:d} is partitioned from the others for {duration_s:g} s, {direction}")
def partition_zone(context, zone, duration_s, direction):
    fleet = context.fleet
    zone_hosts = {host for host in fleet.hosts if host.startswith(f"10.0.{zone}.")}
    fleet.partition(
        zone_hosts, set(fleet.hosts) - zone_hosts, one_way=direction == "in one direction"
    )
    on_loop(context, asyncio.sleep(duration_s))


@when('the network of host "{host}" flaps every {period_s:g} s for {duration_s:g} s')
def flap_network(context, host, period_s, duration_s):
    fleet = context.fleet

    async def run():
        for _ in range(int(duration_s / period_s / 2)):
            fleet.partition({host}, set(fleet.hosts) - {host})
            await asyncio.sleep(period_s)
            fleet.heal()
            await asyncio.sleep(period_s)

    on_loop(context, run())


@when("a process receives a datagram {fault}")
def receive_datagram(context, fault):
    first, second = context.fleet.processes
    forged = Datagram(
        Member(Role.ENTRY, second, "z1", FORGED_INCARNATION, MemberState.DEAD),
        ConfigurationSummary(),
        Gossip(),
    )
    data = Codec().encode(forged)
    body = b"\x93\x01\x02\x03"
    unexpected = b"fg1" + hashlib.blake2b(body, digest_size=8).digest() + body
    data, source = {
        "of random bytes": (b"\x00" * 40, second),
        "with a corrupted byte": (data[:-1] + b"\xff", second),
        "authenticated with another key": (Codec("secret").encode(forged), second),
        "sent from another address": (data, "10.9.9.9"),
        "with unexpected content": (unexpected, second),
        "over the size limit": (data + b"\x00" * 1400, second),
    }[fault]
    context.receiver = context.fleet.processes[first].membership
    context.fleet.network.receivers[PORTS.address(Role.ENTRY, first)](data, source)


@then('the datagram is counted as ignored because of "{reason}"')
def check_ignored(context, reason):
    assert dict(context.receiver.ignored) == {reason: 1}, context.receiver.ignored


@then('all other processes consider host "{host}" {state} within {limit_s:g} s')
def check_state(context, host, state, limit_s):
    on_loop(context, until(lambda: context.fleet.all_agree(host, MemberState[state]), limit_s))


@then("all processes consider all others alive within {limit_s:g} s")
def check_all_alive(context, limit_s):
    on_loop(context, until(context.fleet.all_alive, limit_s))


@when("one process publishes a fact that is valid for {valid_s:g} s")
def publish_fact(context, valid_s):
    async def publish():
        process = next(iter(context.fleet.processes.values()))
        now_s = process.clock()
        process.board.add(Fact(FactKind.QUARANTINE, "f1", "crashes", now_s + valid_s), now_s)

    on_loop(context, publish())


@then("all processes know the fact within {limit_s:g} s")
def check_fact_known(context, limit_s):
    on_loop(context, until(lambda: all(_fact_values(context)), limit_s))


@then("no process knows the fact after {expired_s:g} s")
def check_fact_expired(context, expired_s):
    on_loop(context, asyncio.sleep(expired_s))
    assert not any(_fact_values(context))


def _fact_values(context):
    return [
        process.board.values(FactKind.QUARANTINE, "f1", process.clock())
        for process in context.fleet.processes.values()
    ]


@when("a fraction of {fraction:g} of the hosts crashes at once")
def crash_hosts(context, fraction):
    fleet = context.fleet

    async def crash_all():
        context.traffic_before = {
            host: (
                process.clock(),
                process.membership.sent_datagrams,
                process.membership.sent_bytes,
            )
            for host, process in fleet.processes.items()
        }
        for host in list(fleet.processes)[: int(len(fleet.processes) * fraction)]:
            fleet.processes.pop(host).crash()

    on_loop(context, crash_all())


@then("all processes consider only the remaining ones alive within {limit_s:g} s")
def check_only_remaining_alive(context, limit_s):
    alive = set(context.fleet.processes)

    def agreed():
        return all(
            {member.host for member in process.membership.table.reachable()} | {host} == alive
            for host, process in context.fleet.processes.items()
        )

    on_loop(context, until(agreed, limit_s))


@then(
    "each process sends at most {max_datagrams:d} datagrams and {max_bytes:d} bytes per second,"
    " in datagrams within the size limit"
)
def check_traffic(context, max_datagrams, max_bytes):
    assert context.fleet.network.max_datagram_bytes <= MAX_DATAGRAM_BYTES
    for host, process in context.fleet.processes.items():
        since_s, datagrams_before, bytes_before = context.traffic_before[host]
        elapsed_s = process.clock() - since_s
        assert (process.membership.sent_datagrams - datagrams_before) / elapsed_s <= max_datagrams
        assert (process.membership.sent_bytes - bytes_before) / elapsed_s <= max_bytes
