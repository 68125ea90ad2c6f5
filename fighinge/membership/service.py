"""Cluster membership of this process: gossip, anti-entropy and message dispatch."""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING, Protocol

import logbook

from fighinge.configuration.sync import ConfigurationSync
from fighinge.errors import Failure
from fighinge.membership.failure_detector import FailureDetector
from fighinge.membership.gossip import DatagramBuilder, GossipQueue, from_fact_record
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
ANNOUNCEMENT_FANOUT = 4
ANTI_ENTROPY_INTERVAL_S = 1.0
ANTI_ENTROPY_MAX_DATAGRAMS = 4
ANTI_ENTROPY_MAX_FACTS = 8
MAX_UNREACHABLE_PER_ROUND = 2
LEAVE_FANOUT = 8
MIN_NEAR_MEMBERS = 8  # with fewer, the transmissions of an item would repeat in one data centre
NEAR_PROBABILITY = 0.75  # traffic between data centres is billed; the rest carries items across


class StateSync(Protocol):
    """Interface for synchronising state between members over gossip datagrams."""

    def summary(self) -> ConfigurationSummary:
        """Return the summary to send with each datagram."""

    def handle_summary(self, member: Member, summary: ConfigurationSummary) -> None:
        """Handle a summary received from a member."""

    def handle_request(self, member: Member, request: ConfigurationRequest) -> None:
        """Handle a request for chunks."""

    def handle_chunk(self, member: Member, chunk: ConfigurationChunk) -> None:
        """Handle a received chunk."""

    def handle_pause(self, now_s: float) -> None:
        """Reset state that may be outdated after a pause of this process."""

    async def run(self) -> None:
        """Run periodic tasks until cancelled."""


