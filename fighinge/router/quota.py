"""Quotas of client accounts: limits, the owner's token bucket, and allowances without an owner.

The load addressed is an account that sends several times its usual rate through any of the routers,
while accounts within their quotas must not be refused. See docs/design/account-quotas.md.
"""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from fighinge.router.model import ClientAccount

# Parts of the reserve, which is what the bound allows beyond the quota. An eighth is left for the
# time in which routers do not agree on the owner.
AHEAD_PART = 1 / 8  # tokens above the burst, which are granted ahead of requests
LEASE_PART = 1 / 8  # requests that use a grant later than it was issued
TAKEOVER_PART = 1 / 4  # level with which the first new owner of a window starts
ALLOWANCE_PART = 5 / 8  # requests that are admitted without the owner, and partitioned routers

MAX_LEASE_S = 2.0  # a grant ahead is of use to an account with a request in this time
MIN_CAPACITY = 1.0  # a bucket below one request would never admit any


class QuotaBounds(msgspec.Struct, frozen=True):
    """What may run beyond the quotas: in any ``window_s``, ``overage`` of them plus ``slack``."""

    window_s: float
    overage: float
    slack: float


class QuotaLimits(msgspec.Struct, frozen=True):
    """The limits of an account, with ``reserve`` requests a window beyond its quota."""

    rate_per_s: float
    burst: float
    window_s: float
    reserve: float

    @classmethod
    def from_account(cls, account: ClientAccount, bounds: QuotaBounds) -> QuotaLimits:
        """Return the limits of an account with a rate above 0."""
        quota = account.rate_per_s * bounds.window_s + account.burst
        reserve = bounds.overage * quota + bounds.slack
        return cls(account.rate_per_s, account.burst, bounds.window_s, reserve)

    @property
    def quota(self) -> float:
        """Return how many requests the quota allows in a window."""
        return self.rate_per_s * self.window_s + self.burst

    @property
    def lease_s(self) -> float:
        """Return how long a grant that is not used yet is valid, in seconds."""
        return min(MAX_LEASE_S, LEASE_PART * self.reserve / self.rate_per_s)

    @property
    def takeover_level(self) -> float:
        """Return the level with which the first new owner of a window starts."""
        return TAKEOVER_PART * self.reserve

    @property
    def allowance(self) -> float:
        """Return how many requests a window all routers may admit without the owner."""
        return ALLOWANCE_PART * self.reserve

    def scaled(self, scale: float) -> QuotaLimits:
        """Return the limits of an owner that may issue only a part of the quota."""
        if scale >= 1.0:
            return self
        return QuotaLimits(
            self.rate_per_s * scale, self.burst * scale, self.window_s, self.reserve * scale
        )


class Decision(msgspec.Struct, frozen=True, array_like=True):
    """The answer of a bucket to a number of requests.

    ``granted`` of them are admitted, and ``ahead`` further ones may be within the lease. The others
    have room after ``wait_s``, and then one every ``spacing_s``.
    """

    granted: int
    ahead: int = 0
    wait_s: float = 0.0
    spacing_s: float = 0.0
    level: float = 0.0


