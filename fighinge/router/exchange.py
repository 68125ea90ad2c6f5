"""Requests of callers, answers to them, and what passes between a router and backend servers."""

from __future__ import annotations

from typing import Protocol

import msgspec

from fighinge.errors import Failure

Headers = tuple[tuple[str, str], ...]


class CallerRequest(msgspec.Struct, frozen=True):
    """A request as a caller sent it.

    ``target`` is the path with the query string, byte for byte. ``caller_timeout_s`` is how long
    the caller waits, counted from ``received_s``; ``rtt_s`` is its round-trip time to the router.
    ``headers`` excludes the hop-by-hop headers and those that the router sets.
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


class Answer(msgspec.Struct, frozen=True):
    """An answer to a caller."""

    status: int
    headers: Headers
    body: bytes


class BackendRequest(msgspec.Struct, frozen=True):
    """A request as a backend server gets it."""

    method: str
    target: str
    headers: Headers
    body: bytes


class ReportedLoad(msgspec.Struct, frozen=True):
    """The load that a backend server told with a response."""

    running: int
    waiting: int
    slots: int


class RawResponse(msgspec.Struct, frozen=True):
    """An HTTP response, complete."""

    status: int
    headers: Headers
    body: bytes


class BackendResponse(msgspec.Struct, frozen=True):
    """A backend server's response, read for what a router decides by.

    ``signature`` marks an answer as the backend server's own. ``was_not_run`` is the server's
    promise that it did not run the request; ``is_other_instance`` that another process has the
    address now. ``keep_alive_s`` is how long the server keeps an idle connection, if it says so.
    """

    status: int
    headers: Headers
    body: bytes
    signature: str
    was_not_run: bool
    is_other_instance: bool
    load: ReportedLoad | None
    cold_left_s: float | None

    @property
    def is_success(self) -> bool:
        """Return whether this is a complete answer of a backend server."""
        return 200 <= self.status < 300 and bool(self.signature)


class MergedAnswer(msgspec.Struct, frozen=True):
    """The records of the shards that are in, with the signatures of their parts."""

    signatures: tuple[str, ...]
    missing_shards: int
    body: bytes


class Codec(Protocol):
    """Translates between the router's types and the words of callers and backend servers."""

    def decode_request(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        received_s: float,
        rtt_s: float = 0.0,
    ) -> CallerRequest | Failure:
        """Return what a caller asks."""

    def encode_request(
        self, request: CallerRequest, instance_id: str, remaining_s: float
    ) -> BackendRequest:
        """Return the request for one run of a backend server.

        :param remaining_s: how long the server may work on it
        """

    def decode_response(
        self, request: CallerRequest, response: RawResponse
    ) -> BackendResponse | Failure:
        """Return a backend server's response, or why it answers another request."""

    def encode_merged(self, answer: MergedAnswer) -> Answer:
        """Return a caller's answer from several shards."""

    def encode_forwarded(self, response: BackendResponse) -> Answer:
        """Return a caller's answer that is one backend server's response, unchanged."""

    def encode_failure(self, failure: Failure, retry_after_s: float | None) -> Answer:
        """Return a caller's answer that tells a failure of the closed list."""
