"""Translates HTTP headers of the platform's callers and backend servers."""

from __future__ import annotations

import math
import re

import msgspec

from fighinge.errors import ERROR_PROPERTIES, ErrorKind, Failure
from fighinge.router.exchange import (
    Answer,
    BackendRequest,
    BackendResponse,
    CallerRequest,
    Headers,
    InterruptedResponse,
    MergedAnswer,
    RawResponse,
    ReportedLoad,
    ServerStatement,
)

REQUEST_ID = "X-Request-Id"
DEADLINE = "X-Deadline-Ms"
EXPECTED_INSTANCE = "X-Expect-Instance"
AUTHORIZATION = "Authorization"
CREDENTIAL_SCHEME = "Token"
ACCOUNT = "X-Tenant"
SIGNATURE = "X-Server-Stamp"
NOT_EXECUTED = "X-Not-Executed"
LOAD = "X-Server-Load"
COLD_START_LEFT = "X-Cold-Ms"
LEAVING = "Server-Leaving"
RATE_LIMIT = "Server-Limit"
RETRY_AFTER = "Retry-After"
SHARD_SIGNATURES = "X-Part-Stamps"
MISSING_SHARDS = "X-Missing-Parts"

DEFAULT_CALLER_TIMEOUT_S = 30.0  # for callers without a deadline; a route's timeout limits it
MAX_CALLER_TIMEOUT_S = 3600.0
MAX_REFUSAL_S = 3600.0  # a malformed value must not exclude a server for good
MAX_REQUESTS_PER_S = 1e6  # more than any server takes; keeps the arithmetic finite
MAX_UNREADABLE_CHARS = 60  # of a malformed value in the log

HOP_BY_HOP_HEADERS = frozenset(
    (
        *("connection", "keep-alive", "proxy-connection", "te", "trailer"),
        *("transfer-encoding", "upgrade", "content-length", "expect"),
    )
)
ROUTER_HEADERS = frozenset(
    name.lower() for name in ("Host", REQUEST_ID, DEADLINE, EXPECTED_INSTANCE)
)
ACCOUNT_HEADERS = frozenset((AUTHORIZATION.lower(), ACCOUNT.lower()))
STATEMENT_HEADERS = frozenset(name.lower() for name in (LEAVING, RATE_LIMIT, RETRY_AFTER))
NO_STATEMENT = ServerStatement()
_LOAD_PATTERN = re.compile(
    r"\s*([0-9]{1,9})\s*,\s*([0-9]{1,9})\s*,\s*([0-9]{1,9})\s*(?:,\s*([0-9]{1,9})\s*)?"
)
_REQUEST_ID_PATTERN = re.compile(r"[!-~]{1,200}")