class Membership:
    """Maintains the member table and disseminates facts and configuration versions.

    ``ignored`` counts invalid datagrams by the check that failed.
    """

    __slots__ = (
        "_board",
        "_builder",
        "_clock",
        "_codec",
        "_has_left",
        "_is_open",
        "_ports",
        "_queue",
        "_random",
        "_seeds",
        "_transport",
        "_unreachable",
        "_unreachable_as_of",
        "failure_detector",
        "ignored",
        "sent_bytes",
        "sent_datagrams",
        "sync",
        "table",
    )

    def __init__(
        self,
        local_member: Member,
        ports: GossipPorts,
        transport: Transport,
        store: ConfigurationStore,
        board: FactBoard,
        clock: Callable[[], float],
        random_source: random.Random,
        codec: Codec | None = None,
        sync: StateSync | None = None,
    ) -> None:
        self.table = MemberTable(local_member)
        self.failure_detector = FailureDetector(self.table, self, clock, random_source)
        self.sync: StateSync = sync or ConfigurationSync(store, self, clock)
        self.ignored: collections.Counter[str] = collections.Counter()
        self.sent_datagrams = 0
        self.sent_bytes = 0
        self._ports = ports
        self._transport = transport
        self._board = board
        self._clock = clock
        self._random = random_source
        self._codec = codec or Codec()
        self._builder = DatagramBuilder(self._codec)
        self._queue = GossipQueue()
        self._seeds: set[GossipAddress] = set()
        self._unreachable: list[GossipAddress] = []
        self._unreachable_as_of = -1
        self._has_left = False
        self._is_open = False
        self.table.listen(self._enqueue)
        board.listen(self._enqueue)
        store.listen(lambda _accepted: self.announce_configuration())

    @property
    def address(self) -> GossipAddress:
        """Return the gossip address of this process."""
        return self._ports.address(self.table.local_member.role, self.table.local_member.host)

    async def open(self) -> None:
        """Start to receive datagrams; :meth:`run` does so if it was not done before.

        :raises OSError: if the gossip address is in use
        """
        await self._transport.open(self.receive)
        self._is_open = True

    async def run(self) -> None:
        """Receive and send datagrams until the task is cancelled.

        :raises OSError: if the gossip address is in use
        """
        if not self._is_open:
            await self.open()
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.failure_detector.run())
                group.create_task(self.sync.run())
                group.create_task(self._run_gossip())
                group.create_task(self._run_anti_entropy())
        finally:
            self._transport.close()
            self._is_open = False

    def set_seeds(self, hosts: Iterable[str]) -> None:
        """Set the hosts whose processes are contacted to join the fleet."""
        self._seeds = {self._ports.address(role, host) for host in hosts for role in Role}
        self._seeds.discard(self.address)
        self._unreachable_as_of = -1

    def announce_configuration(self) -> None:
        """Send the active configuration version to a few members at once."""
        for member in self._sample_members(ANNOUNCEMENT_FANOUT):
            self.send(member, Gossip())

    def announce_facts(self, facts: Iterable[Fact], members: Iterable[Member]) -> None:
        """Send facts to some members at once; gossip carries them to the others."""
        items: list[Member | Fact] = list(facts)
        for member in members:
            self._send_to(self._address_of(member), Gossip(), items)

    def announce_leaving(self) -> None:
        """Announce that this process accepts no new work."""
        self.table.update_local_member(leaving=True)
        self._gossip_to_sample(LEAVE_FANOUT)

    def announce_departure(self) -> None:
        """Announce that this process has stopped, and ignore further datagrams."""
        self.table.update_local_member(leaving=True, state=MemberState.DEAD)
        self._gossip_to_sample(LEAVE_FANOUT)
        self._has_left = True

    def handle_pause(self, now_s: float) -> None:
        """Ping a few members for current updates after a pause of this process."""
        self.failure_detector.handle_pause(now_s)
        self.sync.handle_pause(now_s)
        for member in self._sample_members(ANNOUNCEMENT_FANOUT):
            self.send(member, Ping(0))  # only the updates sent with the ack matter

    def send(self, member: Member, message: Message) -> None:
        """Send a message with as many queued items as fit.

        A member that is suspected or considered dead also receives the update that says so, so
        that it can refute it.
        """
        items = self._queue.next_items()
        known = self.table.get(member.name)
        if known is not None and known.state is not MemberState.ALIVE:
            items.insert(0, known)
        self._send_to(self._address_of(member), message, items)

    def receive(self, data: bytes, host: str) -> None:
        """Handle a datagram.

        :param host: source host of the datagram
        """
        datagram = self._codec.decode(data)
        if isinstance(datagram, Failure):
            self.ignored[datagram.field] += 1
            return
        sender = datagram.sender
        if sender.host != host or sender.name == self.table.local_member.name:
            self.ignored["sender"] += 1
            return
        if self._has_left:
            return
        now_s = self._clock()
        incarnation = self.table.local_member.incarnation
        self.table.apply(sender, now_s, "received from the member")
        for member in datagram.members:
            self.table.apply(member, now_s, f"reported by {sender.name}")
        for record in datagram.facts:
            self._board.add(from_fact_record(record, now_s), now_s)
        self.sync.handle_summary(sender, datagram.configuration)
        if self.table.local_member.incarnation != incarnation:  # an update was refuted
            self._send_to(self._address_of(sender), Gossip(), [])
        self._dispatch(sender, datagram)

    def _dispatch(self, sender: Member, datagram: Datagram) -> None:
        message = datagram.message
        match message:
            case Ping():
                self._send_ack(sender, message)
            case Ack():
                self.failure_detector.handle_ack(message.sequence)
            case PingRequest():
                self.failure_detector.handle_ping_request(sender, message)
            case DigestExchange():
                self._handle_digests(sender, message)
            case ConfigurationRequest():
                self.sync.handle_request(sender, message)
            case ConfigurationChunk():
                self.sync.handle_chunk(sender, message)

    def _send_ack(self, sender: Member, ping: Ping) -> None:
        """Acknowledge a ping.

        The reply carries this process's record of the sender if it differs, so that the
        sender can refute it.
        """
        items = self._queue.next_items()
        known = self.table.get(sender.name)
        if known is not None and known != sender:
            items.insert(0, known)
        address = self._address_of(sender)
        self._send_to(address, Ack(ping.sequence), items)

    def _handle_digests(self, sender: Member, exchange: DigestExchange) -> None:
        if len(exchange.digests) != BUCKETS * BUCKET_DIGEST_BYTES:
            self.ignored["content"] += 1
            return
        items: list[Member | Fact] = list(self.table.members_in_differing_buckets(exchange.digests))
        self._random.shuffle(items)
        facts = self._board.current(self._clock())
        items = self._random.sample(facts, min(ANTI_ENTROPY_MAX_FACTS, len(facts))) + items
        address = self._address_of(sender)
        for _ in range(ANTI_ENTROPY_MAX_DATAGRAMS):
            if not items:
                break
            sent = self._send_to(address, Gossip(), items)
            items = [item for item in items if item not in sent]
        if exchange.wants_reply:
            self._send_to(
                address, DigestExchange(self.table.bucket_digests(), wants_reply=False), []
            )

    async def _run_gossip(self) -> None:
        """Expire suspicions and send queued items at each interval."""
        while True:
            self.table.expire(self._clock())
            if len(self._queue):
                for member in self._sample_near_members(GOSSIP_FANOUT):
                    self.send(member, Gossip())
            await asyncio.sleep(GOSSIP_INTERVAL_S * (0.9 + 0.2 * self._random.random()))

    async def _run_anti_entropy(self) -> None:
        """Exchange table digests at each interval.

        The targets are one live member and up to ``MAX_UNREACHABLE_PER_ROUND`` addresses of
        dead members and seeds, which joins new processes and heals partitions.
        """
        while True:
            message = DigestExchange(self.table.bucket_digests(), wants_reply=True)
            targets = [self._address_of(member) for member in self._sample_near_members(1)]
            for address in [*targets, *self._sample_unreachable()]:
                self._send_to(address, message, self._queue.next_items())
            await asyncio.sleep(ANTI_ENTROPY_INTERVAL_S * (0.8 + 0.4 * self._random.random()))

    def _sample_unreachable(self) -> list[GossipAddress]:
        """Return a sample of the addresses of dead members and of seeds not known as live."""
        if self._unreachable_as_of != self.table.change_count:
            self._unreachable_as_of = self.table.change_count
            reachable = {self._address_of(member) for member in self.table.reachable()}
            unreachable = {self._address_of(member) for member in self.table.dead()}
            self._unreachable = sorted((unreachable | self._seeds) - reachable)
        return self._random.sample(
            self._unreachable, min(MAX_UNREACHABLE_PER_ROUND, len(self._unreachable))
        )

    def _gossip_to_sample(self, fanout: int) -> None:
        for member in self._sample_members(fanout):
            self.send(member, Gossip())

    def _sample_members(self, count: int) -> list[Member]:
        members = self.table.reachable()
        return self._random.sample(members, min(count, len(members)))

    def _sample_near_members(self, count: int) -> list[Member]:
        """Return random members, mostly of this data centre if it has enough to spread an item."""
        members = self.table.reachable()
        own = self.table.local_member.zone
        near = [member for member in members if member.zone == own]
        if len(near) < MIN_NEAR_MEMBERS or len(near) == len(members):
            return self._sample_members(count)
        far = [member for member in members if member.zone != own]
        near_count = sum(self._random.random() < NEAR_PROBABILITY for _ in range(count))
        chosen = self._random.sample(near, min(near_count, len(near)))
        return chosen + self._random.sample(far, min(count - near_count, len(far)))

    def _address_of(self, member: Member) -> GossipAddress:
        return self._ports.address(member.role, member.host)

    def _enqueue(self, item: Member | Fact) -> None:
        self._queue.enqueue(item, len(self.table.members()))

    def _send_to(
        self, address: GossipAddress, message: Message, items: list[Member | Fact]
    ) -> list[Member | Fact]:
        """Send a message and return the items that were packed into it."""
        data, packed = self._builder.build(
            self.table.local_member, self.sync.summary(), message, items, self._clock()
        )
        self._queue.record_sent(packed)
        self._transport.send(data, address)
        self.sent_datagrams += 1
        self.sent_bytes += len(data)
        return packed
