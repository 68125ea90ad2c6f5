"""Finds out whether this router is cut off from all backend servers.

Calls that fail at several servers raise the suspicion. It is settled by opening connections to a
sample of servers of different services: failing calls alone do not tell a cut from servers that are
down, and connections that were opened before may live on during a cut. A server that refuses is
replaced by another one, as all of a sample may have ended.
"""

from __future__ import annotations

import asyncio
import enum
import heapq
import itertools
from typing import TYPE_CHECKING

from fighinge.router.metrics import CUT_OFF

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from fighinge.aggregator.base import Address
    from fighinge.router.backend import Backend
    from fighinge.router.backend_calls import BackendCalls
    from fighinge.router.decision_log import DecisionLog
    from fighinge.router.pool import BackendPool

FAILURE_TTL_S = 2.0  # failures of a cut come within a connect timeout of each other
MIN_FAILED_SERVERS = 2  # a check costs little, and one server fails often
SAMPLE_SERVERS = 6
MAX_TRIED_SERVERS = 30
LAST_TRY_AFTER_S = 0.1  # tries that begin later could end after ``MAX_CHECK_S``
MAX_RESPONDED_SERVERS = 64
MIN_SAMPLE_SERVERS = 3  # fewer prove nothing
RECOVERED_RATIO = 0.5  # of the sample; a router that reaches a part serves by that
CHECK_INTERVAL_S = 0.5
MAX_CHECK_S = 0.6  # a connect timeout and some delay; beyond it, this process itself was late
MAX_CRASH_CHECK_AGE_S = 0.1  # a cut that begins later would look like crashes of servers
RETURN_DELAY_S = 1.0  # peers lower their shares of limits before this router uses its own again


class LinkState(enum.Enum):
    """Whether this router reaches backend servers."""

    REACHING = "reaching"
    CUT_OFF = "cut off"
    RETURNING = "returning"


