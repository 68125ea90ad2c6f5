"""Which router owns the quota of a client account, and what part of it the owner may issue.

The load addressed is that of callers while routers join, leave, end or lose each other: two owners
of an account may exist at once, and both together have to stay within the bound.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import msgspec

from fighinge.ownership import rendezvous_weight

if TYPE_CHECKING:
    from fighinge.router.quota import QuotaLimits

SETTLED_S = 1.5  # membership is complete within this time after a router starts
# The others know of this router later than it does, and start to ask it later. If it owned accounts
# before it counts the others, all routers that start together would own all accounts.
OWN_SETTLED_S = 2.2
ADD_INTERVAL_S = 0.5  # routers that start together become owners in one change
DISAGREEMENT_S = 0.5  # an earlier owner may still grant until it knows of a new router
DETECTION_S = 6.0  # the longest time until all routers know that a router has failed
GROWTH_DELAY_S = 3.0  # after a partition, the owners of both sides have met within this time
MAJORITY = 0.5
LEVEL_RATIO = 0.5  # of the levels of two new owners in a window, one after the other


class RouterSet(msgspec.Struct, frozen=True):
    """The routers that may own quotas, as this router knows them.

    ``alive`` are in service. ``known_count`` includes those that may only be partitioned.
    ``limit_share`` is this router's share of limits that apply to all routers together.
    """

    alive: frozenset[str]
    known_count: int
    limit_share: float


class QuotaOwners:
    """Chooses owners by rendezvous hashing over the settled routers in service."""

    __slots__ = (
        "_changes",
        "_fractions",
        "_own_host",
        "_since_s",
        "_started_s",
        "_window_s",
        "candidates",
    )

    def __init__(self, own_host: str, window_s: float, now_s: float) -> None:
        self._own_host = own_host
        self._window_s = window_s
        self.candidates: frozenset[str] = frozenset()
        self._started_s = now_s
        self._since_s: dict[str, float] = {}
        self._changes: deque[tuple[float, frozenset[str]]] = deque()
        self._fractions: deque[tuple[float, float]] = deque()

    def update(self, routers: RouterSet, now_s: float) -> bool:
        """Apply the present routers, and return whether owners have changed."""
        self._since_s = {host: self._since_s.get(host, now_s) for host in routers.alive}
        self._record_fraction(len(routers.alive) / max(1, routers.known_count), now_s)
        settled = frozenset(
            host
            for host, since_s in self._since_s.items()
            if now_s - since_s >= (OWN_SETTLED_S if host == self._own_host else SETTLED_S)
        )
        if settled == self.candidates:
            return False
        last_s = self._changes[-1][0] if self._changes else float("-inf")
        if settled > self.candidates and now_s - last_s < ADD_INTERVAL_S:
            return False
        self.candidates = settled
        self._record_change(now_s, settled)
        return True

    def record_pause(self, now_s: float) -> None:
        """Count a pause of this process as a change: others may have owned its accounts."""
        self._record_change(now_s, frozenset())
        self._record_change(now_s, self.candidates)

    def owner(self, account: str) -> str | None:
        """Return the host that owns the quota of an account, ``None`` if it is not known."""
        return _owner(account, self.candidates)

    def owns(self, account: str, now_s: float) -> bool:
        """Return whether this router owns an account for a peer that takes it for the owner.

        A peer may count this router before it counts itself; without this, there were no owner
        from then on until it does.
        """
        if self._own_host in self.candidates or now_s - self._started_s < SETTLED_S:
            return self.owner(account) == self._own_host
        return _owner(account, self.candidates | {self._own_host}) == self._own_host

    def takeovers(self, account: str, window_s: float, now_s: float) -> tuple[int, float]:
        """Return how often the owner of an account has changed in a window, and when last."""
        previous: str | None = None
        count, last_s = 0, now_s
        for changed_s, candidates in self._changes:
            owner = _owner(account, candidates)
            if owner not in (previous, None) and now_s - changed_s < window_s:
                count, last_s = count + 1, changed_s
            previous = owner
        return count, last_s

    def takeovers_here(self, account: str, asked: int, window_s: float, now_s: float) -> int:
        """Return the changes of an account's owner for the start level of a new bucket.

        :param asked: changes that the asking router knows, which may have run for longer
        """
        count, _ = self.takeovers(account, window_s, now_s)
        if self._own_host not in self.candidates:
            count = max(1, count)
        return max(count, asked) if count else 0

    def earns_from_s(self, account: str, window_s: float, now_s: float) -> float:
        """Return when the bucket of a new owner begins to fill."""
        moved_s = now_s
        if self._own_host in self.candidates:
            _, moved_s = self.takeovers(account, window_s, now_s)
        return moved_s + DISAGREEMENT_S

    def scale(self, limits: QuotaLimits, now_s: float) -> float:
        """Return the part of the quota that an owner among these routers may issue.

        It is in proportion to the routers that it reaches, so that the parts of separated groups
        add up to the bound. While the others may not know yet that they are separated, a group
        without a majority uses only the reserve. A part shrinks at once and grows late.
        """
        if not self._fractions:
            return 1.0
        while len(self._fractions) > 1 and now_s - self._fractions[1][0] >= GROWTH_DELAY_S:
            self._fractions.popleft()
        fraction = min(fraction for _, fraction in self._fractions)
        since_s, latest = self._fractions[-1]
        if latest <= MAJORITY and now_s - since_s < DETECTION_S:
            return min(1.0, fraction * limits.allowance / limits.quota)
        return min(1.0, fraction * (limits.quota + limits.allowance) / limits.quota)

    def _record_fraction(self, fraction: float, now_s: float) -> None:
        """Record which part of the routers is reached, once membership is complete."""
        if now_s - self._started_s < SETTLED_S:
            return
        if not self._fractions or self._fractions[-1][1] != fraction:
            self._fractions.append((now_s, fraction))

    def _record_change(self, now_s: float, candidates: frozenset[str]) -> None:
        """Record a change, and keep the last one before the window."""
        self._changes.append((now_s, candidates))
        while len(self._changes) > 1 and now_s - self._changes[1][0] >= self._window_s:
            self._changes.popleft()


def _owner(account: str, candidates: frozenset[str]) -> str | None:
    return max(candidates, key=lambda host: (rendezvous_weight(host, account), host), default=None)


def start_level(limits: QuotaLimits, takeovers: int) -> float:
    """Return the level with which an owner starts after some changes of owners in a window.

    An earlier owner may have granted the whole burst. Each further owner starts with half of the
    level, so that the levels of any number of new owners have a bounded sum.
    """
    return limits.takeover_level * LEVEL_RATIO ** (takeovers - 1)
