"""What a process believes of the fleet's members."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook
import msgspec

from fighinge.errors import Failure
from fighinge.ownership import Candidate, rendezvous_weight, zone_in_service
from fighinge.queries import EntriesAnswer, EntryAddress

if TYPE_CHECKING:
    from fighinge.configuration.base import HostEntry, HostList
    from fighinge.model import Document

logger = logbook.Logger(__name__)

HOST_LIST_INTERVAL_S = 2.0
KEEP_S = 10.0
ENTRIES_IN_ANSWER = 3


class Ports(msgspec.Struct, frozen=True):
    """The ports that each role listens on, the same on every host."""

    entry: int
    aggregator: int


class Fleet:
    """The hosts that take new work, by the platform's list."""

    __slots__ = ("_hosts", "_ports")

    def __init__(self, ports: Ports) -> None:
        self._ports = ports
        self._hosts: list[HostEntry] = []

    def take(self, hosts: list[HostEntry]) -> None:
        """Take the platform's list."""
        self._hosts = [host for host in hosts if host.state == "live"]

    def aggregators(self) -> list[Candidate]:
        """Return the aggregators that take new work."""
        return [Candidate(host.address, host.zone) for host in self._hosts]

    def aggregator_address(self, name: str) -> str:
        """Return where an aggregator listens."""
        return f"{name}:{self._ports.aggregator}"

    def entry_url(self, name: str) -> str | None:
        """Return the URL of an entry, or none where no such entry is a member."""
        if any(host.address == name for host in self._hosts):
            return f"http://{name}:{self._ports.entry}"
        return None

    def entries(self, document: Document, caller: str, zone: str) -> EntriesAnswer:
        """Tell a caller which entries to use, those of its zone first."""
        usable = [host for host in self._hosts if zone_in_service(document, host.zone)]
        ranked = sorted(
            usable,
            key=lambda host: (host.zone != zone, -rendezvous_weight(host.address, caller)),
        )
        addresses = [
            EntryAddress(host.address, host.zone, f"http://{host.address}:{self._ports.entry}")
            for host in ranked[:ENTRIES_IN_ANSWER]
        ]
        return EntriesAnswer(entries=addresses, keep_s=KEEP_S)


async def follow_host_list(host_list: HostList, fleet: Fleet) -> None:
    """Read the platform's host list for as long as the task runs."""
    while True:
        hosts = await host_list.hosts()
        if isinstance(hosts, Failure):
            logger.warning("{}", hosts.reason)
        else:
            fleet.take(hosts)
        await asyncio.sleep(HOST_LIST_INTERVAL_S)
