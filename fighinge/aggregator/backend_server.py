"""One backend server as its owner knows it: slots, warmth, latency and identity."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from fighinge.aggregator.base import Address, CallFailure, CallFault
from fighinge.messages import BackendAnswer, BackendRefusal, ServerState

if TYPE_CHECKING:
    from fighinge.model import BackendServerEntry

LATENCY_WEIGHT = 0.1
INITIAL_LATENCY_S = 0.02
COLD_WINDOW_CALLS = 4
UNREACHABLE_PAUSE_S = 0.5


class Warmth(enum.Enum):
    """Whether a backend server bears its full load."""

    COLD = "cold"
    WARM = "warm"


class BackendServer:
    """A backend server's limits and condition.

    A cold server takes one request at a time; the allowance doubles after each clean window
    and falls back to one at any sign of distress.
    """

    __slots__ = (
        "_allowed",
        "_clean_calls",
        "_leaving",
        "_unreachable_until_s",
        "address",
        "connection_limit",
        "in_flight",
        "index_versions",
        "latency_s",
        "name",
        "process_id",
        "slots",
        "warmth",
        "zone",
    )

    def __init__(
        self, name: str, address: Address, zone: str, slots: int, connection_limit: int
    ) -> None:
        self.name = name
        self.address = address
        self.zone = zone
        self.slots = slots
        self.connection_limit = connection_limit
        self.in_flight = 0
        self.latency_s = INITIAL_LATENCY_S
        self.process_id = ""
        self.index_versions: dict[str, list[int]] = {}
        self.warmth = Warmth.COLD
        self._allowed = 1
        self._clean_calls = 0
        self._leaving = False
        self._unreachable_until_s = 0.0

    @classmethod
    def from_config(cls, name: str, entry: BackendServerEntry) -> BackendServer:
        """Return a server as configured; it is cold until its own answers say otherwise."""
        server = cls(
            name, Address(entry.host, entry.port), entry.zone, entry.slots, entry.connection_limit
        )
        server._leaving = entry.leaving
        return server

    def allowance(self) -> int:
        """Return how many calls may run at once."""
        return min(self._allowed, self.slots)

    def accepts(self, now_s: float) -> bool:
        """Return whether a call may start now."""
        if self._leaving or now_s < self._unreachable_until_s:
            return False
        return self.in_flight < self.allowance()

    def serves(self, collection: str, index_version: int) -> bool:
        """Return whether the server is thought to hold an index version."""
        return index_version in self.index_versions.get(collection, ())

    def started(self) -> None:
        """Count a call that starts."""
        self.in_flight += 1

    def finished(
        self, result: BackendAnswer | BackendRefusal | CallFailure, took_s: float, now_s: float
    ) -> None:
        """Learn from the end of a call."""
        self.in_flight -= 1
        if isinstance(result, CallFailure):
            self._distressed()
            if result.fault is not CallFault.TIMEOUT:
                self._unreachable_until_s = now_s + UNREACHABLE_PAUSE_S
            return
        self._identify(result.process_id)
        if result.state is not None:
            self.reported(result.state)
        if isinstance(result, BackendRefusal):
            self._distressed()
            return
        self.latency_s += LATENCY_WEIGHT * (took_s - self.latency_s)
        self._clean_call()

    def reported(self, state: ServerState) -> None:
        """Take over what a state report tells."""
        self._identify(state.process_id)
        self._leaving = self._leaving or state.state == "draining"
        if state.state == "cold" and self.warmth is Warmth.WARM:
            self._turn_cold()
        self.index_versions = state.index_versions

    def score(self) -> float:
        """Return the expected cost of one more call; the lowest is the best choice."""
        return (self.in_flight + 1) * self.latency_s

    def _identify(self, process_id: str) -> None:
        if process_id == self.process_id:
            return
        if self.process_id:
            self._leaving = False
        self.process_id = process_id
        self._turn_cold()

    def _turn_cold(self) -> None:
        self.warmth = Warmth.COLD
        self._allowed = 1
        self._clean_calls = 0

    def _distressed(self) -> None:
        if self.warmth is Warmth.COLD:
            self._turn_cold()
        else:
            self._allowed = max(1, self._allowed // 2)

    def _clean_call(self) -> None:
        self._clean_calls += 1
        if self._clean_calls < COLD_WINDOW_CALLS:
            return
        self._clean_calls = 0
        self._allowed = min(self._allowed * 2, self.slots)
        if self._allowed == self.slots:
            self.warmth = Warmth.WARM
