"""Membership of routers, which of them accept requests, and the share of limits of each."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fighinge.configuration.store import ConfigurationStore
from fighinge.facts import FactBoard, FactKind
from fighinge.membership.member import GossipPorts, Member, MemberState, Role
from fighinge.membership.messages import Codec
from fighinge.membership.service import Membership
from fighinge.membership.transport import UdpTransport
from fighinge.ownership import rendezvous_weight
from fighinge.router.addresses import (
    MAX_ADDRESSES,
    RouterAddress,
    high_capacity_routers,
    usable_routers,
)
from fighinge.router.host_selection import HostSelection
from fighinge.router.quota_owners import RouterSet

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from fighinge.router.settings import RouterSettings
    from fighinge.router.staleness import StalenessDetector

HIGH_CAPACITY_LIMIT_SHARE = 0.85  # callers with cached addresses still use low-capacity hosts
MIN_SELECTION_INTERVAL_S = 0.3  # a selection among 460 members takes 0.8 ms
MAX_SELECTION_INTERVAL_S = 1.0  # for what depends on the time, without changes of members


class Peers:
    """Membership of this router among all routers."""

    __slots__ = (
        "_clock",
        "_for_callers",
        "_quota_change_count",
        "_quota_hosts",
        "_region_by_zone",
        "_seeds",
        "_selected_changes",
        "_selected_s",
        "_selection",
        "board",
        "membership",
    )

    def __init__(
        self,
        settings: RouterSettings,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        random_source: random.Random,
        staleness: StalenessDetector | None = None,
    ) -> None:
        self._seeds = set(settings.seeds)
        self._clock = clock
        self._for_callers: list[RouterAddress] = []
        self._selected_s = float("-inf")
        self._selected_changes = -1
        self._quota_change_count = -1
        self._quota_hosts: tuple[frozenset[str], int] = (frozenset(), 0)
        self._selection = HostSelection(settings.tolerated_host_losses)
        self._region_by_zone = settings.region_by_zone
        self.board = FactBoard()
        ports = GossipPorts(settings.gossip_port, settings.gossip_port)
        incarnation = max(0, int(wall_clock() * 1000))
        local_member = Member(
            Role.ENTRY,  # the role of processes that callers talk to
            settings.address,
            settings.zone,
            incarnation,
            capacity_cores=settings.capacity_cores,
        )
        self.membership = Membership(
            local_member,
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
        """Replace the seed hosts through which this router joins."""
        self._seeds = set(seeds)
        self.membership.set_seeds(seeds)

    def known_hosts(self) -> frozenset[str]:
        """Return the addresses of all routers, including recently failed ones."""
        return frozenset(member.host for member in self.membership.table.members())

    def limit_share(self, *, of_reaching: bool = False) -> float:
        """Return this router's share of the limits that apply to all routers together.

        :param of_reaching: leave out the other routers that are cut off from the backend servers

        The routers to which callers are sent get most of it. Recently failed routers
        count too, as they may only be partitioned and still use their share. Until membership is
        complete, at least the seeds are counted.
        """
        local = self.membership.table.local_member
        known = [
            _address(member)
            for member in self.membership.table.members()
            if not (of_reaching and member.is_cut_off and member is not local)
        ]
        missing = max(0, len(self._seeds) + 1 - len(self.membership.table.members()))
        now_s = self._clock()
        carrying = [
            router
            for router in high_capacity_routers(known)
            if not self._selection.is_surplus(router.host, now_s)
        ]
        others = len(known) - len(carrying)
        if not others:
            return 1.0 / (len(known) + missing)
        is_carrying = any(router.host == local.host for router in carrying)
        if is_carrying and self._selection.has_full_share(local.host, now_s):
            return HIGH_CAPACITY_LIMIT_SHARE / (len(carrying) + missing)
        return (1.0 - HIGH_CAPACITY_LIMIT_SHARE) / (others + is_carrying)

    def quota_routers(self, limit_share: float) -> RouterSet:
        """Return the routers that may own quotas: those on high-capacity hosts.

        Suspected ones do not, as an owner that does not answer costs callers more than a change.
        Recently failed ones are known for a while, as they may only be partitioned.
        """
        table = self.membership.table
        if self._quota_change_count != table.change_count:
            self._quota_change_count = table.change_count
            members = [member for member in table.members() if not member.leaving]
            hosts = {router.host for router in high_capacity_routers(map(_address, members))}
            alive = {member.host for member in members if member.state is MemberState.ALIVE}
            self._quota_hosts = (frozenset(alive & hosts), len(hosts))
        alive_hosts, known_count = self._quota_hosts
        missing = max(0, len(self._seeds) + 1 - len(table.members()))
        return RouterSet(alive_hosts, known_count + missing, limit_share)

    def set_cut_off(self, is_cut_off: bool) -> None:
        """Tell the peers whether this router reaches backend servers."""
        self.membership.table.update_local_member(is_cut_off=is_cut_off)

    def announce_quarantine(self, fingerprint: str, now_s: float) -> None:
        """Tell the routers that callers use at once which request is quarantined.

        Its caller repeats it at another router before gossip arrives there.
        """
        facts = self.board.facts(FactKind.QUARANTINE, fingerprint, now_s)
        members = sorted(
            self.membership.table.reachable(), key=lambda member: -member.capacity_cores
        )
        self.membership.announce_facts(facts, members[:MAX_ADDRESSES])

    def is_known(self, host: str) -> bool:
        """Return whether a router with this address is a member."""
        return any(member.host == host for member in self.membership.table.reachable())

    def forwarding_targets(self) -> list[str]:
        """Return the addresses of peers that may take requests which this router can't serve.

        They are in this router's region, reach backend servers, and are not overloaded unless all
        are.
        """
        return [member.host for member in self._serving_members(self.membership.table.reachable())]

    def probers(self, fingerprint: str, *, is_returning: bool = False) -> list[str]:
        """Return the peers that probe a suspect request before this router does, in order.

        All routers of a region have the same order, as far as they agree on the members. If this
        router is returning from a cut, or no member serves, all may be: then servers have ended and
        not links, and which members are back is known too late to choose by it.
        """
        table = self.membership.table
        members = [table.local_member, *table.reachable()]
        eligible = [] if is_returning else self._serving_members(members)
        hosts = [member.host for member in eligible or self._staying_members(members)]
        hosts.sort(key=lambda host: rendezvous_weight(host, fingerprint), reverse=True)
        own = table.local_member.host
        return hosts[: hosts.index(own)] if own in hosts else hosts

    def _serving_members(self, members: Iterable[Member]) -> list[Member]:
        """Return the members that serve this region, without overloaded ones if possible."""
        serving = [member for member in self._staying_members(members) if not member.is_cut_off]
        return [member for member in serving if not member.overloaded] or serving

    def _staying_members(self, members: Iterable[Member]) -> list[Member]:
        """Return the members of this region that run and do not leave."""
        own = self._region_by_zone.get(self.membership.table.local_member.zone)
        return [
            member
            for member in members
            if member.state is MemberState.ALIVE
            and not member.leaving
            and self._region_by_zone.get(member.zone) == own
        ]

    def routers_for_callers(self) -> list[RouterAddress]:
        """Return the routers that callers are sent to, as few as serve the load."""
        table = self.membership.table
        serving = {
            member.host
            for member in (table.local_member, *table.reachable())
            if member.state is MemberState.ALIVE and not (member.leaving or member.is_cut_off)
        }
        selected = [router for router in self._for_callers if router.host in serving]
        return selected or self.accepting_routers()

    def update_selection(self, now_s: float) -> None:
        """Select the routers that callers are sent to, if the members may have changed."""
        table = self.membership.table
        elapsed_s = now_s - self._selected_s
        if elapsed_s < MIN_SELECTION_INTERVAL_S:
            return
        if table.change_count == self._selected_changes and elapsed_s < MAX_SELECTION_INTERVAL_S:
            return
        self._selected_s, self._selected_changes = now_s, table.change_count
        accepting = self.accepting_routers()
        members = [_address(member) for member in table.members()]
        self._for_callers = self._selection.select(usable_routers(accepting), now_s, members)

    def selects_hosts(self) -> bool:
        """Return whether this router's data centre has more hosts than callers may need."""
        return self._selection.has_choice(self.membership.table.local_member.zone)

    def announce_utilisation(self, utilisation: float) -> None:
        """Tell the peers how much of this router's host is in use."""
        self.membership.table.update_local_member(utilisation=utilisation)

    def accepting_routers(self) -> list[RouterAddress]:
        """Return the routers that accept new requests, including this one."""
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
        member.is_cut_off,
        member.utilisation,
    )
