"""Tests of the translation of the platform's headers."""

from __future__ import annotations

import pytest

from fighinge.errors import ERROR_PROPERTIES, ErrorKind, Failure
from fighinge.platform.headers import MAX_REFUSAL_S, MAX_REQUESTS_PER_S, PlatformCodec
from fighinge.router.exchange import MergedAnswer, RawResponse, ReportedLoad, ServerStatement
from tests.router.builders import request

CODEC = PlatformCodec()
HEADERS = (
    ("Host", "h.example"),
    ("X-Request-Id", "r1"),
    ("X-Deadline-Ms", "800"),
    ("Connection", "keep-alive, X-Hop"),
    ("X-Hop", "1"),
    ("X-Own", "2"),
    ("Transfer-Encoding", "chunked"),
)


def _decode(*changes):
    replaced = {name for name, _ in changes}
    headers = [pair for pair in HEADERS if pair[0] not in replaced]
    headers += [(name, value) for name, value in changes if value is not None]
    return CODEC.decode_request("GET", "/a/b?c", tuple(headers), b"", 5.0)


def test_request_is_decoded():
    decoded = _decode()
    assert (decoded.host, decoded.path, decoded.target) == ("h.example", "/a/b", "/a/b?c")
    assert decoded.caller_timeout_s == 0.8
    assert decoded.headers == (("X-Own", "2"),)


@pytest.mark.parametrize(
    ("change", "field"),
    [
        (("X-Request-Id", None), "X-Request-Id"),
        (("X-Request-Id", "a b"), "X-Request-Id"),
        (("X-Request-Id", "x" * 201), "X-Request-Id"),
        (("X-Deadline-Ms", "soon"), "X-Deadline-Ms"),
        (("X-Deadline-Ms", "-1"), "X-Deadline-Ms"),
        (("X-Deadline-Ms", "nan"), "X-Deadline-Ms"),
    ],
)
def test_invalid_request_is_reported_with_the_header(change, field):
    failure = _decode(change)
    assert isinstance(failure, Failure)
    assert failure.field == field


def test_backend_request_has_the_remaining_time():
    content = CODEC.encode_request(request(headers=(("X-Own", "2"),)), "i-1", 0.25)
    headers = dict(content.headers)
    assert headers["X-Deadline-Ms"] == "250"
    assert headers["X-Expect-Instance"] == "i-1"
    assert headers["X-Request-Id"] == "r1"
    assert headers["X-Own"] == "2"


def _response(status=200, **headers):
    pairs = tuple((name.replace("_", "-"), value) for name, value in headers.items())
    return CODEC.decode_response(request(), RawResponse(status, pairs, b"body"))


def test_response_to_another_request_is_rejected():
    assert isinstance(_response(X_Request_Id="r2", X_Server_Stamp="s"), Failure)
    assert _response(X_Request_Id="r1", X_Server_Stamp="s").is_success


@pytest.mark.parametrize(
    ("status", "headers", "was_not_run"),
    [
        (503, {"X_Not_Executed": "1"}, True),
        (421, {}, True),
        (503, {}, False),
        (500, {"X_Server_Stamp": "s"}, False),
    ],
)
def test_only_the_servers_own_statement_means_not_executed(status, headers, was_not_run):
    assert _response(status, **headers).was_not_run is was_not_run


@pytest.mark.parametrize(
    ("text", "load"),
    [
        ("3,1,8", ReportedLoad(3, 1, 8)),
        ("3,0,8,100", ReportedLoad(3, 0, 8, 1.0)),
        (" 3 , 0 , 8 , 730 ", ReportedLoad(3, 0, 8, 7.3)),
        ("3,1", None),
        ("a,b,c", None),
        ("-1,0,4", None),
        ("3,0,8,", None),
        ("3,0,8,-1", None),
        ("3,0,8,0", None),
        ("3,0,8,1.5", None),
        ("3,0,8,100,1", None),
        ("3,0,8,9999999999", None),
        ("", None),
    ],
)
def test_load_is_decoded_unless_malformed(text, load):
    response = _response(X_Server_Load=text)
    assert response.load == load
    assert response.unreadable_load == ("" if load else text or "(empty)")


