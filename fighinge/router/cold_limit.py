"""How many requests this router may send to a cold backend server in a second.

All routers together may send a bounded number, and a server over that crashes. Each gets whole
requests of its own by rendezvous hash, so that the sum holds without agreement among routers that
know of base_quota other; those lately lost keep theirs.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import msgspec

from fighinge.ownership import rendezvous_weight

if TYPE_CHECKING:
    from collections.abc import Collection

WINDOW_S = 1.0  # the bound holds for any second
SAFETY_FACTOR = 0.75  # requests on their way arrive closer together than they were sent


class ColdLimits(msgspec.Struct, frozen=True):
    """What all routers together may send to a cold server: ``factor`` times its rate and slack."""

    factor: float
    slack: float


def cold_quota(
    requests_per_s: float,
    limits: ColdLimits,
    routers: Collection[str],
    own_address: str,
    instance_id: str,
) -> int:
    """Return this router's whole requests a second to a cold server.

    :param requests_per_s: what the server bears while it is cold
    :param routers: the addresses of all routers, this one among them
    """
    total_quota = int(SAFETY_FACTOR * (requests_per_s * limits.factor + limits.slack))
    base_quota, remainder = divmod(total_quota, max(1, len(routers)))
    own_weight = rendezvous_weight(own_address, instance_id)
    heavier_routers = sum(rendezvous_weight(router, instance_id) > own_weight for router in routers)
    return base_quota + (heavier_routers < remainder)


class ColdCallWindow:
    """The calls of the last second to one cold server."""

    __slots__ = ("_started_s",)

    def __init__(self) -> None:
        self._started_s: deque[float] = deque()

    def record_call(self, now_s: float) -> None:
        """Count a call."""
        self._started_s.append(now_s)

    def is_full(self, quota: int, now_s: float) -> bool:
        """Return whether no further call may be sent within this second."""
        while self._started_s and now_s - self._started_s[0] >= WINDOW_S:
            self._started_s.popleft()
        return len(self._started_s) >= quota