class TokenBucket:
    """The requests that an owner may still grant.

    The bucket holds more than the burst. Only this excess is granted ahead of requests, so that
    unused grants never cost a request within the quota.
    """

    __slots__ = ("_level", "_limits", "_next_return_s", "_updated_s")

    def __init__(self, limits: QuotaLimits, now_s: float, level: float | None = None) -> None:
        """Initialise a bucket, which is full without a level.

        :param now_s: time from which it fills
        """
        self._limits = limits
        self._level = self._capacity if level is None else min(level, self._capacity)
        self._updated_s = now_s
        self._next_return_s = now_s

    @property
    def _capacity(self) -> float:
        return max(MIN_CAPACITY, self._limits.burst) + AHEAD_PART * self._limits.reserve

    def set_limits(self, limits: QuotaLimits, now_s: float) -> None:
        """Replace the limits; the level never rises by it."""
        if limits != self._limits:
            self._refill(now_s)
            self._limits = limits
            self._level = min(self._level, self._capacity)

    def lower(self, amount: float) -> None:
        """Take back a part of the level with which the bucket has started."""
        self._level -= amount

    def take(self, wanted: int, ahead: int, now_s: float) -> Decision:
        """Grant as many requests as there is room for.

        :param wanted: number of requests that wait
        :param ahead: number of further requests that are expected within the lease
        """
        self._refill(now_s)
        granted = max(0, min(wanted, int(self._level)))
        self._level -= granted
        if granted < wanted:
            wait_s, spacing_s = self._reserve_returns(wanted - granted, now_s)
            return Decision(granted, 0, wait_s, spacing_s, self._level)
        excess = self._level - max(MIN_CAPACITY, self._limits.burst)
        extra = max(0, min(ahead, int(excess)))
        self._level -= extra
        return Decision(granted, extra, level=self._level)

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._level = min(self._capacity, self._level + elapsed_s * self._limits.rate_per_s)
        self._updated_s = max(self._updated_s, now_s)

    def _reserve_returns(self, count: int, now_s: float) -> tuple[float, float]:
        """Return when the first of the refused requests has room, and the time between them.

        Each refused caller gets a later time than the one before, one for each request that the
        rate allows. A flood fills a window with them, and then starts anew at its begin.
        """
        spacing_s = 1.0 / self._limits.rate_per_s
        first_s = now_s + max(0.0, 1.0 - self._level) * spacing_s
        due_s = max(first_s, self._next_return_s)
        if due_s > now_s + self._limits.window_s:
            due_s = first_s
        self._next_return_s = due_s + count * spacing_s
        return due_s - now_s, spacing_s


class LocalAllowance:
    """The requests of an account that this router has admitted without the owner in a window."""

    __slots__ = ("_admitted_s",)

    def __init__(self) -> None:
        self._admitted_s: deque[float] = deque()

    def use(self, allowance: float, window_s: float, now_s: float) -> float | None:
        """Admit a request, and return ``None``, or else the seconds until there is room.

        :param allowance: this router's share of the requests a window, which may be below 1
        """
        while self._admitted_s and now_s - self._admitted_s[0] >= window_s:
            self._admitted_s.popleft()
        if len(self._admitted_s) < int(allowance):
            self._admitted_s.append(now_s)
            return None
        if not self._admitted_s:
            return window_s
        return self._admitted_s[0] + window_s - now_s


class Lease:
    """Grants of the owner for requests that have not arrived yet, and the demand for them."""

    __slots__ = ("_arrivals", "_count", "_expires_s", "_rate_per_s", "_since_s")

    def __init__(self, now_s: float) -> None:
        self._count = 0
        self._expires_s = now_s
        self._since_s = now_s
        self._arrivals = 0
        self._rate_per_s = 0.0

    def record_arrival(self, now_s: float) -> None:
        """Record a request, for the estimate of the demand."""
        if now_s - self._since_s >= 1.0:
            self._rate_per_s = self._arrivals / (now_s - self._since_s)
            self._arrivals, self._since_s = 0, now_s
        self._arrivals += 1

    def expected(self, lease_s: float) -> int:
        """Return how many requests are expected within the time of a lease."""
        return math.ceil(max(self._rate_per_s, self._arrivals) * lease_s)

    def add(self, count: int, expires_s: float) -> None:
        """Replace the lease; what is left of an earlier one ends with it."""
        if count:
            self._count, self._expires_s = count, expires_s

    def use(self, now_s: float) -> bool:
        """Use a grant, and return whether there was one."""
        if self._count and now_s < self._expires_s:
            self._count -= 1
            return True
        return False

    def clear(self) -> None:
        """Drop all grants."""
        self._count = 0