@pytest.mark.parametrize(
    ("status", "headers", "statement"),
    [
        (200, {}, ServerStatement()),
        (200, {"Server_Leaving": "1"}, ServerStatement(is_leaving=True)),
        (503, {"Server_Leaving": "1"}, ServerStatement(is_leaving=True)),
        (200, {"Server_Leaving": "0"}, ServerStatement()),
        (421, {"Server_Leaving": "1", "Retry_After": "3"}, ServerStatement()),
        (503, {"Retry_After": "3"}, ServerStatement(refusal_s=3.0)),
        (503, {"Retry_After": "0.25"}, ServerStatement(refusal_s=0.25)),
        (503, {"Retry_After": "1e9"}, ServerStatement(refusal_s=MAX_REFUSAL_S)),
        (200, {"Retry_After": "3"}, ServerStatement()),
        (200, {"Server_Limit": "12.5"}, ServerStatement(max_requests_per_s=12.5)),
        (503, {"Server_Limit": "0"}, ServerStatement(max_requests_per_s=0.0)),
        (500, {"Server_Limit": "1e300"}, ServerStatement(max_requests_per_s=MAX_REQUESTS_PER_S)),
        (421, {"Server_Limit": "3"}, ServerStatement()),
        *(
            (200, {"Server_Limit": text}, ServerStatement(unreadable_limit=text))
            for text in ("-1", "nan", "inf", "1e999", "many", "3,5")
        ),
        (200, {"Server_Limit": ""}, ServerStatement(unreadable_limit="(empty)")),
        *(
            (503, {"Retry_After": text}, ServerStatement())
            for text in ("0", "-1", "nan", "soon", "", "Fri, 04 Dec 2026 09:00:00 GMT")
        ),
    ],
)
def test_statement_of_a_server_is_decoded_unless_malformed(status, headers, statement):
    pairs = tuple((name.replace("_", "-"), value) for name, value in headers.items())
    assert CODEC.decode_statement(RawResponse(status, pairs, b"")) == statement


def test_hop_by_hop_headers_are_not_forwarded():
    response = _response(X_Server_Stamp="s", Connection="close", Keep_Alive="timeout=5", X_Own="1")
    answer = CODEC.encode_forwarded(response)
    assert {name for name, _ in answer.headers} == {"X-Server-Stamp", "X-Own"}


def test_merged_answer_has_signatures_and_missing_shards():
    answer = CODEC.encode_merged(MergedAnswer(("a", "b"), 1, b"x"))
    headers = dict(answer.headers)
    assert headers["X-Part-Stamps"] == "a, b"
    assert headers["X-Missing-Parts"] == "1"


@pytest.mark.parametrize("kind", list(ErrorKind))
def test_status_that_guarantees_no_execution_is_only_sent_if_it_holds(kind):
    answer = CODEC.encode_failure(Failure(kind, "why"), None)
    if not ERROR_PROPERTIES[kind].not_run:
        assert answer.status not in (408, 421, 429, 503)


# Rounded to the nearest hundredth, it let callers return milliseconds early and be refused again.
@pytest.mark.parametrize(
    ("wait_s", "text"),
    [(1.4801, "1.49"), (0.104, "0.11"), (0.1, "0.10"), (0.3, "0.30"), (2.0, "2.00")],
)
def test_caller_is_never_told_to_return_before_the_wait_ends(wait_s, text):
    answer = CODEC.encode_failure(Failure(ErrorKind.OVERLOADED, "why"), wait_s)
    assert dict(answer.headers)["Retry-After"] == text


# One wrong byte in this header left the request without any answer.
@pytest.mark.parametrize(
    "load",
    ["\xb2,0,8", "1,\xb3,8", "1,0,\xb9", "9" * 5000 + ",0,8", "-1,0,8", "1,0", "1,0,8,2,1", ""],
)
def test_unreadable_load_is_ignored(load):
    raw = RawResponse(200, (("X-Server-Load", load), ("X-Server-Stamp", "s")), b"body")
    response = PlatformCodec().decode_response(request(), raw)
    assert (response.load, response.body, response.signature) == (None, b"body", "s")
