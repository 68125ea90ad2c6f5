"""Tests of the reports of backend servers between routers, over an in-memory network."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import random

import msgspec
import pytest

from fighinge.aggregator.base import Address, CallFailure, CallFault
from fighinge.platform.headers import PlatformCodec
from fighinge.router.addresses import RouterAddress
from fighinge.router.backend import MIN_DOWN_BACKOFF_S
from fighinge.router.changes import BackendListed, TablePublished
from fighinge.router.peer_channel import MAX_DATAGRAM_BYTES, PeerChannel
from fighinge.router.pool import BackendPool
from fighinge.router.received_reports import (
    DISTRUST_S,
    REPORT_TTL_S,
    ReceivedReport,
    ReceivedReports,
)
from fighinge.router.retry_budget import RetryBudgetLimits
from fighinge.router.server_report_exchange import MAX_FOLLOWED, ServerReportExchange
from fighinge.router.server_reports import (
    ANSWERING,
    MAX_NEAR_RECEIVERS,
    MAX_OBSERVATION_AGE_S,
    MAX_RECEIVERS,
    UNCERTAIN,
    UNREACHABLE,
    Condition,
    ReportPlan,
    ServerReport,
    ServerReports,
    report_receivers,
    trial_router,
)
from fighinge.router.view import View
from tests.router.builders import (
    COLD_LIMITS,
    REFUSED,
    TYPICAL_S,
    MemoryLog,
    answer,
    backend_record,
    request,
    route,
    table,
)
from tests.virtual_time import run

TICK_S = 0.1
ZONES = ("z1", "z2", "z3")
TIMED_OUT = CallFailure(CallFault.TIMEOUT, "no answer in time")


class MemoryNetwork:
    """Delivers datagrams late, or not at all, as the clock advances."""

    def __init__(self, *, loss: float = 0.0, delay_s: float = 0.002, seed: int = 1) -> None:
        self.random = random.Random(seed)
        self.loss = loss
        self.delay_s = delay_s
        self.now_s = 1000.0
        self.cut: set[tuple[str, str]] = set()
        self.receivers = {}
        self.sent: list[tuple[float, str, str, bytes]] = []
        self._numbers = itertools.count()
        self._due: list[tuple[float, int, str, str, bytes]] = []

    def send(self, source: str, data: bytes, host: str) -> None:
        """Send a datagram, which may be lost."""
        self.sent.append((self.now_s, source, host, data))
        if self.random.random() >= self.loss and (source, host) not in self.cut:
            at_s = self.now_s + self.delay_s * (0.5 + self.random.random())
            heapq.heappush(self._due, (at_s, next(self._numbers), source, host, data))

    def deliver(self, until_s: float) -> None:
        """Advance the clock and deliver what is due."""
        while self._due and self._due[0][0] <= until_s:
            self.now_s, _, source, host, data = heapq.heappop(self._due)
            if host in self.receivers:
                self.receivers[host](data, source)
        self.now_s = until_s


class MemoryTransport:
    """The transport of one router."""

    def __init__(self, network: MemoryNetwork, host: str) -> None:
        self._network = network
        self._host = host

    async def open(self, receive) -> None:
        """Start receiving."""
        self._network.receivers[self._host] = receive

    def send(self, data, address) -> None:
        """Send a datagram."""
        self._network.send(self._host, data, address.host)

    def close(self) -> None:
        """Stop receiving."""


class Links:
    """Links of a router to its servers, whose state tests set."""

    def __init__(self) -> None:
        self.is_cut_off = False
        self.has_failures = False

    def is_suspected(self, _now_s: float) -> bool:
        """Return whether failures may be due to the links."""
        return self.is_cut_off or self.has_failures


class RouterNode:
    """A router's pool and its exchange of reports."""

    def __init__(self, fleet: ReportingFleet, own: RouterAddress) -> None:
        self.own = own
        self.fleet = fleet
        self.log = MemoryLog()
        self.view = View(self.log)
        self.links = Links()
        self.probed: list[Address] = []
        self.pool = BackendPool(
            self.view, own, RetryBudgetLimits(0.2, 10.0, 56.0), COLD_LIMITS, random.Random(1)
        )
        network = fleet.network
        channel = PeerChannel(MemoryTransport(network, own.host), 7, lambda _host: True)
        self.exchange = ServerReportExchange(
            self.pool,
            channel,
            own,
            lambda: fleet.carrying,
            self._accepts,
            self.links,
            self.log,
            lambda: network.now_s,
            lambda: network.now_s,
        )
        self.channel = channel

    async def _accepts(self, address: Address) -> bool:
        self.probed.append(address)
        return address.port not in self.fleet.unreachable_ports

    def backend(self, name: str):
        """Return a server by its instance ID."""
        return self.pool.find_run(name, 1)

    def record(self, name: str, result=None, ratio: float = 1.0) -> None:
        """Record a call that ends now with a result, by default a success."""
        now_s = self.fleet.network.now_s
        backend = self.backend(name)
        number = backend.start_call(TYPICAL_S, now_s - ratio * TYPICAL_S)
        if not isinstance(result, CallFailure):
            result = PlatformCodec().decode_response(request(), result or answer())
        backend.finish_call(number, result, now_s)

    def chosen(self, tries: int = 20) -> set[str]:
        """Return the servers that calls of the service go to."""
        service = self.pool.service("s0")
        choices = (
            self.pool.choose(service.backends, TYPICAL_S, self.fleet.network.now_s)
            for _ in range(tries)
        )
        return {choice.record.instance_id for choice in choices if choice is not None}


