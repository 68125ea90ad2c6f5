"""The members that accept new work, as seen by this process."""

from __future__ import annotations

from typing import TYPE_CHECKING

import logbook
import msgspec

from fighinge.facts import Fact, FactKind
from fighinge.membership.entry_selection import EntryCandidate, choose_entries
from fighinge.membership.member import MemberState, Role
from fighinge.ownership import Candidate
from fighinge.queries import EntriesAnswer, EntryAddress

if TYPE_CHECKING:
    from collections.abc import Callable

    from fighinge.configuration.base import ListedHost
    from fighinge.facts import FactBoard
    from fighinge.membership.member import Member
    from fighinge.membership.table import MemberTable
    from fighinge.membership.zone_ramp_up import ZoneRampUp
    from fighinge.model import Document

logger = logbook.Logger(__name__)

LEAVING_FACT_TTL_S = 20.0


class Ports(msgspec.Struct, frozen=True):
    """The service port of each role, the same on every host."""

    entry: int
    aggregator: int


class Fleet:
    """The members that accept new work, by role.

    The platform's host list is authoritative for hosts that are leaving. Hosts that it lists
    as live are used only until another member of the role is known, because the list lags.
    """

    __slots__ = ("_address_ttl_s", "_board", "_clock", "_hosts", "_ports", "_ramp_up", "_table")

    def __init__(
        self,
        ports: Ports,
        table: MemberTable,
        board: FactBoard,
        ramp_up: ZoneRampUp,
        address_ttl_s: float,
        clock: Callable[[], float],
    ) -> None:
        self._ports = ports
        self._table = table
        self._ramp_up = ramp_up
        self._board = board
        self._address_ttl_s = address_ttl_s
        self._clock = clock
        self._hosts: list[ListedHost] = []

    def update_hosts(self, hosts: list[ListedHost]) -> None:
        """Store the platform's host list; publish and renew a fact for each host that leaves."""
        now_s = self._clock()
        self._hosts = hosts
        for host in hosts:
            if host.state == "leaving" and not self._is_leaving(
                host.address, now_s, recently_renewed=True
            ):
                fact = Fact(
                    FactKind.HOST_LEAVING, host.address, "listed", now_s + LEAVING_FACT_TTL_S
                )
                self._board.add(fact, now_s)

    def aggregators(self) -> list[Candidate]:
        """Return the aggregators that accept new work."""
        return [
            Candidate(host, zone, self._ramp_up.fraction(zone))
            for host, zone, _ in self._accepting_members(Role.AGGREGATOR)
        ]

    def zone_ramp_fraction(self, zone: str) -> float:
        """Return the fraction of its groups that a data centre owns during its ramp-up."""
        return self._ramp_up.fraction(zone)

    def aggregator_address(self, host: str) -> str:
        """Return the address of an aggregator, ``host:port``."""
        return f"{host}:{self._ports.aggregator}"

    def entry_url(self, host: str) -> str | None:
        """Return the URL of an entry, or ``None`` if it is not a live member.

        Entries that are leaving count as members. The host list is used while no other member
        is reachable.
        """
        hosts = {member.host for member in self._live_members(Role.ENTRY)}
        if not self._table.reachable():
            hosts |= {listed.address for listed in self._hosts}
        return f"http://{host}:{self._ports.entry}" if host in hosts else None

    def entries(self, document: Document, caller: str, zone: str) -> EntriesAnswer:
        """Return the entries that a caller should use, those of its data centre first."""
        candidates = [EntryCandidate(*entry) for entry in self._accepting_members(Role.ENTRY)]
        addresses = [
            EntryAddress(entry.host, entry.zone, f"http://{entry.host}:{self._ports.entry}")
            for entry in choose_entries(candidates, document, caller, zone)
        ]
        return EntriesAnswer(entries=addresses, keep_s=self._address_ttl_s)

    def _accepting_members(self, role: Role) -> list[tuple[str, str, bool]]:
        """Return host, data centre and overload state of a role's members that accept new work."""
        now_s = self._clock()
        if self._knows_member_of(role):
            found = [
                (member.host, member.zone, member.overloaded)
                for member in self._live_members(role)
                if not member.leaving
            ]
        else:
            found = [(host.address, host.zone, False) for host in self._hosts]
        return [member for member in found if not self._is_leaving(member[0], now_s)]

    def _knows_member_of(self, role: Role) -> bool:
        """Return whether another member of a role is known, dead or alive."""
        local_member = self._table.local_member
        return any(
            member.role is role and member is not local_member for member in self._table.members()
        )

    def _live_members(self, role: Role) -> list[Member]:
        return [
            member
            for member in self._table.members()
            if member.role is role and member.state is not MemberState.DEAD
        ]

    def _is_leaving(self, host: str, now_s: float, *, recently_renewed: bool = False) -> bool:
        """Return whether the platform lists a host as leaving.

        :param recently_renewed: whether the fact must have at least half of its lifetime left
        """
        at_s = now_s + LEAVING_FACT_TTL_S / 2 if recently_renewed else now_s
        return bool(self._board.values(FactKind.HOST_LEAVING, host, at_s))
