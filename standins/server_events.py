"""What the stand-in backend servers of a fleet record for the checks of the platform's rules."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from standins.shard_server import ShardServer


class Arrival(msgspec.Struct, frozen=True):
    """A request that reached a backend server, which may have rejected it.

    ``router`` is the number of the router that sent it, ``None`` if another process did. It may
    differ from the one that the caller used, as routers hand requests to each other.
    """

    request_id: str
    instance_id: str
    started_ms: int
    target: str
    at_s: float
    router: int | None


class Statement(msgspec.Struct, frozen=True):
    """What a backend server said of itself in its response to a request.

    ``duration_s`` is the time for which it is valid, counted from ``at_s``; ``router`` is the one
    that sent the request, as in :class:`Arrival`.
    """

    request_id: str
    instance_id: str
    started_ms: int
    at_s: float
    duration_s: float
    router: int | None


class NamedLimit(msgspec.Struct, frozen=True):
    """The rate that a backend server named in a response, ``None`` if it named none."""

    request_id: str
    instance_id: str
    started_ms: int
    at_s: float
    max_requests_per_s: float | None


class ServerEnd(msgspec.Struct, frozen=True):
    """The end of a backend server's process under a request."""

    instance_id: str
    started_ms: int
    target: str
    at_s: float


class ServerEvents:
    """The events of all backend servers of a fleet, and the targets that end them.

    A server runs such a request for ``crash_delay_s`` before it ends. ``on_end`` and ``on_restart``
    are called with each server that ends or has started again. ``routers`` are the numbers of the
    fleet's routers by their addresses.
    """

    __slots__ = (
        "arrivals",
        "crash_delay_s",
        "crash_targets",
        "ends",
        "leavings",
        "limits",
        "on_end",
        "on_restart",
        "refusals",
        "routers",
    )

    def __init__(
        self,
        on_restart: Callable[[ShardServer], Awaitable[object]] | None = None,
        on_end: Callable[[ShardServer], object] | None = None,
    ) -> None:
        self.arrivals: list[Arrival] = []
        self.leavings: list[Statement] = []
        self.limits: list[NamedLimit] = []
        self.refusals: list[Statement] = []
        self.ends: list[ServerEnd] = []
        self.crash_targets: set[str] = set()
        self.crash_delay_s = 0.0
        self.routers: dict[str, int] = {}
        self.on_restart = on_restart
        self.on_end = on_end
