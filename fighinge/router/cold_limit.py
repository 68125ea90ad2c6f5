"""The rate limit of this router's requests to a cold backend server.

All routers together may send a bounded number of requests per second, above which a cold server
crashes. Rendezvous hashing assigns each router a whole number of them, so that routers with the
same membership stay below the bound without coordination. Routers lost recently keep their quota.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import msgspec

from fighinge.ownership import rendezvous_weight

if TYPE_CHECKING:
    from collections.abc import Collection

WINDOW_S = 1.0  # the bound applies to any second
SAFETY_FACTOR = 0.75  # requests may arrive closer together than they were sent


class ColdLimits(msgspec.Struct, frozen=True):
    """Limit of all routers together: ``factor`` times the cold server's rate, plus ``slack``."""

    factor: float
    slack: float


def cold_quota(
    requests_per_s: float,
    limits: ColdLimits,
    routers: Collection[str],
    own_address: str,
    instance_id: str,
) -> int:
    """Return how many requests per second this router may send to a cold server.

    :param requests_per_s: rate that the server sustains while it is cold
    :param routers: addresses of all routers, including this one
    """
    total_quota = int(SAFETY_FACTOR * (requests_per_s * limits.factor + limits.slack))
    base_quota, remainder = divmod(total_quota, max(1, len(routers)))
    own_weight = rendezvous_weight(own_address, instance_id)
    heavier_routers = sum(rendezvous_weight(router, instance_id) > own_weight for router in routers)
    return base_quota + (heavier_routers < remainder)


class ColdCallWindow:
    """Sliding window over the calls of the last second to one cold server."""

    __slots__ = ("_started_s",)

    def __init__(self) -> None:
        self._started_s: deque[float] = deque()

    def record_call(self, now_s: float) -> None:
        """Record the start of a call."""
        self._started_s.append(now_s)

    def is_full(self, quota: int, now_s: float) -> bool:
        """Return whether the quota of the window is used up."""
        while self._started_s and now_s - self._started_s[0] >= WINDOW_S:
            self._started_s.popleft()
        return len(self._started_s) >= quota
