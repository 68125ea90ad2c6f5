"""Membership of this process: receives and sends datagrams."""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING, Protocol

import logbook

from fighinge.configuration.sync import ConfigurationSync
from fighinge.errors import Failure
from fighinge.membership.failure_detector import FailureDetector
from fighinge.membership.gossip import DatagramBuilder, GossipQueue, received_fact
from fighinge.membership.member import MemberState, Role
from fighinge.membership.messages import (
    BUCKET_DIGEST_BYTES,
    BUCKETS,
    Ack,
    Codec,
    ConfigurationChunk,
    ConfigurationRequest,
    Datagram,
    DigestExchange,
    Gossip,
    Message,
    Ping,
    PingRequest,
)
from fighinge.membership.table import MemberTable

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from fighinge.configuration.store import ConfigurationStore
    from fighinge.facts import Fact, FactBoard
    from fighinge.membership.member import GossipAddress, GossipPorts, Member
    from fighinge.membership.messages import ConfigurationSummary
    from fighinge.membership.transport import Transport

logger = logbook.Logger(__name__)

GOSSIP_INTERVAL_S = 0.2
GOSSIP_FANOUT = 2
ANNOUNCE_FANOUT = 4
EXCHANGE_INTERVAL_S = 1.0
EXCHANGE_DATAGRAMS = 4
EXCHANGE_FACTS = 8
MAX_SEEDS_PER_ROUND = 2
FAREWELL_FANOUT = 8


class StateSync(Protocol):
    """What members tell of the configuration in each datagram, and do with what they hear."""

    def mark(self) -> ConfigurationSummary:
        """Return what a datagram tells."""

    def heard(self, member: Member, mark: ConfigurationSummary) -> None:
        """Take what a member tells."""

    def requested(self, member: Member, request: ConfigurationRequest) -> None:
        """Take a member's request for chunks."""

    def received(self, member: Member, chunk: ConfigurationChunk) -> None:
        """Take a chunk."""

    def paused(self, now_s: float) -> None:
        """Learn that this process was paused."""

    async def run(self) -> None:
        """Do what has to be done in intervals."""


