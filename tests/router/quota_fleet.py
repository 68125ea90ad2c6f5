"""Quota gates of several routers in virtual time, joined by a network that loses and cuts."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from fighinge.membership.member import GossipAddress
from fighinge.router.model import ClientAccount
from fighinge.router.peer_channel import PeerChannel
from fighinge.router.quota import QuotaBounds
from fighinge.router.quota_owners import QuotaOwners, RouterSet
from fighinge.router.shared_quota import SharedQuota
from tests.router.builders import MemoryLog, client_account, request

PORT = 7742
BOUNDS = QuotaBounds(window_s=5.0, overage=0.25, slack=20.0)
UPDATE_INTERVAL_S = 0.1
SEEDS = 3
ROUND_TRIP_S = (0.001, 0.002)
JOIN_SEEN_S = (0.1, 0.6)  # how long until another router knows of a new one
FAILURE_SEEN_S = (0.8, 3.0)  # until another router suspects one that has failed
CALM_START_S = 7.0  # the routers have started, and a window has passed since


class MemoryNetwork:
    """Datagrams between hosts, with loss, delay, duplicates and separated groups."""

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self.receivers: dict[str, Callable[[bytes, str], None]] = {}
        self.group: dict[str, int] = {}
        self.loss = 0.0
        self.duplicates = 0.0
        self.extra_delay_s = 0.0
        self.silent: set[str] = set()
        self.sent = 0

    def send(self, source: str, data: bytes, target: str) -> None:
        self.sent += 1
        is_cut = self.group.get(source, 0) != self.group.get(target, 0)
        if is_cut or source in self.silent or self._random.random() < self.loss:
            return
        copies = 2 if self._random.random() < self.duplicates else 1
        for _ in range(copies):
            delay_s = self._random.uniform(*ROUND_TRIP_S) / 2
            delay_s += self._random.uniform(0.0, self.extra_delay_s)
            asyncio.get_running_loop().call_later(delay_s, self._deliver, data, source, target)

    def _deliver(self, data: bytes, source: str, target: str) -> None:
        if target in self.receivers and target not in self.silent:
            self.receivers[target](data, source)


class MemoryTransport:
    """A host's transport on a memory network."""

    def __init__(self, network: MemoryNetwork, host: str) -> None:
        self._network, self._host = network, host

    async def open(self, receive: Callable[[bytes, str], None]) -> None:
        self._network.receivers[self._host] = receive

    def send(self, data: bytes, address: GossipAddress) -> None:
        self._network.send(self._host, data, address.host)

    def close(self) -> None:
        self._network.receivers.pop(self._host, None)


class SimulatedRouter:
    """A router's gate and what it knows of the others."""

    def __init__(self, fleet: QuotaFleet, host: str) -> None:
        self.host = host
        self.alive = {host}
        self.known = {host}
        self.log = MemoryLog()
        clock = asyncio.get_running_loop().time
        channel = PeerChannel(MemoryTransport(fleet.network, host), PORT, self.known.__contains__)
        self.channel = channel
        owners = QuotaOwners(host, BOUNDS.window_s, clock())
        self.gate = SharedQuota(BOUNDS, host, owners, channel, self.log, clock)

    def routers(self) -> RouterSet:
        known_count = max(len(self.known), SEEDS + 1)
        return RouterSet(frozenset(self.alive), known_count, 1.0 / known_count)