class ReportingFleet:
    """Routers of three data centres, two in each unless said otherwise, and three servers."""

    def __init__(self, *, per_zone: int = 2, priority: int = 0, zones=ZONES, **network) -> None:
        self.network = MemoryNetwork(**network)
        self.unreachable_ports: set[int] = set()
        self.carrying = [
            RouterAddress(f"{zone}-{number}", zone) for zone in zones for number in range(per_zone)
        ]
        self.routers = {own.host: RouterNode(self, own) for own in self.carrying}
        records = [
            backend_record(f"i{number}", zone="z1", address=Address("127.0.0.1", 9000 + number))
            for number in range(3)
        ]
        for router in self.routers.values():
            listed = [BackendListed(record) for record in records]
            router.view.apply([TablePublished(table(route(priority=priority))), *listed], 1000.0)

    async def open(self) -> None:
        """Open the channels."""
        for router in self.routers.values():
            await router.channel.open()

    async def run_for(self, duration_s: float, each_tick=lambda: None) -> None:
        """Advance all routers."""
        for _ in range(round(duration_s / TICK_S)):
            each_tick()
            for router in self.routers.values():
                router.exchange.update(self.network.now_s)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            self.network.deliver(self.network.now_s + TICK_S)

    def __getitem__(self, host: str) -> RouterNode:
        return self.routers[host]


def _play(play, **options):
    async def work():
        fleet = ReportingFleet(**options)
        await fleet.open()
        await play(fleet)

    run(work())


@pytest.mark.parametrize("seed", range(10))
def test_slow_server_is_known_everywhere_within_some_hundred_milliseconds_despite_loss(seed):
    """Guards against routers that each find out by a slow call of their own."""

    async def play(fleet):
        for _ in range(6):
            fleet["z1-0"].record("i0", ratio=9.0)
        await fleet.run_for(0.5)
        for router in fleet.routers.values():
            assert router.backend("i0").slowness(fleet.network.now_s) > 2.5
            assert "i0" not in router.chosen()

    _play(play, loss=0.1, delay_s=0.01, seed=seed)


