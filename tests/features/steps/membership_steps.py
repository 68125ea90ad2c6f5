"""Steps about membership."""

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

DEAD_INCARNATION = 2**40


def on_loop(context, work):
    """Go on in the scenario's virtual time."""
    return context.loop.run_until_complete(work)


def new_loop(context):
    """Start virtual time for a scenario."""
    context.loop = looptime.new_event_loop(start=1000.0, end=100_000.0, noop_cycles=1)
    asyncio.set_event_loop(context.loop)
    context.add_cleanup(close_loop, context.loop)


def close_loop(loop):
    """End every task of a scenario."""
    pending = asyncio.all_tasks(loop)
    for task in pending:
        task.cancel()
    loop.run_until_complete(asyncio.gather(*pending, return_exceptions=True))
    asyncio.set_event_loop(None)
    loop.close()


@given(
    "membership of {zones:d} zones with {hosts:d} hosts each that loses {loss:g} of its datagrams"
)
def start_fleet(context, zones, hosts, loss):
    new_loop(context)

    async def start():
        context.fleet = ProcessFleet(zones, hosts)
        await until(context.fleet.all_alive, 10)
        context.fleet.network.loss_ratio = loss

    on_loop(context, start())


class HostEvents:
    """What may happen to a host; each method is one event."""

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

    async def replaced_host(self):
        self.fleet.start(self.host, incarnation=1)

    async def pause(self):
        self.fleet.partition({self.host}, self.others)
        self.context.paused = self.fleet.processes[self.host]
        self.context.paused.crash()

    async def wake_up(self):
        self.fleet.heal()
        process = self.context.paused
        process.task = asyncio.create_task(process.membership.run())
        process.membership.handle_pause(process.clock())

    async def cut_off(self):
        self.fleet.partition({self.host}, self.others)

    async def cut_off_inward(self):
        self.fleet.partition(self.others, {self.host}, one_way=True)

    async def healing(self):
        self.fleet.heal()

    async def planned_stop(self):
        process = self.fleet.processes.pop(self.host)
        process.membership.announce_leaving()
        await asyncio.sleep(1)
        process.membership.announce_departure()
        process.crash()


@when('membership meets "{event}" at host "{host}"')
def meet(context, event, host):
    method = event.replace(" ", "_").replace("-", "_")
    on_loop(context, getattr(HostEvents(context, host), method)())


@when("membership is split around zone {zone:d} for {duration:g} s, {direction}")
def split(context, zone, duration, direction):
    fleet = context.fleet
    side = {host for host in fleet.hosts if host.startswith(f"10.0.{zone}.")}
    fleet.partition(side, set(fleet.hosts) - side, one_way=direction == "one way")
    on_loop(context, asyncio.sleep(duration))


@when('membership of host "{host}" flaps every {period:g} s for {duration:g} s')
def flap(context, host, period, duration):
    fleet = context.fleet

    async def run():
        for _ in range(int(duration / period / 2)):
            fleet.partition({host}, set(fleet.hosts) - {host})
            await asyncio.sleep(period)
            fleet.heal()
            await asyncio.sleep(period)

    on_loop(context, run())


@when("membership gets a datagram that is {fault}")
def get_datagram(context, fault):
    first, second = context.fleet.processes
    forged = Datagram(
        Member(Role.ENTRY, second, "z1", DEAD_INCARNATION, MemberState.DEAD),
        ConfigurationSummary(),
        Gossip(),
    )
    data = Codec().encode(forged)
    body = b"\x93\x01\x02\x03"
    wrong = b"fg1" + hashlib.blake2b(body, digest_size=8).digest() + body
    data, source = {
        "random bytes": (b"\x00" * 40, second),
        "damaged": (data[:-1] + b"\xff", second),
        "under another key": (Codec("secret").encode(forged), second),
        "in another's name": (data, "10.9.9.9"),
        "of wrong content": (wrong, second),
        "too long": (data + b"\x00" * 1400, second),
    }[fault]
    context.receiver = context.fleet.processes[first].membership
    context.fleet.network.receivers[PORTS.address(Role.ENTRY, first)](data, source)


@then('membership has counted it as "{fault}"')
def counted(context, fault):
    assert dict(context.receiver.ignored) == {fault: 1}, context.receiver.ignored


@then('membership holds "{host}" as {state} within {limit:g} s')
def holds(context, host, state, limit):
    fleet = context.fleet

    def held():
        return all(
            process.state_of(host) is MemberState[state]
            for process in fleet.processes.values()
            if process.host != host
        )

    on_loop(context, until(held, limit))


@then("membership holds all as alive within {limit:g} s")
def all_alive(context, limit):
    on_loop(context, until(context.fleet.all_alive, limit))


@when("membership is told by one process a fact that holds for {kept:g} s")
def tell_fact(context, kept):
    async def tell():
        process = next(iter(context.fleet.processes.values()))
        now_s = process.clock()
        process.board.add(Fact(FactKind.QUARANTINE, "f1", "crashes", now_s + kept), now_s)

    on_loop(context, tell())


@then("membership knows the fact everywhere within {limit:g} s")
def know_fact(context, limit):
    on_loop(context, until(lambda: all(_facts(context)), limit))


@then("membership knows the fact nowhere after {gone:g} s")
def forgot_fact(context, gone):
    on_loop(context, asyncio.sleep(gone))
    assert not any(_facts(context))


def _facts(context):
    return [
        process.board.values(FactKind.QUARANTINE, "f1", process.clock())
        for process in context.fleet.processes.values()
    ]


@when("membership loses {share:g} of its hosts at once")
def lose_hosts(context, share):
    fleet = context.fleet

    async def lose():
        context.before = {
            host: (
                process.clock(),
                process.membership.sent_datagrams,
                process.membership.sent_bytes,
            )
            for host, process in fleet.processes.items()
        }
        for host in list(fleet.processes)[: int(len(fleet.processes) * share)]:
            fleet.processes.pop(host).crash()

    on_loop(context, lose())


@then("membership holds only the others as alive within {limit:g} s")
def holds_only(context, limit):
    alive = set(context.fleet.processes)

    def held():
        return all(
            {member.host for member in process.membership.table.reachable()} | {host} == alive
            for host, process in context.fleet.processes.items()
        )

    on_loop(context, until(held, limit))


@then("membership sent at most {datagrams:d} datagrams and {size:d} bytes a second per process")
def sent_at_most(context, datagrams, size):
    assert context.fleet.network.max_datagram_bytes <= MAX_DATAGRAM_BYTES
    for host, process in context.fleet.processes.items():
        since_s, datagrams_before, bytes_before = context.before[host]
        elapsed_s = process.clock() - since_s
        assert (process.membership.sent_datagrams - datagrams_before) / elapsed_s <= datagrams
        assert (process.membership.sent_bytes - bytes_before) / elapsed_s <= size
