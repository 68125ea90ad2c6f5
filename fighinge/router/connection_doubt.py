"""Whether a backend server accepts connections, as far as this router's calls show.

Made for servers that are unreachable for seconds while others of their shard are slow: each request
that tries one of them first loses the time of a connection.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fighinge.router.backend import Backend

# A busy server accepts a connection only when a slot is free, and a second one elsewhere takes a
# slot there too; one that cannot be reached accepts none within any time.
SLOW_CONNECTION_S = 0.07
PENDING_S = 0.4  # by then the connection has timed out, which is recorded as a failure


class ConnectionDoubt:
    """Follows slow, failed and established connections to one backend server."""

    __slots__ = ("_has_failed", "_slow_until_s", "is_on_trial")

    def __init__(self) -> None:
        self._has_failed = False
        self._slow_until_s = float("-inf")
        self.is_on_trial = False

    def exists(self, now_s: float) -> bool:
        """Return whether the server may not accept a connection."""
        return self._has_failed or now_s < self._slow_until_s

    def needs_trial(self) -> bool:
        """Return whether a connection has failed, none has been established since or is tried."""
        return self._has_failed and not self.is_on_trial

    def record_slow(self, now_s: float) -> None:
        """Record that a connection is taking longer than usual."""
        self._slow_until_s = now_s + PENDING_S

    def record_failed(self) -> None:
        """Record that a connection was refused or has timed out."""
        self._has_failed = True

    def record_established(self) -> None:
        """Record that the server has accepted a connection."""
        self._has_failed = False
        self._slow_until_s = float("-inf")


def prefer_connected(backends: list[Backend], now_s: float, *, is_urgent: bool) -> list[Backend]:
    """Return the servers that accept connections, or all if none of these can be used.

    :param is_urgent: whether no more urgent requests want what a limit has left
    """
    connected = [backend for backend in backends if not backend.connection_doubt.exists(now_s)]
    if any(backend.is_usable(now_s, is_urgent=is_urgent) for backend in connected):
        return connected
    return backends


def servers_to_try(backends: Iterable[Backend], now_s: float) -> list[Backend]:
    """Return the servers in service to which a connection should be tried again."""
    return [
        backend
        for backend in backends
        if backend.connection_doubt.needs_trial() and backend.is_in_service(now_s)
    ]
