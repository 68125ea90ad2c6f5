"""The other routers: who they are, which of them take new work, and how many share the limits."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fighinge.configuration.store import ConfigurationStore
from fighinge.facts import FactBoard
from fighinge.membership.member import GossipPorts, Member, MemberState, Role
from fighinge.membership.messages import Codec
from fighinge.membership.service import Membership
from fighinge.membership.transport import UdpTransport
from fighinge.router.addresses import RouterAddress, high_capacity_routers

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from fighinge.router.settings import RouterSettings
    from fighinge.router.staleness import StalenessDetector

HIGH_CAPACITY_LIMIT_SHARE = 0.85  # low-capacity hosts still serve callers with a cached answer


class Peers:
    """Membership among routers."""

    __slots__ = ("_seeds", "board", "membership")

    def __init__(
        self,
        settings: RouterSettings,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        random_source: random.Random,
        staleness: StalenessDetector | None = None,
    ) -> None:
        self._seeds = set(settings.seeds)
        self.board = FactBoard()
        ports = GossipPorts(settings.gossip_port, settings.gossip_port)
        incarnation = max(0, int(wall_clock() * 1000))
        me = Member(
            Role.ENTRY,
            settings.address,
            settings.zone,
            incarnation,
            capacity_cores=settings.capacity_cores,
        )
        self.membership = Membership(
            me,
            ports,
            UdpTransport(ports.address(Role.ENTRY, settings.address)),
            ConfigurationStore(),
            self.board,
            clock,
            random_source,
            Codec(),
            staleness,
        )
        self.membership.set_seeds(settings.seeds)

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Take the hosts whose routers are asked to let this one take part."""
        self._seeds = set(seeds)
        self.membership.set_seeds(seeds)

    def known_hosts(self) -> frozenset[str]:
        """Return the addresses of all routers, those lately lost among them."""
        return frozenset(member.host for member in self.membership.table.members())

    def limit_share(self) -> float:
        """Return this router's part of what all routers together may do.

        Routers that callers are told to use get most of it. Those lately lost count too: they may
        be cut off and still use their part. Before this process can have heard of all, there are
        at least the seeds.
        """
        known = [_address(member) for member in self.membership.table.members()]
        missing = max(0, len(self._seeds) + 1 - len(known))
        high_capacity = high_capacity_routers(known)
        low_capacity = len(known) - len(high_capacity)
        if not low_capacity:
            return 1.0 / (len(known) + missing)
        if any(router.host == self.membership.table.local_member.host for router in high_capacity):
            return HIGH_CAPACITY_LIMIT_SHARE / (len(high_capacity) + missing)
        return (1.0 - HIGH_CAPACITY_LIMIT_SHARE) / low_capacity

    def accepting_routers(self) -> list[RouterAddress]:
        """Return the routers that take new work, this one too."""
        table = self.membership.table
        members = (table.local_member, *table.reachable())
        return [_address(member) for member in members if not member.leaving]


def _address(member: Member) -> RouterAddress:
    return RouterAddress(
        member.host,
        member.zone,
        member.state is MemberState.SUSPECT,
        member.overloaded,
        member.capacity_cores,
    )
