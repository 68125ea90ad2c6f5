"""The other routers: who they are, which of them take new work, and how many share the limits."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fighinge.configuration.store import ConfigurationStore
from fighinge.facts import FactBoard
from fighinge.membership.member import GossipPorts, Member, MemberState, Role
from fighinge.membership.messages import Codec
from fighinge.membership.service import Membership
from fighinge.membership.transport import UdpTransport
from fighinge.router.addresses import RouterAddress

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from fighinge.router.settings import RouterSettings

SETTLING_S = 3.0  # a process that starts hears of all others within this


class Peers:
    """Membership among routers."""

    __slots__ = ("_clock", "_seeds", "_started_s", "board", "membership")

    def __init__(
        self,
        settings: RouterSettings,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        random_source: random.Random,
    ) -> None:
        self._clock = clock
        self._seeds = set(settings.seeds)
        self._started_s = clock()
        self.board = FactBoard()
        ports = GossipPorts(settings.gossip_port, settings.gossip_port)
        incarnation = max(0, int(wall_clock() * 1000))
        me = Member(Role.ENTRY, settings.address, settings.zone, incarnation)
        self.membership = Membership(
            me,
            ports,
            UdpTransport(ports.address(Role.ENTRY, settings.address)),
            ConfigurationStore(),
            self.board,
            clock,
            random_source,
            Codec(),
        )
        self.membership.set_seeds(settings.seeds)

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Take the hosts whose routers are asked to let this one take part."""
        self._seeds = set(seeds)
        self.membership.set_seeds(seeds)

    def sharing_limits(self) -> int:
        """Return how many routers share the limits.

        Those lately lost count too: they may be cut off and still spend their part. Before this
        process can have heard of all, there are at least the seeds.
        """
        known = len(self.membership.table.members())
        return max(known, len(self._seeds) + 1)

    def has_settled(self, now_s: float) -> bool:
        """Return whether this process had time to hear of all others."""
        return now_s - self._started_s >= SETTLING_S

    def taking_work(self) -> list[RouterAddress]:
        """Return the routers that take new work, this one too."""
        table = self.membership.table
        return [
            RouterAddress(member.host, member.zone, member.state is MemberState.SUSPECT)
            for member in (table.me, *table.reachable())
            if not member.leaving
        ]
