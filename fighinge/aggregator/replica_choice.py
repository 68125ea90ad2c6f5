"""Load balancing between the replicas of a shard."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from fighinge.aggregator.backend_server import BackendServer

MAX_COMPARED = 4
TIE_BREAK_RATIO = 0.05


class ReplicaChooser:
    """Picks the replica with the least expected latency.

    Up to ``MAX_COMPARED`` replicas are all compared; among more, the better of two random choices
    wins. Near ties are broken at random.
    """

    __slots__ = ("_compares_latency", "_random")

    def __init__(self, source: random.Random, *, compares_latency: bool = True) -> None:
        self._random = source
        self._compares_latency = compares_latency

    def choose(self, free: Sequence[BackendServer], now_s: float) -> BackendServer:
        """Return one of the servers that can start a call now.

        :param free: at least one server
        """
        if len(free) == 1:
            return free[0]
        if not self._compares_latency:
            return self._random.choice(free)
        if len(free) > MAX_COMPARED:
            free = self._random.sample(free, 2)
        return min(free, key=lambda server: self._cost(server, now_s))

    def _cost(self, server: BackendServer, now_s: float) -> float:
        return server.expected_latency_s(now_s) * (1.0 + TIE_BREAK_RATIO * self._random.random())
