"""Tests of the parser of backend servers' responses, with responses cut at every place."""

from __future__ import annotations

import tracemalloc

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fighinge.router.response_parser import MAX_HEADER_BYTES, ResponseBuffers, ResponseParser

WITH_LENGTH = b"HTTP/1.1 200 OK\r\nX-Own: a\r\nContent-Length: 5\r\n\r\nwhole"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n"
AFTER_INTERIM = b"HTTP/1.1 103 Hints\r\nX-Hint: 1\r\n\r\n" + WITH_LENGTH
WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\nX-Own: a\r\n\r\nwhole"
COMPLETE = {"length": WITH_LENGTH, "chunks": CHUNKED, "after interim": AFTER_INTERIM}


def _feed(*parts, is_head=False):
    parser = ResponseParser(ResponseBuffers())
    parser.start(is_head=is_head)
    return parser, [parser.feed(part) for part in parts]


@pytest.mark.parametrize("name", COMPLETE)
def test_response_is_complete_only_with_its_last_byte(name):
    raw = COMPLETE[name]
    for cut in range(len(raw)):
        parser, [reason] = _feed(raw[:cut])
        assert (reason, parser.is_complete, parser.end()) == ("", False, False), raw[:cut]
    parser, [reason] = _feed(raw)
    assert (reason, parser.is_complete, parser.status, parser.body) == ("", True, 200, b"whole")
    assert parser.may_reuse
    assert not parser.has_surplus


@pytest.mark.parametrize("name", COMPLETE)
@given(cuts=st.lists(st.integers(0, 100), max_size=6))
def test_response_is_the_same_however_it_is_cut(name, cuts):
    raw = COMPLETE[name]
    ends = sorted({min(cut, len(raw)) for cut in cuts} | {len(raw)})
    starts = [0, *ends[:-1]]
    parser, reasons = _feed(*(raw[start:end] for start, end in zip(starts, ends, strict=True)))
    assert not any(reasons)
    assert (parser.is_complete, parser.status, parser.body) == (True, 200, b"whole")


def test_response_without_length_is_complete_at_the_end_of_the_stream_after_its_head():
    head_bytes = WITHOUT_LENGTH.index(b"whole")
    for cut in range(len(WITHOUT_LENGTH) + 1):
        parser, [reason] = _feed(WITHOUT_LENGTH[:cut])
        assert not reason
        assert not parser.is_complete
        assert parser.end() == (cut >= head_bytes)
        assert not parser.may_reuse


@given(st.binary(max_size=300))
def test_random_bytes_never_raise(data):
    parser, _ = _feed(data)
    parser.end()


@given(st.integers(0, len(WITH_LENGTH) - 1), st.binary(min_size=1, max_size=8))
def test_response_with_random_bytes_in_it_never_raises(position, noise):
    parser, _ = _feed(WITH_LENGTH[:position] + noise + WITH_LENGTH[position:])
    parser.end()


@pytest.mark.parametrize("surplus", [b"x", b"\r\n\r\nx", WITH_LENGTH, b"HTTP/1.1 200"])
@pytest.mark.parametrize("is_apart", [True, False])
def test_bytes_behind_a_response_are_surplus_and_change_nothing(surplus, is_apart):
    parts = [WITH_LENGTH, surplus] if is_apart else [WITH_LENGTH + surplus]
    parser, reasons = _feed(*parts)
    assert not any(reasons)
    assert parser.has_surplus
    assert (parser.body, parser.headers[0]) == (b"whole", ("X-Own", "a"))


def test_response_to_head_has_no_body_and_ends_its_connection():
    parser, [reason] = _feed(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", is_head=True)
    assert (reason, parser.is_complete, parser.body, parser.may_reuse) == ("", True, b"", False)


def test_trailers_are_no_headers():
    parser, _ = _feed(CHUNKED[:-2] + b"X-Own: trailer\r\n\r\n")
    assert parser.is_complete
    assert parser.headers == [("Transfer-Encoding", "chunked")]


def test_header_section_is_bounded_together_with_interim_responses():
    interim = b"HTTP/1.1 103 Hints\r\nX-Hint: 1\r\n\r\n"
    parser, reasons = _feed(*[interim] * (MAX_HEADER_BYTES // len(interim) + 1))
    assert reasons[-1]
    assert not parser.headers


def test_bytes_of_a_body_are_given_back():
    buffers = ResponseBuffers()
    parser = ResponseParser(buffers)
    parser.feed(WITH_LENGTH)
    assert buffers.used_bytes == 5
    parser.start()
    assert buffers.used_bytes == 0


# Each chunk of 2 bytes took 56 bytes, so that endless bodies ended routers by their memory.
def test_memory_of_a_body_in_small_chunks_is_bounded_by_its_bytes():
    chunks = 100_000
    part = 1000 * b"2\r\nxy\r\n"
    parser, _ = _feed(CHUNKED[: CHUNKED.index(b"3")])
    tracemalloc.start()
    try:
        reasons = {parser.feed(part) for _ in range(chunks // 1000)}
        held_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert reasons == {""}
    assert held_bytes < 2 * len(b"xy") * chunks
    parser.feed(b"0\r\n\r\n")
    assert parser.is_complete and parser.body == chunks * b"xy"


def test_trailer_section_is_bounded():
    parts = 2 * MAX_HEADER_BYTES // 1000 * [1000 * b"a"]
    _, reasons = _feed(CHUNKED[:-2] + b"X-Trailer: ", *parts)
    assert reasons[-1] == "the trailer section is too long"
    assert set(reasons[: len(parts) // 3]) == {""}


@pytest.mark.parametrize("status", ["000", "099", "600", "999"])
@pytest.mark.parametrize("rest", [b"", b" Trouble", b" OK\r\nX-Own: a"])
def test_status_outside_the_protocol_is_no_response(status, rest):
    # 000 counted as interim, so that the call stayed open or a later 200 became its answer.
    head = f"HTTP/1.1 {status}".encode() + rest + b"\r\nContent-Length: 0\r\n\r\n"
    for parts in ((head,), (head + WITH_LENGTH,), tuple(bytes([byte]) for byte in head)):
        parser, reasons = _feed(*parts)
        assert "the status is not one of HTTP" in reasons
        assert (parser.is_complete, parser.has_all_headers, parser.status) == (False, False, 0)
        assert (parser.end(), parser.headers) == (False, [])


@pytest.mark.parametrize("status", [100, 102, 103, 199])
def test_any_interim_status_precedes_the_response(status):
    parser, [reason] = _feed(f"HTTP/1.1 {status} X\r\nX-Hint: 1\r\n\r\n".encode() + WITH_LENGTH)
    assert (reason, parser.status, parser.is_complete) == ("", 200, True)


@pytest.mark.parametrize("status", [200, 299, 404, 599])
def test_any_final_status_of_the_protocol_is_a_response(status):
    parser, [reason] = _feed(f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n".encode())
    assert (reason, parser.status, parser.is_complete) == ("", status, True)