def test_report_ends_by_expiry_if_its_sender_is_lost():
    """Guards against a report that outlives what it is about."""

    async def play(fleet):
        for _ in range(6):
            fleet["z1-0"].record("i0", ratio=9.0)
        await fleet.run_for(0.3)
        received = fleet["z1-1"].backend("i0")
        assert received.slowness(fleet.network.now_s) > 2.5
        del fleet.routers["z1-0"]
        await fleet.run_for(1.3)
        assert received.slowness(fleet.network.now_s) == 1.0

    _play(play)


def test_return_to_usual_is_reported():
    async def play(fleet):
        for _ in range(6):
            fleet["z1-0"].record("i0", ratio=9.0)
        await fleet.run_for(0.3)
        slow = fleet["z1-1"].backend("i0").slowness(fleet.network.now_s)
        for _ in range(12):
            fleet["z1-0"].record("i0")
        await fleet.run_for(0.2)
        assert fleet["z1-1"].backend("i0").slowness(fleet.network.now_s) < 1.3 < slow
        await fleet.run_for(2.0)
        before = len(fleet.network.sent)
        await fleet.run_for(2.0)
        assert len(fleet.network.sent) == before

    _play(play)


def test_own_fresher_observation_goes_first():
    """Guards a router with calls of its own against what others say."""

    async def play(fleet):
        for _ in range(6):
            fleet["z1-0"].record("i0", ratio=9.0)
        await fleet.run_for(0.3)
        fleet["z1-1"].record("i0")
        assert fleet["z1-1"].backend("i0").slowness(fleet.network.now_s) == pytest.approx(1.0)

    _play(play)


def test_received_reports_are_not_passed_on():
    """Guards against routers that keep a report alive among themselves."""

    async def play(fleet):
        for _ in range(6):
            fleet["z1-0"].record("i0", ratio=9.0)
        fleet["z1-0"].record("i1", REFUSED)
        await fleet.run_for(1.5)
        assert {source for _, source, _, _ in fleet.network.sent} == {"z1-0"}
        assert "z1-0" not in {host for _, _, host, _ in fleet.network.sent}

    _play(play)


def test_own_report_holds_nothing_that_was_heard():
    """Guards against feedback by a router that has itself something to report of the server."""

    async def play(fleet):
        fleet["z1-1"].record("i0", REFUSED)
        await fleet.run_for(0.1)
        for _ in range(6):
            fleet["z1-0"].record("i0", ratio=9.0)
        await fleet.run_for(1.0)
        assert fleet["z1-1"].backend("i0").slowness(fleet.network.now_s) > 1.5
        slowness = {
            report.slowness_tenths
            for _, source, _, data in fleet.network.sent
            for report in msgspec.msgpack.decode(data, type=ServerReports).reports
            if source == "z1-1"
        }
        assert slowness == {10}

    _play(play)


def test_server_out_of_reach_of_one_data_centre_stays_in_use_in_the_others():
    """Guards against links of a data centre that are taken for a failure of servers."""

    async def play(fleet):
        for host in ("z1-0", "z1-1"):
            fleet[host].record("i0", REFUSED)
            fleet[host].record("i0", TIMED_OUT, ratio=20.0)
        await fleet.run_for(0.3)
        now_s = fleet.network.now_s
        for host in ("z2-0", "z2-1", "z3-0", "z3-1"):
            backend = fleet[host].backend("i0")
            assert not backend.is_in_doubt(now_s)
            assert backend.failure_rate(now_s) == 0.0
            assert backend.slowness(now_s) == 1.0
        fleet["z2-0"].record("i0", REFUSED)
        await fleet.run_for(0.2)
        assert fleet["z3-0"].backend("i0").is_in_doubt(fleet.network.now_s)

    _play(play)


def test_reported_servers_are_never_the_loss_of_a_shard():
    """Guards the last servers of a service: a report is only a detour."""

    async def play(fleet):
        for name in ("i0", "i1", "i2"):
            fleet["z1-0"].record(name, REFUSED)
        fleet.unreachable_ports = {9000, 9001, 9002}
        await fleet.run_for(0.3)
        other = fleet["z1-1"]
        now_s = fleet.network.now_s
        assert all(other.backend(name).is_in_doubt(now_s) for name in ("i0", "i1", "i2"))
        assert other.chosen() == {"i0", "i1", "i2"}

    _play(play)


