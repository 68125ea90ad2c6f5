"""The backend servers that may have received a request, here or through another router."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fighinge.router.backend import Backend


class ReachedServers:
    """Counts the calls of one request to a service, and tells which servers may be called next.

    Servers are known by the names of their runs. ``calls_sent`` counts the calls of this router.
    ``earlier_calls`` are those of the router that handed the request on, each by its server.
    """

    __slots__ = (
        "_failed",
        "_may_have_run",
        "_reached",
        "_tried",
        "calls_sent",
        "earlier_calls",
    )

    def __init__(self, earlier_calls: Iterable[str] = ()) -> None:
        """Start with the servers that another router has called.

        :param earlier_calls: the run of the server that each of its calls may have reached
        """
        self.earlier_calls = tuple(earlier_calls)
        self._tried: set[str] = set()
        self._reached: Counter[str] = Counter()
        self._may_have_run: Counter[str] = Counter()
        self._failed = set(self.earlier_calls)  # servers whose answer was lost or invalid
        self.calls_sent = 0

    @property
    def total_calls(self) -> int:
        """Return the number of calls that may have delivered the request."""
        return self.calls_sent + len(self.earlier_calls)

    @property
    def may_have_run(self) -> bool:
        """Return whether a server may have run the request for this router."""
        return any(calls > 0 for calls in self._may_have_run.values())

    def possible_runs(self) -> tuple[str, ...]:
        """Return the server of each call of this router that it may have run."""
        return tuple(self._may_have_run.elements())

    def candidates(self, backends: Iterable[Backend], max_servers: int) -> list[Backend]:
        """Return the servers that may be called next.

        These are the ones that this router has not tried or, once ``max_servers`` have received the
        request, those whose answer was lost: the limit applies to servers and not to calls, and a
        server that loses one answer may well return the next.
        """
        if not self._reached and not self.earlier_calls:
            return list(backends)
        reached = {name for name, calls in self._reached.items() if calls > 0}
        if len(reached.union(self.earlier_calls)) >= max_servers:
            return [backend for backend in backends if backend.record.run_name in self._failed]
        return [backend for backend in backends if backend.record.run_name not in self._tried]

    def record_call(self, backend: Backend) -> None:
        """Count a call that is about to be sent."""
        name = backend.record.run_name
        self._tried.add(name)
        self._failed.discard(name)
        self._reached[name] += 1
        self._may_have_run[name] += 1
        self.calls_sent += 1

    def record_not_sent(self, backend: Backend) -> None:
        """Take back a call that has certainly not delivered the request."""
        name = backend.record.run_name
        self._reached[name] -= 1
        self._may_have_run[name] -= 1
        self.calls_sent -= 1

    def record_not_run(self, backend: Backend) -> None:
        """Record that a server has refused to run the request."""
        self._may_have_run[backend.record.run_name] -= 1

    def record_failed(self, backend: Backend) -> None:
        """Record that a server's answer was lost or invalid."""
        self._failed.add(backend.record.run_name)
