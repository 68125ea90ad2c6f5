"""Backend servers with slots and queues, and callers of several kinds, in virtual time."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections import deque
from typing import TYPE_CHECKING

import msgspec

from fighinge.aggregator.base import Address, CallFailure, CallFault
from fighinge.router.model import Gather, Route
from tests.router.builders import RouterFixture, answer, backend_record, route

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from fighinge.router.exchange import BackendRequest
    from fighinge.router.model import BackendRecord

UNREACHABLE_S = 0.4  # until a connection to an unreachable host times out
NETWORK_S = 0.001  # both ways between a router and a server


class Kind(msgspec.Struct, frozen=True):
    """A kind of request: its rate over all routers, its work and what its callers want."""

    name: str
    rate_per_s: float
    work_s: float
    target_s: float
    deadline_s: float
    min_coverage: float
    priority: int

    def route(self, shards: int) -> Route:
        """Return the gather route of this kind."""
        names = tuple(f"s{number}" for number in range(shards))
        return route(
            self.name,
            targets=(),
            gather=Gather(names, 3, self.min_coverage),
            timeout_s=self.deadline_s,
            latency_target_s=self.target_s,
            priority=self.priority,
        )


class KindResult(msgspec.Struct):
    """What the callers of a kind got."""

    sent: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    missing: int = 0
    slowest_refusal_s: float = 0.0

    @property
    def in_time_share(self) -> float:
        """Return the fraction of the requests that were answered in time."""
        return self.in_time / self.sent

    @property
    def late_share(self) -> float:
        """Return the fraction of the requests that were answered late."""
        return self.late / self.sent


class SlotServers:
    """Backend servers that several routers call: slots, a queue, and a factor of slowness.

    A call that its router cancels leaves the queue; one that runs is completed.
    """

    def __init__(self, slots: int = 4) -> None:
        self._slots = slots
        self.slowness: dict[str, float] = {}
        self.unreachable: set[str] = set()
        self._running: dict[str, int] = {}
        self._queues: dict[str, deque[asyncio.Future]] = {}
        self.served: dict[str, int] = {}

    async def call(
        self,
        address: Address,
        content: BackendRequest,
        timeout_s: float,
        *,
        is_idempotent: bool,
        on_start: Callable[[], None] = lambda: None,
        on_late_response: Callable | None = None,
        may_send: Callable[[], bool] = lambda: True,
    ):
        """Serve a call; its work in milliseconds is the last part of its path."""
        name = dict(content.headers)["X-Expect-Instance"]
        if name in self.unreachable:
            await asyncio.sleep(min(UNREACHABLE_S, timeout_s))
            return CallFailure(CallFault.NOT_CONNECTED, "timed out")
        if not may_send():
            return CallFailure(CallFault.CONNECTION_LIMIT, "withdrawn")
        on_start()
        try:
            async with asyncio.timeout(timeout_s):
                return await self._serve(name, float(content.target.rsplit("/", 1)[1]) / 1000)
        except TimeoutError:
            return CallFailure(CallFault.TIMEOUT, "no answer in time")

    async def accepts_connections(self, address: Address) -> bool:
        """Return that a connection fails: only unreachable servers are tried without a request."""
        return False

    async def _serve(self, name: str, work_s: float):
        queue = self._queues.setdefault(name, deque())
        if self._running.setdefault(name, 0) >= self._slots:
            turn = asyncio.get_running_loop().create_future()
            queue.append(turn)
            await turn
        else:
            self._running[name] += 1
        took_s = work_s * self.slowness.get(name, 1.0)
        asyncio.get_running_loop().call_later(took_s, self._end, name)
        await asyncio.sleep(took_s + NETWORK_S)
        waiting = sum(not turn.done() for turn in queue)
        load = f"{self._running[name]},{waiting},{self._slots}"
        return answer(signature=f"sig-{name}", X_Server_Load=load)

    def _end(self, name: str) -> None:
        self.served[name] = self.served.get(name, 0) + 1
        queue = self._queues[name]
        while queue:
            turn = queue.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self._running[name] -= 1


def advancing_clock() -> Callable[[], float]:
    """Return a clock that also advances with each reading, by a nanosecond.

    Timers in virtual time end on whole microseconds. With a clock that stands still, a wait until a
    time between two of them would be repeated for ever.
    """
    loop_time = asyncio.get_running_loop().time
    readings = itertools.count()
    return lambda: loop_time() + 1e-9 * next(readings)


def routers_with_servers(servers: SlotServers, count: int) -> list[RouterFixture]:
    """Return routers that share servers and divide all limits evenly."""
    routers = []
    for number in range(count):
        router = RouterFixture(budget_slack=198.0, links_seed=number, clock=advancing_clock())
        router.pool.load_policy.may_balance_shards = True
        router.call_runner._calls = servers
        hosts = frozenset(f"10.0.0.{other + 1}" for other in range(count))
        router.pool.set_limit_share(0.85 / count, hosts, router.clock())
        routers.append(router)
    return routers


def records(shards: int, servers_of: Callable[[int], Iterable[int]]) -> list[BackendRecord]:
    """Return the records of the servers of each shard, named ``s0-0`` and so on."""
    return [
        backend_record(f"s{shard}-{replica}", f"s{shard}", zone=f"z{replica + 1}")
        for shard in range(shards)
        for replica in servers_of(shard)
    ]


async def play(
    routers: list[RouterFixture],
    kinds: Iterable[Kind],
    seconds: float,
    *,
    rate_factor: Callable[[float], float] = lambda now_s: 1.0,
    seed: int = 1,
) -> dict[str, KindResult]:
    """Send requests of all kinds at random times to random routers; return what callers got."""
    source = random.Random(seed)
    results = {kind.name: KindResult() for kind in kinds}
    tasks: list[asyncio.Task] = []

    async def send(kind: Kind) -> None:
        router = source.choice(routers)
        result = results[kind.name]
        started_s = router.clock()
        answered = await router.send(
            f"/{kind.name}/{len(tasks)}/{1000 * kind.work_s}",
            caller_timeout_s=kind.deadline_s,
            rtt_s=0.006,
        )
        took_s = router.clock() - started_s + 0.006
        result.sent += 1
        if answered.status == 200:
            result.missing += int(dict(answered.headers)["X-Missing-Parts"])
            result.in_time += took_s <= kind.target_s
            result.late += took_s > kind.target_s
        elif answered.is_not_run:
            result.refused += 1
            result.slowest_refusal_s = max(result.slowest_refusal_s, took_s)
        else:
            result.failed += 1

    async def arrive(kind: Kind) -> None:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        begin_s = loop.time()
        while loop.time() < end_s:
            rate_per_s = kind.rate_per_s * rate_factor(loop.time() - begin_s)
            await asyncio.sleep(source.expovariate(rate_per_s))
            tasks.append(asyncio.create_task(send(kind)))

    await asyncio.gather(*(arrive(kind) for kind in kinds))
    await asyncio.gather(*tasks)
    return results