def test_server_in_doubt_is_chosen_only_without_another_one():
    async def play(fleet):
        fleet.unreachable_ports = {9000}
        fleet["z1-0"].record("i0", REFUSED)
        await fleet.run_for(0.3)
        other = fleet["z1-1"]
        for name in ("i1", "i2"):  # so slow that cost alone would choose the server in doubt
            for _ in range(6):
                other.record(name, ratio=6.0)
        assert other.chosen() == {"i1", "i2"}
        for name in ("i1", "i2"):
            other.backend(name).record_leaving()
        assert other.chosen() == {"i0"}

    _play(play)


def test_one_router_at_a_time_probes_a_server_in_doubt_without_a_request():
    """Guards against all routers that try an unreachable server with callers' requests."""

    async def play(fleet):
        fleet.unreachable_ports = {9000}

        def fail_again():
            for host in ("z1-0", "z2-0"):
                if not fleet[host].backend("i0").is_down(fleet.network.now_s):
                    fleet[host].record("i0", REFUSED)

        await fleet.run_for(4.0, fail_again)
        probes = sum(len(router.probed) for router in fleet.routers.values())
        assert 1 <= probes <= 5  # one in each second by the wall clock
        for host in ("z1-1", "z2-1", "z3-0", "z3-1"):
            assert "i0" not in fleet[host].chosen()

    _play(play)


def test_recovered_server_is_used_by_all_soon_after_one_router_has_tried_it():
    """Guards against a server that is back and that no router tries."""

    async def play(fleet):
        fleet.unreachable_ports = {9000}
        for router in fleet.routers.values():
            router.record("i0", REFUSED)
        await fleet.run_for(0.5)
        fleet.unreachable_ports = set()

        def call_if_chosen():
            for router in fleet.routers.values():
                if "i0" in router.chosen(4):
                    router.record("i0")

        await fleet.run_for(4.0, call_if_chosen)
        for router in fleet.routers.values():
            assert not router.backend("i0").is_in_doubt(fleet.network.now_s)
            assert "i0" in router.chosen(60)

    _play(play)


def test_router_whose_report_is_refuted_by_answers_is_not_believed():
    """Guards a healthy server against one router with a broken link that keeps reporting it."""

    async def play(fleet):
        doubts = 0

        def call():
            nonlocal doubts
            wrong = fleet["z1-0"]
            if not wrong.backend("i0").is_down(fleet.network.now_s):
                wrong.record("i0", REFUSED)
            for host in ("z1-1", "z2-0", "z3-0"):
                router = fleet[host]
                doubts += router.backend("i0").is_in_doubt(fleet.network.now_s)
                if "i0" in router.chosen(4):
                    router.record("i0")

        await fleet.run_for(6.0, call)
        assert doubts <= 3 * 20  # of 180: a turn of each router until it has refuted

    _play(play)


@pytest.mark.parametrize("state", ["is_cut_off", "has_failures"])
def test_router_that_suspects_its_own_links_reports_no_failures(state):
    async def play(fleet):
        setattr(fleet["z1-0"].links, state, True)
        fleet["z1-0"].record("i0", REFUSED)
        await fleet.run_for(0.5)
        assert fleet.network.sent == []

    _play(play)


def test_no_reports_where_load_management_is_off():
    """Guards the deployments that are served as before."""

    async def play(fleet):
        for _ in range(6):
            fleet["z1-0"].record("i0", ratio=9.0)
        fleet["z1-0"].record("i1", REFUSED)
        message = ServerReports("z1", (ServerReport("i2", 1, 90, 0, UNREACHABLE, 0),))
        fleet["z1-1"].channel.send("z1-0", message)
        await fleet.run_for(MIN_DOWN_BACKOFF_S + 0.2)
        assert len(fleet.network.sent) == 1
        assert not fleet["z1-0"].backend("i2").is_in_doubt(fleet.network.now_s)
        assert not fleet["z1-0"].exchange.is_excluded(
            fleet["z1-0"].backend("i1"), fleet.network.now_s
        )

    _play(play, priority=1)


