"""Failure detection by direct and indirect probes, after SWIM and Lifeguard."""

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
INDIRECT_PROBES = 3
MAX_LOCAL_HEALTH = 4
MAX_INDIRECT_PINGS = 256


class MessageSender(Protocol):
    """Interface for sending messages to members."""

    def send(self, member: Member, message: Message) -> None:
        """Send a message to a member."""


class FailureDetector:
    """Probes one member per interval, directly and through other members.

    ``local_health`` is the Lifeguard local health score: 0 is healthy, and higher values
    lengthen the probe interval and the timeouts, because this process may itself be slow.
    """

    __slots__ = (
        "_clock",
        "_indirect_pings",
        "_last_pause_at_s",
        "_next_sequence",
        "_pending_acks",
        "_probe_order",
        "_random",
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
        self._pending_acks: dict[int, asyncio.Event] = {}
        self._indirect_pings: dict[int, tuple[Member, int]] = {}
        self._probe_order: list[str] = []
        self._next_sequence = random_source.randrange(2**32)
        self._last_pause_at_s = 0.0
        self.local_health = 0

    async def run(self) -> None:
        """Probe one member per interval until the task is cancelled."""
        while True:
            started_s = self._clock()
            target = self.next_target()
            if target is not None:
                await self._probe(target, started_s)
            interval_s = PROBE_INTERVAL_S * (self.local_health + 1)
            jitter = 0.9 + 0.2 * self._random.random()
            await asyncio.sleep(max(0.0, started_s + interval_s * jitter - self._clock()))

    def next_target(self) -> Member | None:
        """Return the next member to probe, in a random order that covers all of them."""
        while True:
            if not self._probe_order:
                self._probe_order = [member.name for member in self._table.reachable()]
                self._random.shuffle(self._probe_order)
            if not self._probe_order:
                return None
            member = self._table.get(self._probe_order.pop())
            if member is not None and member.state is not MemberState.DEAD:
                return member

    def handle_pause(self, now_s: float) -> None:
        """Ignore failures of probes begun before a pause, and restart suspicion timeouts."""
        self._last_pause_at_s = now_s
        self.local_health = min(MAX_LOCAL_HEALTH, self.local_health + 1)
        self._table.extend_suspicions(now_s)

    def handle_ping_request(self, requester: Member, request: PingRequest) -> None:
        """Ping a member on behalf of the requester."""
        sequence = self._new_sequence()
        while len(self._indirect_pings) >= MAX_INDIRECT_PINGS:
            del self._indirect_pings[next(iter(self._indirect_pings))]
        self._indirect_pings[sequence] = (requester, request.sequence)
        self._sender.send(request.target, Ping(sequence))

    def handle_ack(self, sequence: int) -> None:
        """Handle an acknowledgement of a probe by this process or of an indirect ping."""
        event = self._pending_acks.get(sequence)
        if event is not None:
            event.set()
        indirect = self._indirect_pings.pop(sequence, None)
        if indirect is not None:
            requester, requested_sequence = indirect
            self._sender.send(requester, Ack(requested_sequence))

    async def _probe(self, target: Member, started_s: float) -> None:
        sequence = self._new_sequence()
        acked = self._pending_acks[sequence] = asyncio.Event()
        timeout_factor = self.local_health + 1
        try:
            self._sender.send(target, Ping(sequence))
            if await _is_set(acked, PROBE_TIMEOUT_S * timeout_factor):
                self.local_health = max(0, self.local_health - 1)
                return
            for prober in self._choose_indirect_probers(target):
                self._sender.send(prober, PingRequest(sequence, target))
            if await _is_set(acked, PROBE_TIMEOUT_S * 2 * timeout_factor):
                return
        finally:
            del self._pending_acks[sequence]
        if self._last_pause_at_s >= started_s:
            return
        self.suspect(target)

    def suspect(self, target: Member) -> None:
        """Suspect a member unless its incarnation has changed since the probe."""
        known = self._table.get(target.name)
        if known is None or known.incarnation != target.incarnation:
            return
        local_name = self._table.local_member.name
        update = known.with_state(MemberState.SUSPECT, accuser=local_name)
        self._table.apply(update, self._clock(), f"no response to probes from {local_name}")

    def _choose_indirect_probers(self, target: Member) -> list[Member]:
        others = [member for member in self._table.reachable() if member.name != target.name]
        return self._random.sample(others, min(INDIRECT_PROBES, len(others)))

    def _new_sequence(self) -> int:
        self._next_sequence += 1
        return self._next_sequence


async def _is_set(event: asyncio.Event, timeout_s: float) -> bool:
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return False
    return True