class Reachability:
    """The state of this router's links to all backend servers.

    While it is cut off or returning, requests should be handed to other routers.
    """

    __slots__ = (
        "_calls",
        "_check",
        "_checked_s",
        "_clock",
        "_cut_off",
        "_failed_s",
        "_listeners",
        "_log",
        "_pool",
        "_random",
        "_responded",
        "_since_s",
        "_state",
        "_wake_up",
    )

    def __init__(
        self,
        pool: BackendPool,
        calls: BackendCalls,
        log: DecisionLog,
        clock: Callable[[], float],
        random_source: random.Random,
    ) -> None:
        self._pool = pool
        self._calls = calls
        self._log = log
        self._clock = clock
        self._random = random_source
        self._state = LinkState.REACHING
        self._since_s = clock()
        self._failed_s: dict[tuple[str, str], float] = {}
        self._responded: dict[tuple[str, str], None] = {}  # the latest response comes last
        self._check: asyncio.Task | None = None
        self._checked_s = float("-inf")
        self._wake_up = asyncio.Event()
        self._cut_off = asyncio.Event()
        self._listeners: list[Callable[[bool], object]] = []

    def listen(self, listener: Callable[[bool], object]) -> None:
        """Call a listener whenever this router is cut off or reaches servers again."""
        self._listeners.append(listener)

    async def causes_refusal(self, max_age_s: float = MAX_CRASH_CHECK_AGE_S) -> bool:
        """Return whether a server is out of reach because of this router's links.

        :param max_age_s: age in seconds up to which the result of the last check is used
        """
        if not self.is_cut_off and self._clock() - self._checked_s > max_age_s:
            await self._check_links()
        return self._state is LinkState.CUT_OFF

    def is_suspected(self, now_s: float) -> bool:
        """Return whether failures may come from this router's links and not from the servers."""
        return self.is_cut_off or self._has_many_failures(now_s)

    @property
    def is_cut_off(self) -> bool:
        """Return whether requests should be handed to other routers."""
        return self._state is not LinkState.REACHING

    @property
    def is_returning(self) -> bool:
        """Return whether this router was cut off a moment ago and reaches servers again."""
        return self._state is LinkState.RETURNING

    async def wait_until_cut_off(self) -> None:
        """Return as soon as this router is cut off."""
        await self._cut_off.wait()

    def record_failure(self, backend: Backend, now_s: float) -> None:
        """Record that a call to a server ended without any response."""
        self._failed_s[_key(backend)] = now_s
        if self._state is LinkState.REACHING and self._has_many_failures(now_s):
            self._wake_up.set()

    def record_response(self, backend: Backend) -> None:
        """Record that a server responded."""
        key = _key(backend)
        self._failed_s.pop(key, None)
        self._responded.pop(key, None)
        self._responded[key] = None
        if len(self._responded) > MAX_RESPONDED_SERVERS:
            del self._responded[next(iter(self._responded))]

    async def run(self) -> None:
        """Check the links while there is a suspicion or a cut, until cancelled."""
        while True:
            if self._state is LinkState.REACHING:
                await self._wake_up.wait()
            self._wake_up.clear()
            await self._check_links()
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _check_links(self) -> None:
        """Check the links, or wait for the check in progress."""
        if self._check is None:
            self._check = asyncio.create_task(self._run_check())
            self._check.add_done_callback(self._handle_check_end)
        await asyncio.shield(self._check)

    def _handle_check_end(self, _check: asyncio.Task) -> None:
        self._check = None
        self._checked_s = self._clock()

    async def _run_check(self) -> None:
        """Open connections to a sample of servers and update the state."""
        candidates = self._candidates()
        sample = candidates[:SAMPLE_SERVERS]
        if len(sample) < MIN_SAMPLE_SERVERS:
            return
        started_s = self._clock()
        if self._state is LinkState.REACHING:
            tried, accepted = await self._try_until_accepted(candidates)
        else:
            tried, accepted = len(sample), await self._count_accepted(sample)
        now_s = self._clock()
        if not accepted and now_s - started_s > MAX_CHECK_S:
            return
        if self._state is LinkState.REACHING:
            if accepted == 0:
                self._set_state(LinkState.CUT_OFF, accepted, tried, now_s)
            else:
                self._failed_s.clear()
        elif accepted < RECOVERED_RATIO * tried:
            self._set_state(LinkState.CUT_OFF, accepted, tried, now_s)
        elif self._state is LinkState.CUT_OFF:
            self._set_state(LinkState.RETURNING, accepted, tried, now_s)
        elif now_s - self._since_s >= RETURN_DELAY_S:
            self._set_state(LinkState.REACHING, accepted, tried, now_s)

    async def _count_accepted(self, addresses: list[Address]) -> int:
        """Return how many servers accept a connection."""
        results = await asyncio.gather(*map(self._calls.accepts_connections, addresses))
        return sum(results)

    async def _try_until_accepted(self, candidates: list[Address]) -> tuple[int, int]:
        """Return how many servers were tried, and 1 if one of them accepted a connection, else 0.

        A sample is tried at once. A server that refuses is replaced by the next candidate, up to
        ``MAX_TRIED_SERVERS``; one whose connection times out is not, as that takes too long.
        """
        waiting = iter(candidates[SAMPLE_SERVERS:MAX_TRIED_SERVERS])
        tries: set[asyncio.Task[bool]] = set()
        tried = 0

        def start(address: Address) -> None:
            nonlocal tried
            tried += 1
            tries.add(asyncio.create_task(self._calls.accepts_connections(address)))

        last_try_s = self._clock() + LAST_TRY_AFTER_S
        for address in candidates[:SAMPLE_SERVERS]:
            start(address)
        try:
            while tries:
                ended, _ = await asyncio.wait(tries, return_when=asyncio.FIRST_COMPLETED)
                tries -= ended
                if any(task.result() for task in ended):
                    return tried, 1
                if self._clock() < last_try_s:
                    for address in itertools.islice(waiting, len(ended)):
                        start(address)
        finally:
            for task in tries:
                task.cancel()
        return tried, 0

    def _candidates(self) -> list[Address]:
        """Return the addresses of servers in the order in which they are tried.

        One of each service comes first, and those of which no call has failed before the others:
        they alone tell a cut from servers that have ended. Among them those come first that have
        responded last.
        """
        services = [service for service in self._pool.services() if service.backends]
        self._random.shuffle(services)
        services.sort(key=lambda service: sum(map(self._has_failed, service.backends)))
        last_responses = {key: at for at, key in enumerate(self._responded)}

        def order(backend: Backend) -> tuple[bool, int, float]:
            return (
                self._has_failed(backend),
                -last_responses.get(_key(backend), -1),
                self._random.random(),
            )

        chosen = [min(service.backends, key=order) for service in services]
        chosen_keys = set(map(_key, chosen))
        others = [
            backend
            for service in services
            for backend in service.backends
            if _key(backend) not in chosen_keys
        ]
        chosen += heapq.nsmallest(MAX_TRIED_SERVERS, others, key=order)
        return [backend.record.address for backend in chosen]

    def _has_failed(self, backend: Backend) -> bool:
        return _key(backend) in self._failed_s

    def _has_many_failures(self, now_s: float) -> bool:
        recent = [key for key, at_s in self._failed_s.items() if now_s - at_s < FAILURE_TTL_S]
        if len(recent) < len(self._failed_s):
            self._failed_s = {key: self._failed_s[key] for key in recent}
        return len(recent) >= MIN_FAILED_SERVERS

    def _set_state(self, state: LinkState, accepted: int, tried: int, now_s: float) -> None:
        if state is self._state:
            return
        self._log.write(
            "links to backend servers",
            state=state.value,
            previous=self._state.value,
            for_s=round(now_s - self._since_s, 2),
            accepted=accepted,
            tried=tried,
            failed_servers=len(self._failed_s),
            failed_services=len({service for service, _ in self._failed_s}),
        )
        self._state, self._since_s = state, now_s
        CUT_OFF.set(state is not LinkState.REACHING)
        if state is LinkState.CUT_OFF:
            self._cut_off.set()
            self._responded.clear()
        elif state is LinkState.RETURNING:
            self._cut_off.clear()
            self._failed_s.clear()
            self._pool.forget_unreachable()
        for listener in self._listeners:
            listener(state is LinkState.CUT_OFF)


def _key(backend: Backend) -> tuple[str, str]:
    """Return what names a run of a server in the records of its failures and responses."""
    return (backend.record.service, backend.record.run_name)
