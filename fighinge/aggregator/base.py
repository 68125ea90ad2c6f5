"""The interface behind which backend servers stand."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Protocol

import msgspec

if TYPE_CHECKING:
    from fighinge.messages import BackendAnswer, BackendRefusal, BackendRequest, ServerState


class CallFault(enum.Enum):
    """How a call to a backend server went wrong on the wire."""

    NOT_CONNECTED = "not_connected"
    CONNECTION_LIMIT = "connection_limit"
    CONNECTION_LOST = "connection_lost"
    TIMEOUT = "timeout"
    BAD_ANSWER = "bad_answer"


NOT_SENT_FAULTS = frozenset({CallFault.NOT_CONNECTED, CallFault.CONNECTION_LIMIT})


class CallFailure(msgspec.Struct, frozen=True):
    """A sentinel for a call without an answer; see :func:`proves_not_sent`."""

    fault: CallFault
    reason: str


def proves_not_sent(result: object) -> bool:
    """Return whether the end of a call proves that no byte of the request was sent.

    This is the only place that draws this conclusion: a connection was never made, or none was
    free. No refusal, timeout or lost connection proves it.
    """
    return isinstance(result, CallFailure) and result.fault in NOT_SENT_FAULTS


class Address(msgspec.Struct, frozen=True):
    """Where a backend server listens."""

    host: str
    port: int


class BackendClient(Protocol):
    """Speaks to backend servers; one call is one request on the wire, never more."""

    async def search(
        self, address: Address, request: BackendRequest, timeout_s: float
    ) -> BackendAnswer | BackendRefusal | CallFailure:
        """Run a request on a backend server."""

    async def cancel(self, address: Address, call_id: str) -> None:
        """Ask a backend server to stop running a call."""

    async def state(self, address: Address, timeout_s: float) -> ServerState | CallFailure:
        """Ask a backend server for its load and the index versions that it holds."""
