"""Finds out which members no longer answer."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from fighinge.membership.member import MemberState
from fighinge.membership.messages import Ack, Ping, PingRequest

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from fighinge.membership.member import Member
    from fighinge.membership.messages import Message
    from fighinge.membership.table import MemberTable

PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 0.3
HELPERS = 3
MAX_LOCAL_HEALTH = 4
MAX_RELAYED = 256


class MessageSender(Protocol):
    """Sends messages to members."""

    def send(self, member: Member, message: Message) -> None:
        """Send a message to a member."""


class FailureDetector:
    """Probes members in turn, directly and through others.

    ``local_health`` counts signs that this process itself is slow, 0 being none; it stretches
    the time that others have to answer.
    """

    __slots__ = (
        "_clock",
        "_expected",
        "_next_sequence",
        "_paused_s",
        "_random",
        "_relayed",
        "_round",
        "_sender",
        "_table",
        "local_health",
    )

    def __init__(
        self,
        table: MemberTable,
        sender: MessageSender,
        clock: Callable[[], float],
        random_source: random.Random,
    ) -> None:
        self._table = table
        self._sender = sender
        self._clock = clock
        self._random = random_source
        self._expected: dict[int, asyncio.Event] = {}
        self._relayed: dict[int, tuple[Member, int]] = {}
        self._round: list[str] = []
        self._next_sequence = random_source.randrange(2**32)
        self._paused_s = 0.0
        self.local_health = 0

    async def run(self) -> None:
        """Probe one member in each interval, for as long as the task runs."""
        while True:
            started_s = self._clock()
            target = self.next_target()
            if target is not None:
                await self._probe(target, started_s)
            interval_s = PROBE_INTERVAL_S * (self.local_health + 1)
            spread = 0.9 + 0.2 * self._random.random()
            await asyncio.sleep(max(0.0, started_s + interval_s * spread - self._clock()))

    def next_target(self) -> Member | None:
        """Return the next member of a round in random order through all of them."""
        while True:
            if not self._round:
                self._round = [member.name for member in self._table.reachable()]
                self._random.shuffle(self._round)
            if not self._round:
                return None
            member = self._table.get(self._round.pop())
            if member is not None and member.state is not MemberState.DEAD:
                return member

    def paused(self, now_s: float) -> None:
        """Disregard what was not answered while this process was paused."""
        self._paused_s = now_s
        self.local_health = min(MAX_LOCAL_HEALTH, self.local_health + 1)
        self._table.extend_suspicions(now_s)

    def ping_requested(self, requester: Member, request: PingRequest) -> None:
        """Ping a member for another one."""
        sequence = self._sequence()
        while len(self._relayed) >= MAX_RELAYED:
            del self._relayed[next(iter(self._relayed))]
        self._relayed[sequence] = (requester, request.sequence)
        self._sender.send(request.target, Ping(sequence))

    def acknowledged(self, sequence: int) -> None:
        """Take an acknowledgement, for this process or for one that asked for a ping."""
        event = self._expected.get(sequence)
        if event is not None:
            event.set()
        relayed = self._relayed.pop(sequence, None)
        if relayed is not None:
            requester, requested_sequence = relayed
            self._sender.send(requester, Ack(requested_sequence))

    async def _probe(self, target: Member, started_s: float) -> None:
        sequence = self._sequence()
        answered = self._expected[sequence] = asyncio.Event()
        stretch = self.local_health + 1
        try:
            self._sender.send(target, Ping(sequence))
            if await _is_set(answered, PROBE_TIMEOUT_S * stretch):
                self.local_health = max(0, self.local_health - 1)
                return
            for helper in self._helpers(target):
                self._sender.send(helper, PingRequest(sequence, target))
            if await _is_set(answered, PROBE_TIMEOUT_S * 2 * stretch):
                return
        finally:
            del self._expected[sequence]
        if self._paused_s >= started_s:
            return
        self.suspect(target)

    def suspect(self, target: Member) -> None:
        """Accuse a member, unless others have told news of it meanwhile."""
        known = self._table.get(target.name)
        if known is None or known.incarnation != target.incarnation:
            return
        me = self._table.me.name
        claim = known.with_state(MemberState.SUSPECT, accuser=me)
        self._table.apply(claim, self._clock(), f"no answer to {me}")

    def _helpers(self, target: Member) -> list[Member]:
        others = [member for member in self._table.reachable() if member.name != target.name]
        return self._random.sample(others, min(HELPERS, len(others)))

    def _sequence(self) -> int:
        self._next_sequence += 1
        return self._next_sequence


async def _is_set(event: asyncio.Event, timeout_s: float) -> bool:
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return False
    return True