class Membership:
    """Keeps the table up to date with the other members and carries facts and configuration.

    Datagrams that do not pass the checks are counted in ``ignored`` by their fault.
    """

    __slots__ = (
        "_board",
        "_clock",
        "_codec",
        "_is_silent",
        "_lost",
        "_lost_at",
        "_news",
        "_packer",
        "_ports",
        "_random",
        "_seeds",
        "_transport",
        "detector",
        "ignored",
        "sent_bytes",
        "sent_datagrams",
        "spread",
        "table",
    )

    def __init__(
        self,
        me: Member,
        ports: GossipPorts,
        transport: Transport,
        store: ConfigurationStore,
        board: FactBoard,
        clock: Callable[[], float],
        random_source: random.Random,
        codec: Codec | None = None,
        spread: StateSync | None = None,
    ) -> None:
        self.table = MemberTable(me)
        self.detector = FailureDetector(self.table, self, clock, random_source)
        self.spread: StateSync = spread or ConfigurationSync(store, self, clock)
        self.ignored: collections.Counter[str] = collections.Counter()
        self.sent_datagrams = 0
        self.sent_bytes = 0
        self._ports = ports
        self._transport = transport
        self._board = board
        self._clock = clock
        self._random = random_source
        self._codec = codec or Codec()
        self._packer = DatagramBuilder(self._codec)
        self._news = GossipQueue()
        self._seeds: set[GossipAddress] = set()
        self._lost: list[GossipAddress] = []
        self._lost_at = -1
        self._is_silent = False
        self.table.listen(self._pass_on)
        board.listen(self._pass_on)
        store.listen(lambda _accepted: self.announce())

    @property
    def address(self) -> GossipAddress:
        """Return where this process receives datagrams."""
        return self._ports.address(self.table.me.role, self.table.me.host)

    async def run(self) -> None:
        """Take part until the task is cancelled."""
        await self._transport.open(self.receive)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.detector.run())
                group.create_task(self.spread.run())
                group.create_task(self._gossip())
                group.create_task(self._exchange())
        finally:
            self._transport.close()

    def set_seeds(self, hosts: Iterable[str]) -> None:
        """Take the hosts whose processes are asked to let this one take part."""
        self._seeds = {self._ports.address(role, host) for host in hosts for role in Role}
        self._seeds.discard(self.address)
        self._lost_at = -1

    def announce(self) -> None:
        """Tell some members at once which configuration version is in force."""
        for member in self._some_members(ANNOUNCE_FANOUT):
            self.send(member, Gossip())

    def leave(self) -> None:
        """Tell that no new work may be sent here."""
        self.table.change_me(leaving=True)
        self._spread_news(FAREWELL_FANOUT)

    def farewell(self) -> None:
        """Tell that this process is gone."""
        self.table.change_me(leaving=True, state=MemberState.DEAD)
        self._spread_news(FAREWELL_FANOUT)
        self._is_silent = True

    def paused(self, now_s: float) -> None:
        """Ask for the view anew after this process was paused."""
        self.detector.paused(now_s)
        self.spread.paused(now_s)
        for member in self._some_members(ANNOUNCE_FANOUT):
            self.send(member, Ping(0))

    def send(self, member: Member, message: Message) -> None:
        """Send a message with as much news as fits."""
        items = self._news.next()
        known = self.table.get(member.name)
        if known is not None and known.state is not MemberState.ALIVE:
            items.insert(0, known)
        self._send_to(self._address_of(member), message, items)

    def receive(self, data: bytes, host: str) -> None:
        """Take a datagram.

        :param host: where it came from
        """
        datagram = self._codec.decode(data)
        if isinstance(datagram, Failure):
            self.ignored[datagram.field] += 1
            return
        sender = datagram.sender
        if sender.host != host or sender.name == self.table.me.name:
            self.ignored["sender"] += 1
            return
        if self._is_silent:
            return
        now_s = self._clock()
        incarnation = self.table.me.incarnation
        self.table.apply(sender, now_s, "heard from it")
        for member in datagram.members:
            self.table.apply(member, now_s, f"told by {sender.name}")
        for record in datagram.facts:
            self._board.add(received_fact(record, now_s), now_s)
        self.spread.heard(sender, datagram.configuration)
        if self.table.me.incarnation != incarnation:
            self._send_to(self._address_of(sender), Gossip(), [])
        self._answer(sender, datagram)

    def _answer(self, sender: Member, datagram: Datagram) -> None:
        message = datagram.message
        match message:
            case Ping():
                self._acknowledge(sender, message)
            case Ack():
                self.detector.acknowledged(message.sequence)
            case PingRequest():
                self.detector.ping_requested(sender, message)
            case DigestExchange():
                self._compare(sender, message)
            case ConfigurationRequest():
                self.spread.requested(sender, message)
            case ConfigurationChunk():
                self.spread.received(sender, message)

    def _acknowledge(self, sender: Member, ping: Ping) -> None:
        """Answer a ping, with what is held of the sender where that is not what it says."""
        items = self._news.next()
        known = self.table.get(sender.name)
        if known is not None and known != sender:
            items.insert(0, known)
        address = self._address_of(sender)
        self._send_to(address, Ack(ping.sequence), items)

    def _compare(self, sender: Member, exchange: DigestExchange) -> None:
        if len(exchange.digests) != BUCKETS * BUCKET_DIGEST_BYTES:
            self.ignored["content"] += 1
            return
        items: list[Member | Fact] = list(self.table.differing(exchange.digests))
        self._random.shuffle(items)
        facts = self._board.current(self._clock())
        items = self._random.sample(facts, min(EXCHANGE_FACTS, len(facts))) + items
        address = self._address_of(sender)
        for _ in range(EXCHANGE_DATAGRAMS):
            if not items:
                break
            sent = self._send_to(address, Gossip(), items)
            items = [item for item in items if item not in sent]
        if exchange.wants_reply:
            self._send_to(address, DigestExchange(self.table.digests(), wants_reply=False), [])

    async def _gossip(self) -> None:
        """Pass news on in each interval."""
        while True:
            self.table.expire(self._clock())
            if len(self._news):
                self._spread_news(GOSSIP_FANOUT)
            await asyncio.sleep(GOSSIP_INTERVAL_S * (0.9 + 0.2 * self._random.random()))

    async def _exchange(self) -> None:
        """Compare tables in each interval with a member, a dead one and a seed."""
        while True:
            message = DigestExchange(self.table.digests(), wants_reply=True)
            targets = [self._address_of(member) for member in self._some_members(1)]
            for address in [*targets, *self._lost_addresses()]:
                self._send_to(address, message, self._news.next())
            await asyncio.sleep(EXCHANGE_INTERVAL_S * (0.8 + 0.4 * self._random.random()))

    def _lost_addresses(self) -> list[GossipAddress]:
        """Return some addresses where there may be a member that is not known alive."""
        if self._lost_at != self.table.changes:
            self._lost_at = self.table.changes
            reached = {self._address_of(member) for member in self.table.reachable()}
            lost = {self._address_of(member) for member in self.table.dead()}
            self._lost = sorted((lost | self._seeds) - reached)
        return self._random.sample(self._lost, min(MAX_SEEDS_PER_ROUND, len(self._lost)))

    def _spread_news(self, fanout: int) -> None:
        for member in self._some_members(fanout):
            self.send(member, Gossip())

    def _some_members(self, count: int) -> list[Member]:
        members = self.table.reachable()
        return self._random.sample(members, min(count, len(members)))

    def _address_of(self, member: Member) -> GossipAddress:
        return self._ports.address(member.role, member.host)

    def _pass_on(self, item: Member | Fact) -> None:
        self._news.put(item, len(self.table.members()))

    def _send_to(
        self, address: GossipAddress, message: Message, items: list[Member | Fact]
    ) -> list[Member | Fact]:
        """Send a message and return the items that it had room for."""
        data, packed = self._packer.pack(
            self.table.me, self.spread.mark(), message, items, self._clock()
        )
        self._news.sent(packed)
        self._transport.send(data, address)
        self.sent_datagrams += 1
        self.sent_bytes += len(data)
        return packed