def test_router_of_an_older_build_is_not_disturbed():
    """Guards a build whose channel has no handler of reports, or another one's messages."""

    class Greeting(msgspec.Struct, frozen=True, array_like=True, tag="greeting"):
        text: str

    received = []
    network = MemoryNetwork()
    older = PeerChannel(MemoryTransport(network, "old"), 7, lambda _host: True)
    older.handle(Greeting, lambda message, _host: received.append(message))
    asyncio.run(older.open())
    newer = PeerChannel(MemoryTransport(network, "new"), 7, lambda _host: True)
    newer.send("old", ServerReports("z1", (ServerReport("i0", 1, 90, 0, UNREACHABLE, 0),)))
    newer.send("old", Greeting("hello"))
    network.deliver(1001.0)
    assert received == [Greeting("hello")]


def test_report_of_a_later_build_with_further_fields_is_read():
    data = msgspec.msgpack.encode(
        ["server-reports", "z1", [["i0", 1, 90, 0, 7, 20, "a later field"]], "another one"]
    )
    message = msgspec.msgpack.decode(data, type=ServerReports)
    assert message.reports == (ServerReport("i0", 1, 90, 0, 7, 20),)


def test_reports_of_another_run_or_an_unknown_server_are_ignored():
    async def play(fleet):
        reports = (
            ServerReport("i0", 2, 90, 0, UNREACHABLE, 0),
            ServerReport("unknown", 1, 90, 0, UNREACHABLE, 0),
        )
        fleet["z1-1"].channel.send("z1-0", ServerReports("z1", reports))
        await fleet.run_for(0.2)
        backend = fleet["z1-0"].backend("i0")
        assert not backend.is_in_doubt(fleet.network.now_s)
        assert backend.slowness(fleet.network.now_s) == 1.0

    _play(play)


@pytest.mark.parametrize(
    ("receivers", "carries"), [(8, True), (MAX_RECEIVERS, True), (MAX_RECEIVERS, False)]
)
def test_bytes_are_bounded_while_a_seventh_of_2800_servers_changes(receivers, carries):
    """Guards the network of a host while many servers are in trouble at once."""
    random_source = random.Random(7)
    plan = ReportPlan(0.0)
    sent: list[tuple[float, int]] = []
    reported = set()
    for tick in range(200):
        now_s = tick * TICK_S
        for number in random_source.sample(range(2800), 400):
            slowness = 1.0 + 12.0 * random_source.random()
            state = random_source.choice([ANSWERING, UNREACHABLE, UNCERTAIN])
            plan.observe(Condition(f"shard-{number}", 1, slowness, 0.2, state, now_s), now_s)
        reports = plan.take(receivers, now_s, carries_callers=carries)
        data = msgspec.msgpack.encode(ServerReports("data-centre-1", tuple(reports)))
        assert len(data) <= MAX_DATAGRAM_BYTES
        sent.append((now_s, receivers * (len(data) + 28) if reports else 0))
        reported.update(report.instance_id for report in reports)
    for first in range(len(sent) - 10):
        assert sum(size for _, size in sent[first : first + 10]) <= 10_000
    assert len(reported) > 20
    assert len(plan) <= 2800


def test_number_of_followed_servers_is_bounded():
    """Guards the processor time of a router while very many servers are in trouble at once."""

    async def play(fleet):
        router = fleet["z1-0"]
        records = [backend_record(f"x{number}", "s1") for number in range(500)]
        router.view.apply([BackendListed(record) for record in records], 1000.0)

        def record():
            for number in range(500):
                router.record(f"x{number}", TIMED_OUT, ratio=9.0)

        await fleet.run_for(1.0, record)
        assert len(router.exchange._followed) == MAX_FOLLOWED
        names = {
            report.instance_id
            for *_, data in fleet.network.sent
            for report in msgspec.msgpack.decode(data, type=ServerReports).reports
        }
        assert len(names) > 10

    _play(play)


