"""The interface to backend servers and the results of calls to them."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Protocol

import msgspec

if TYPE_CHECKING:
    from fighinge.messages import BackendAnswer, BackendRefusal, BackendRequest, ServerState


class CallFault(enum.Enum):
    """Why a call to a backend server got no answer."""

    NOT_CONNECTED = "not_connected"
    CONNECTION_LIMIT = "connection_limit"
    CONNECTION_LOST = "connection_lost"
    TIMEOUT = "timeout"
    BAD_ANSWER = "bad_answer"


NOT_SENT_FAULTS = frozenset({CallFault.NOT_CONNECTED, CallFault.CONNECTION_LIMIT})


class CallFailure(msgspec.Struct, frozen=True):
    """The result of a call without an answer; see :func:`proves_not_sent`."""

    fault: CallFault
    reason: str


def proves_not_sent(result: object) -> bool:
    """Return whether the result of a call proves that no byte of the request was sent.

    Only a connection that was never established, or none being free, proves it; a refusal, a
    timeout or a lost connection does not. No other code may draw this conclusion.
    """
    return isinstance(result, CallFailure) and result.fault in NOT_SENT_FAULTS


class Address(msgspec.Struct, frozen=True):
    """The host and port that a backend server listens on."""

    host: str
    port: int


class BackendClient(Protocol):
    """A client of backend servers that sends at most one request for each call: no resends."""

    async def search(
        self, address: Address, request: BackendRequest, timeout_s: float
    ) -> BackendAnswer | BackendRefusal | CallFailure:
        """Run a request on a backend server."""

    async def cancel(self, address: Address, call_id: str) -> None:
        """Ask a backend server to stop running a call."""

    async def state(self, address: Address, timeout_s: float) -> ServerState | CallFailure:
        """Ask a backend server for its load and the index versions that it holds."""
