"""This router's share of a rate at which all routers together may call a backend server.

Each router gets grants at its fraction of the rate. Two properties keep the sum of all routers near
the rate at any moment: a grant that is not used soon expires, so that routers without requests do
not save up a burst; and the first grants of the routers are spread over one interval, so that
routers whose interval is long do not call at the same time.
"""

from __future__ import annotations

import math

from fighinge.ownership import rendezvous_weight

GRANT_TTL_S = 1.0  # all unused grants of this time may be used at once
MIN_TOTAL_PER_S = 0.5  # a server that takes nothing is still asked whether this has changed
HEAD_START_S = 0.25  # in which a grant is kept for the most urgent requests
OPEN_GRANT_INTERVAL = 3  # one grant in three has no head start, so that no request starves
MAX_WAIT_S = 5.0  # callers that wait longer give up


class RouterShare:
    """This router's fraction of the limits of all routers, and its place among them.

    ``rate_fraction`` applies to rates that servers name. Routers that are cut off from the servers
    need no part of them; connections and the retry budget stay divided among all, since what a
    router has opened or spent does not return at once.
    """

    __slots__ = ("_own_address", "fraction", "rate_fraction", "routers")

    def __init__(self, own_address: str) -> None:
        self._own_address = own_address
        self.fraction = 1.0
        self.rate_fraction = 1.0
        self.routers = frozenset({own_address})

    def phase(self, key: str) -> float:
        """Return this router's place among all routers, evenly spread between 0 and 1.

        :param key: the order of the routers differs between keys
        """
        own_weight = rendezvous_weight(self._own_address, key)
        heavier = sum(rendezvous_weight(router, key) > own_weight for router in self.routers)
        return (heavier + 0.5) / max(1, len(self.routers))


class RateShare:
    """Grants for calls to one server, at this router's fraction of a rate.

    ``_accrued`` counts all grants so far and the fraction of the next one. Grants below ``_used``
    were used or have expired; callers were told to return for those below ``_promised``.
    """

    __slots__ = ("_accrued", "_promised", "_share", "_total_per_s", "_updated_s", "_used")

    def __init__(self, share: RouterShare, key: str, total_per_s: float, now_s: float) -> None:
        self._share = share
        self._total_per_s = total_per_s
        self._accrued = share.phase(key)
        self._used = 0
        self._promised = 0
        self._updated_s = now_s

    def set_total(self, total_per_s: float, now_s: float) -> None:
        """Set the rate of all routers together, in calls per second."""
        self._advance(now_s)
        self._total_per_s = total_per_s

    def has_grant(self, now_s: float, *, is_urgent: bool = True) -> bool:
        """Return whether a call may be sent now.

        :param is_urgent: whether no more urgent requests want the grant
        """
        self._advance(now_s)
        return self._accrued >= self._used + 1 and (is_urgent or self._is_open())

    def use_grant(self, now_s: float) -> None:
        """Use the oldest grant for a call; without one, the next grant is used in advance."""
        self._advance(now_s)
        self._used += 1

    def wait_s(self, now_s: float) -> float:
        """Return the time until the next grant that is not promised, in seconds."""
        self._advance(now_s)
        return min(MAX_WAIT_S, (self._next_unpromised() - self._accrued) / self._per_s)

    def promise(self, now_s: float) -> None:
        """Record that a caller was told to return after :meth:`wait_s`."""
        if self.wait_s(now_s) < MAX_WAIT_S:
            self._promised = self._next_unpromised()

    @property
    def _per_s(self) -> float:
        return max(MIN_TOTAL_PER_S, self._total_per_s) * self._share.rate_fraction

    def _next_unpromised(self) -> int:
        return max(self._used, self._promised, math.floor(self._accrued)) + 1

    def _is_open(self) -> bool:
        """Return whether the oldest grant is for any request."""
        age_s = (self._accrued - self._used - 1) / self._per_s
        return self._used % OPEN_GRANT_INTERVAL == 0 or age_s >= HEAD_START_S

    def _advance(self, now_s: float) -> None:
        """Add the grants since the last update, and drop those that have expired."""
        self._accrued += self._per_s * max(0.0, now_s - self._updated_s)
        self._updated_s = now_s
        expired = math.floor(self._accrued - self._per_s * GRANT_TTL_S)
        self._used = max(self._used, expired)