def test_small_trouble_is_repeated_in_time():
    """Guards against expiry between repetitions: 16 slow servers, reported to eight routers."""
    plan = ReportPlan(0.0)
    sent_s = {}
    worst_s = 0.0
    for tick in range(100):
        now_s = tick * TICK_S
        for number in range(16):
            plan.observe(Condition(f"shard-{number}-2", 1, 9.0, 0.0, ANSWERING, now_s), now_s)
        for report in plan.take(8, now_s, carries_callers=True):
            worst_s = max(worst_s, now_s - sent_s.get(report.instance_id, now_s))
            sent_s[report.instance_id] = now_s
    assert len(sent_s) == 16
    assert worst_s <= REPORT_TTL_S


def test_refuted_router_is_not_believed_until_a_while_later():
    """Guards against a doubt that returns with each report of a router with a broken link."""
    received = ReceivedReports()
    received.add(_received("a", state=UNREACHABLE), 10.0)
    assert received.is_unreachable(9.9, 10.0)
    assert received.refute(10.1, 10.1)
    received.add(_received("a", state=UNREACHABLE), 10.3)
    assert not received.is_unreachable(10.1, 10.3)
    received.add(_received("b", state=UNREACHABLE), 10.4)
    assert received.is_unreachable(10.1, 10.4)
    received.add(_received("a", state=UNREACHABLE), 10.2 + DISTRUST_S)
    assert received.is_unreachable(10.1, 10.2 + DISTRUST_S)


def test_late_reports_are_ignored():
    received = ReceivedReports()
    old = _received("a", age_s=MAX_OBSERVATION_AGE_S + 0.1, state=UNREACHABLE)
    received.add(old, 10.0)
    assert not received.is_unreachable(0.0, 10.0)
    received.add(_received("a", slowness=1.0, age_s=0.0), 10.0)
    received.add(_received("a", slowness=9.0, age_s=1.0), 10.1)
    assert received.slowness(1.0, 0.0, 10.1) == 1.0


def test_one_wrong_report_of_slowness_counts_half_and_more_of_them_nearly_all():
    received = ReceivedReports()
    received.add(_received("a", slowness=9.0), 10.0)
    assert received.slowness(1.0, 0.0, 10.0) == 5.0
    for origin in ("b", "c"):
        received.add(_received(origin, slowness=9.0), 10.0)
    assert received.slowness(1.0, 0.0, 10.0) == 8.0


def test_trial_turn_changes_each_second_over_all_routers():
    hosts = [f"10.0.0.{number}" for number in range(9)]
    turns = [trial_router("i0@1", hosts, second) for second in range(200)]
    assert set(turns) == set(hosts)
    assert turns == [trial_router("i0@1", hosts[::-1], second) for second in range(200)]


def test_most_receivers_are_in_the_own_data_centre_and_all_get_their_turn():
    own = RouterAddress("z2-0", "z2")
    carrying = [RouterAddress(f"{zone}-{n}", zone) for zone in ZONES for n in range(20)]
    first = report_receivers(carrying, own, 1)
    assert len(first) == MAX_RECEIVERS
    assert [router.zone for router in first].count("z2") == MAX_NEAR_RECEIVERS
    assert own not in first
    assert {
        router.host for turn in range(60) for router in report_receivers(carrying, own, turn)
    } == {router.host for router in carrying if router != own}


def _received(origin: str, *, slowness=1.0, state=ANSWERING, age_s=0.0) -> ReceivedReport:
    return ReceivedReport("s0", "i0@1", slowness, 0.0, state, age_s, origin, "z1", True)
