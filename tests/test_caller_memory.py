"""Tests of the bound on the bytes that all callers hold together."""

from __future__ import annotations

from fighinge.caller_memory import CallerMemory

LIMIT_BYTES = 1000


def test_ordinary_request_keeps_its_room_beside_large_ones_that_stall():
    # Guards against a flood of large bodies that has small requests refused.
    memory = CallerMemory(LIMIT_BYTES)
    assert memory.grow("large-1", 450, 0.0) == []
    assert memory.grow("large-2", 450, 1.0) == []
    assert memory.grow("small", 150, 2.0) == ["large-1"]
    assert memory.used_bytes == 600


def test_holder_that_alone_exceeds_the_limit_is_refused():
    memory = CallerMemory(LIMIT_BYTES)
    memory.grow("small", 100, 0.0)
    assert memory.grow("large", 950, 0.001) == ["large"]
    assert memory.used_bytes == 100


def test_request_in_service_is_not_refused():
    # Its refusal would promise that it has not run, which is not known.
    memory = CallerMemory(LIMIT_BYTES)
    memory.grow("served", 900, 0.0)
    memory.start_service("served")
    assert memory.grow("new", 200, 9.0) == ["new"]


def test_bytes_in_service_count_until_the_answer_replaces_them():
    memory = CallerMemory(LIMIT_BYTES)
    memory.grow("served", 600, 0.0)
    memory.start_service("served")
    memory.start_answer("served", 1.0)
    assert memory.used_bytes == 0
    assert memory.grow("served", 700, 1.0) == []
    assert memory.grow("other", 400, 2.0) == ["served"]


def test_used_bytes_never_exceed_the_limit_while_any_holder_can_be_refused():
    memory = CallerMemory(LIMIT_BYTES)
    for number in range(500):
        memory.grow(number % 37, 90, float(number))
        assert memory.used_bytes <= LIMIT_BYTES
    for number in range(37):
        memory.release(number)
    assert memory.used_bytes == 0


def test_limit_follows_from_the_memory_of_the_process():
    assert CallerMemory.from_memory(200_000_000).limit_bytes == 40_000_000
