"""Messages between callers, the router and backend servers, and the codec for them."""

from __future__ import annotations

from typing import Protocol

import msgspec

from fighinge.aggregator.base import CallFailure
from fighinge.errors import Failure

Headers = tuple[tuple[str, str], ...]


class CallerRequest(msgspec.Struct, frozen=True):
    """A request as a caller sent it.

    ``target`` is the path with the query string, byte for byte. ``caller_timeout_s`` is how long
    the caller waits, counted from ``received_s``; ``rtt_s`` is its round-trip time to the router.
    ``headers`` excludes the hop-by-hop headers and those that the router sets.

    ``is_forwarded`` is set if another router handed the request on, which no header can do;
    ``reached_servers`` are the runs of backend servers that may have run it there, by the names of
    their services and one for each call, ``lost_peers`` is the number of further routers that may
    have had it run, and ``is_suspect`` says that it may crash servers.

    ``credential`` is the key that the caller presented, until its client account is known;
    ``account`` is the name of that account, empty without one.
    """

    request_id: str
    method: str
    host: str
    path: str
    target: str
    headers: Headers
    body: bytes
    caller_timeout_s: float
    received_s: float
    rtt_s: float = 0.0
    is_forwarded: bool = False
    reached_servers: dict[str, tuple[str, ...]] = {}
    lost_peers: int = 0
    is_suspect: bool = False
    credential: str = ""
    account: str = ""


class Answer(msgspec.Struct, frozen=True):
    """A response to a caller.

    ``is_not_run`` guarantees that the request did not run. ``leaving_servers`` tells a router that
    forwarded the request which runs of the servers it was sent to have said that they leave.
    """

    status: int
    headers: Headers
    body: bytes
    is_not_run: bool = False
    leaving_servers: tuple[str, ...] = ()


class BackendRequest(msgspec.Struct, frozen=True):
    """A request as it is sent to a backend server.

    ``echoed_header`` names a header whose value the response repeats, if it has that header; with
    another value, it belongs to another request.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    echoed_header: tuple[str, str] | None = None


class ReportedLoad(msgspec.Struct, frozen=True):
    """The load that a backend server reported with a response.

    ``slowness_ratio`` is how long work takes there now in multiples of the usual, if it says so.
    """

    running: int
    waiting: int
    slots: int
    slowness_ratio: float | None = None


class RawResponse(msgspec.Struct, frozen=True):
    """A complete HTTP response."""

    status: int
    headers: Headers
    body: bytes


class InterruptedResponse(CallFailure, frozen=True):
    """A failed call whose response broke off after some or all of its headers."""

    status: int
    headers: Headers


class ServerStatement(msgspec.Struct, frozen=True):
    """What a backend server says of itself in a response, whatever becomes of the response.

    ``is_leaving`` is final for this run of the server's process. ``refusal_s`` is the time, in
    seconds after the response, for which it wants no requests from this router.
    ``max_requests_per_s`` is the rate that it takes from all routers together, if it names one;
    ``unreadable_limit`` is what it named instead of a rate.
    """

    is_leaving: bool = False
    refusal_s: float | None = None
    max_requests_per_s: float | None = None
    unreadable_limit: str = ""


class BackendResponse(msgspec.Struct, frozen=True):
    """A backend server's response, with the header values that routing decisions use.

    ``signature`` proves that the backend server itself produced the answer. ``was_not_run`` is the
    server's guarantee that it did not run the request; ``is_other_instance`` means that another
    process listens at the address. ``cold_left_s`` is the remaining cold time, if reported.
    ``unreadable_load`` is what it stated instead of a load.
    """

    status: int
    headers: Headers
    body: bytes
    signature: str
    was_not_run: bool
    is_other_instance: bool
    load: ReportedLoad | None
    cold_left_s: float | None
    unreadable_load: str = ""

    @property
    def is_success(self) -> bool:
        """Return whether this is a successful answer signed by a backend server."""
        return 200 <= self.status < 300 and bool(self.signature)


class MergedAnswer(msgspec.Struct, frozen=True):
    """The merged records of the shards that answered, with the signatures of their answers."""

    signatures: tuple[str, ...]
    missing_shards: int
    body: bytes


class Codec(Protocol):
    """Translates between the router's types and the HTTP messages of the platform."""

    def decode_request(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        received_s: float,
        rtt_s: float = 0.0,
    ) -> CallerRequest | Failure:
        """Decode a caller's request, or return why it is invalid."""

    def with_account(self, request: CallerRequest, account_name: str) -> CallerRequest:
        """Return a request of a client account, without its key.

        :param account_name: replaces what the caller said of its account; empty for no account
        """

    def encode_request(
        self, request: CallerRequest, instance_id: str, remaining_s: float
    ) -> BackendRequest:
        """Encode a request for one instance of a backend server.

        :param remaining_s: time that the server may spend on it, in seconds
        """

    def decode_response(
        self, request: CallerRequest, response: RawResponse
    ) -> BackendResponse | Failure:
        """Decode a backend server's response, or return why it does not match the request."""

    def decode_statement(self, response: RawResponse | InterruptedResponse) -> ServerStatement:
        """Decode what the backend server that sent a response says of itself."""

    def encode_merged(self, answer: MergedAnswer) -> Answer:
        """Encode an answer that was merged from several shards."""

    def encode_forwarded(self, response: BackendResponse) -> Answer:
        """Encode a backend server's response that is forwarded unchanged."""

    def encode_failure(self, failure: Failure, retry_after_s: float | None) -> Answer:
        """Encode a failure, with a ``Retry-After`` in seconds if there is one."""