class PlatformCodec:
    """A :class:`~fighinge.router.exchange.Codec` for the platform's headers."""

    __slots__ = ()

    def decode_request(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        received_s: float,
        rtt_s: float = 0.0,
    ) -> CallerRequest | Failure:
        """Return a caller's request, or a failure that names the invalid header."""
        values = {name.lower(): value for name, value in headers}
        request_id = values.get(REQUEST_ID.lower(), "")
        if not _REQUEST_ID_PATTERN.fullmatch(request_id):
            return Failure(ErrorKind.BAD_REQUEST, "must be 1 to 200 visible characters", REQUEST_ID)
        caller_timeout_s = _parse_caller_timeout_s(values.get(DEADLINE.lower()))
        if isinstance(caller_timeout_s, Failure):
            return caller_timeout_s
        excluded = _parse_connection_options(values.get("connection", ""))
        excluded = excluded | HOP_BY_HOP_HEADERS | ROUTER_HEADERS
        return CallerRequest(
            request_id=request_id,
            method=method,
            host=values.get("host", ""),
            path=target.partition("?")[0],
            target=target,
            headers=tuple(pair for pair in headers if pair[0].lower() not in excluded),
            body=body,
            caller_timeout_s=caller_timeout_s,
            received_s=received_s,
            rtt_s=rtt_s,
            credential=_parse_credential(headers),
        )

    def with_account(self, request: CallerRequest, account_name: str) -> CallerRequest:
        """Return a request of a client account, without its key.

        The account is one of the headers, so that a peer of any build passes it on.
        """
        headers = tuple(pair for pair in request.headers if pair[0].lower() not in ACCOUNT_HEADERS)
        if account_name:
            headers += ((ACCOUNT, account_name),)
        return msgspec.structs.replace(
            request, headers=headers, credential="", account=account_name
        )

    def encode_request(
        self, request: CallerRequest, instance_id: str, remaining_s: float
    ) -> BackendRequest:
        """Return the request for one backend server."""
        own = (
            ("Host", request.host),
            (REQUEST_ID, request.request_id),
            (DEADLINE, str(max(1, int(1000 * remaining_s)))),
            (EXPECTED_INSTANCE, instance_id),
        )
        return BackendRequest(
            request.method,
            request.target,
            (*own, *request.headers),
            request.body,
            (REQUEST_ID, request.request_id),
        )

    def decode_response(
        self, request: CallerRequest, response: RawResponse
    ) -> BackendResponse | Failure:
        """Return a backend server's response, or a failure if it belongs to another request.

        A response without a request identifier is accepted, as its connection carried no other
        request.
        """
        values = {name.lower(): value for name, value in response.headers}
        answered_id = values.get(REQUEST_ID.lower())
        if answered_id is not None and answered_id != request.request_id:
            return Failure(ErrorKind.BACKEND_FAULT, "the response belongs to another request")
        excluded = HOP_BY_HOP_HEADERS
        if "connection" in values:
            excluded = excluded | _parse_connection_options(values["connection"])
        load_text = values.get(LOAD.lower())
        load = _parse_load(load_text)
        unreadable_load = ""
        if load_text is not None and load is None:
            unreadable_load = load_text[:MAX_UNREADABLE_CHARS] or "(empty)"
        return BackendResponse(
            status=response.status,
            headers=tuple(pair for pair in response.headers if pair[0].lower() not in excluded),
            body=response.body,
            signature=values.get(SIGNATURE.lower(), ""),
            was_not_run=NOT_EXECUTED.lower() in values or response.status == 421,
            is_other_instance=response.status == 421,
            load=load,
            cold_left_s=_parse_ms_as_s(values.get(COLD_START_LEFT.lower())),
            unreadable_load=unreadable_load,
        )

    def decode_statement(self, response: RawResponse | InterruptedResponse) -> ServerStatement:
        """Return what a backend server says of itself; another instance says nothing of it."""
        names = {name.lower() for name, _ in response.headers}
        if response.status == 421 or names.isdisjoint(STATEMENT_HEADERS):
            return NO_STATEMENT
        values = {name.lower(): value for name, value in response.headers}
        refusal_s = None
        if response.status == 503:
            refusal_s = _parse_retry_after_s(values.get(RETRY_AFTER.lower()))
        is_leaving = values.get(LEAVING.lower(), "").strip() == "1"
        limit_text = values.get(RATE_LIMIT.lower())
        max_requests_per_s = _parse_rate(limit_text)
        unreadable = ""
        if limit_text is not None and max_requests_per_s is None:
            unreadable = limit_text[:MAX_UNREADABLE_CHARS] or "(empty)"
        return ServerStatement(is_leaving, refusal_s, max_requests_per_s, unreadable)

    def encode_merged(self, answer: MergedAnswer) -> Answer:
        """Return the answer to a caller that is merged from several shards."""
        headers = (
            ("Content-Type", "application/octet-stream"),
            (SHARD_SIGNATURES, ", ".join(answer.signatures)),
            (MISSING_SHARDS, str(answer.missing_shards)),
        )
        return Answer(200, headers, answer.body)

    def encode_forwarded(self, response: BackendResponse) -> Answer:
        """Return the answer to a caller that forwards a backend server's response unchanged."""
        return Answer(response.status, response.headers, response.body)

    def encode_failure(self, failure: Failure, retry_after_s: float | None) -> Answer:
        """Return the answer to a caller for a failure.

        The statuses 408, 421, 429 and 503 guarantee that no backend server executed the request,
        so they are sent only for kinds of failure that guarantee it; others get 502.
        """
        properties = ERROR_PROPERTIES[failure.kind]
        status = properties.http_status
        if status in (408, 421, 429, 503) and not properties.not_run:
            status = 502
        if failure.kind is ErrorKind.QUARANTINED:
            status = 502  # a 4xx would state that the request is malformed
        headers: Headers = (("Content-Type", "text/plain; charset=utf-8"),)
        if failure.kind is ErrorKind.UNAUTHENTICATED:
            headers += (("WWW-Authenticate", CREDENTIAL_SCHEME),)
        if retry_after_s is not None:
            # Rounded up: a caller that returns before a server takes a call is refused again.
            headers += ((RETRY_AFTER, f"{math.ceil(retry_after_s * 100) / 100:.2f}"),)
        subject = f"{failure.field} " if failure.field else ""
        body = f"{failure.kind.value}: {subject}{failure.reason}\n".encode()
        return Answer(status, headers, body, properties.not_run)


def _parse_credential(headers: Headers) -> str:
    """Return the key that a caller presents, empty if there is none or more than one."""
    values = [value for name, value in headers if name.lower() == AUTHORIZATION.lower()]
    if len(values) != 1:
        return ""
    scheme, _, key = values[0].strip().partition(" ")
    return key.strip() if scheme.lower() == CREDENTIAL_SCHEME.lower() else ""


def _parse_caller_timeout_s(text: str | None) -> float | Failure:
    if text is None:
        return DEFAULT_CALLER_TIMEOUT_S
    value_s = _parse_ms_as_s(text)
    if value_s is None:
        return Failure(ErrorKind.BAD_REQUEST, "must be a number of milliseconds", DEADLINE)
    return min(value_s, MAX_CALLER_TIMEOUT_S)


def _parse_ms_as_s(text: str | None) -> float | None:
    """Return seconds, or ``None`` if the text is not a number of milliseconds."""
    if text is None:
        return None
    try:
        value = float(text)
    except ValueError:
        return None
    return value / 1000 if 0 <= value < float("inf") else None


def _parse_retry_after_s(text: str | None) -> float | None:
    """Return seconds, or ``None`` if the text is not a positive number of seconds."""
    try:
        value_s = float(text or "")
    except ValueError:
        return None
    return min(value_s, MAX_REFUSAL_S) if value_s > 0 else None


def _parse_rate(text: str | None) -> float | None:
    """Return requests per second, or ``None`` if the text is not a number of at least 0."""
    try:
        value = float(text or "")
    except ValueError:
        return None
    return min(value, MAX_REQUESTS_PER_S) if 0 <= value < float("inf") else None


def _parse_connection_options(text: str) -> frozenset[str]:
    return frozenset(option.strip().lower() for option in text.split(",")) - {""}


def _parse_load(text: str | None) -> ReportedLoad | None:
    """Return the load from a list of running, waiting, slots and, if stated, slowness in %."""
    match = _LOAD_PATTERN.fullmatch(text or "")
    if match is None:
        return None
    running, waiting, slots, percent = match.groups()
    slowness_ratio = int(percent) / 100 if percent is not None else None
    if slowness_ratio == 0:
        return None  # no work takes no time
    return ReportedLoad(int(running), int(waiting), int(slots), slowness_ratio)