class QuotaFleet:
    """Routers, their membership with its delays, and a record of each request.

    ``requests`` has a time, an account, whether the request was admitted, and the wait if not.
    """

    def __init__(self, routers: int = 6, *accounts: ClientAccount, seed: int = 1) -> None:
        self.random = random.Random(seed)
        self.network = MemoryNetwork(self.random)
        self.accounts = {account.name: account for account in accounts}
        self.hosts = [f"10.0.0.{number + 1}" for number in range(routers)]
        self.routers: dict[str, SimulatedRouter] = {}
        self.requests: list[tuple[float, str, bool, float | None]] = []
        self.waits_s: list[float] = []
        self._tasks: list[asyncio.Task] = []

    @property
    def now_s(self) -> float:
        return asyncio.get_running_loop().time()

    async def start(self) -> None:
        for host in self.hosts:
            await self.start_router(host)
        self._tasks.append(asyncio.create_task(self._update()))
        await asyncio.sleep(CALM_START_S)

    async def start_router(self, host: str) -> None:
        router = self.routers[host] = SimulatedRouter(self, host)
        await router.channel.open()
        router.gate.set_accounts(tuple(self.accounts.values()), self.now_s)
        for other in list(self.routers.values()):
            if other is not router and self._reach(host, other.host):
                self._see(router, other.host, JOIN_SEEN_S, is_alive=True)
                self._see(other, host, JOIN_SEEN_S, is_alive=True)

    def kill(self, *hosts: str) -> None:
        for host in hosts:
            router = self.routers.pop(host)
            router.channel.close()
        for host in hosts:
            for other in self.routers.values():
                self._see(other, host, FAILURE_SEEN_S, is_alive=False)

    def partition(self, *groups: set[str]) -> None:
        """Separate groups of hosts; without groups, end the separation."""
        before = dict(self.network.group)
        self.network.group = {host: n for n, group in enumerate(groups) for host in group}
        for router in self.routers.values():
            for host in self.routers:
                was_cut = before.get(router.host, 0) != before.get(host, 0)
                is_cut = not self._reach(router.host, host)
                if is_cut and not was_cut:
                    self._see(router, host, FAILURE_SEEN_S, is_alive=False)
                elif was_cut and not is_cut:
                    self._see(router, host, JOIN_SEEN_S, is_alive=True)

    def apply_accounts(self, *accounts: ClientAccount) -> None:
        self.accounts = {account.name: account for account in accounts}
        for router in self.routers.values():
            router.gate.set_accounts(tuple(accounts), self.now_s)

    async def ask(self, account: str, host: str) -> float | None:
        """Send a request to a router, and record it."""
        started_s = self.now_s
        gate = self.routers[host].gate
        wait_s = await gate.acquire(self.accounts[account], request(), started_s)
        self.waits_s.append(self.now_s - started_s)
        if host in self.routers and self.routers[host].gate is gate:
            self.requests.append((self.now_s, account, wait_s is None, wait_s))
        return wait_s

    async def load(
        self,
        account: str,
        rate_per_s: float,
        duration_s: float,
        choose: Callable[[], str] | None = None,
    ) -> None:
        """Send requests at random times, by default to random routers."""
        end_s = self.now_s + duration_s
        calls = []
        while True:
            await asyncio.sleep(self.random.expovariate(rate_per_s))
            if self.now_s >= end_s:
                break
            if not self.routers:
                continue
            host = choose() if choose else self.random.choice(sorted(self.routers))
            if host in self.routers:
                calls.append(asyncio.create_task(self.ask(account, host)))
        await asyncio.gather(*calls)

    def owner(self, account: str) -> str:
        """Return the owner of an account, as the first router knows it."""
        gate = self.routers[min(self.routers)].gate
        return gate._owners.owner(account)

    def max_window(self, account: str, since_s: float = float("-inf")) -> int:
        """Return the most requests of an account that were admitted in any window."""
        times = sorted(
            at_s for at_s, name, ok, _ in self.requests if ok and name == account and at_s > since_s
        )
        most = start = 0
        for end, at_s in enumerate(times):
            while at_s - times[start] >= BOUNDS.window_s:
                start += 1
            most = max(most, end - start + 1)
        return most

    def refused_within_quota(self, account: str) -> int:
        """Return how many requests were refused although the quota had room for them."""
        limits = self.accounts[account]
        level, last_s, refused = limits.burst, 0.0, 0
        for at_s, name, is_admitted, _ in sorted(self.requests, key=lambda item: item[0]):
            if name != account:
                continue
            level = min(limits.burst, level + (at_s - last_s) * limits.rate_per_s)
            last_s = at_s
            if is_admitted:
                level -= 1
            elif level >= 1:
                refused += 1
        return refused

    def _reach(self, first: str, second: str) -> bool:
        return self.network.group.get(first, 0) == self.network.group.get(second, 0)

    def _see(
        self, router: SimulatedRouter, host: str, delay_s: tuple[float, float], *, is_alive: bool
    ) -> None:
        subject = self.routers.get(host)

        def apply() -> None:
            is_present = self.routers.get(host) is not None and self._reach(router.host, host)
            if is_alive and is_present and self.routers[host] is subject:
                router.known.add(host)
                router.alive.add(host)
            elif not is_alive and not is_present:
                router.alive.discard(host)

        asyncio.get_running_loop().call_later(self.random.uniform(*delay_s), apply)

    async def _update(self) -> None:
        while True:
            for router in list(self.routers.values()):
                router.gate.update(router.routers(), self.now_s)
            await asyncio.sleep(UPDATE_INTERVAL_S)


def bound(account: ClientAccount) -> float:
    """Return how many requests of an account may run in a window."""
    quota = account.rate_per_s * BOUNDS.window_s + account.burst
    return quota * (1 + BOUNDS.overage) + BOUNDS.slack


def account(name: str = "desk", rate_per_s: float = 11.0, burst: float = 11.0) -> ClientAccount:
    """Return an account with a quota."""
    return client_account(name, rate_per_s=rate_per_s, burst=burst)
