"""Tests of the decision log: rate limit, non-blocking writes and the count of dropped lines."""

from __future__ import annotations

import os

import msgspec
import pytest

from fighinge.router.decision_log import BURST_LINES, MAX_BUFFERED_LINES, DecisionLog


class _Clock:
    def __init__(self) -> None:
        self.now_s = 100.0

    def __call__(self) -> float:
        return self.now_s


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def _lines(reader):
    os.set_blocking(reader, False)
    try:
        whole = os.read(reader, 1 << 20).rpartition(b"\n")[0]
        return [msgspec.json.decode(line) for line in whole.splitlines()]
    except BlockingIOError:
        return []


def test_line_has_the_time_the_event_and_its_fields(pipe):
    log = DecisionLog(_Clock(), lambda: 5.0, pipe[1])
    log.write("request", request="r1", outcome="answered")
    log.flush()
    assert _lines(pipe[0]) == [
        {"time": 5.0, "steady_s": 100.0, "event": "request", "request": "r1", "outcome": "answered"}
    ]


def test_lines_above_the_rate_limit_are_dropped_and_counted(pipe):
    clock = _Clock()
    log = DecisionLog(clock, lambda: 5.0, pipe[1])
    for _ in range(int(BURST_LINES) + 40):
        log.write("request")
    log.flush()
    _lines(pipe[0])
    clock.now_s += 1.0
    log.write("request")
    for _ in range(100):
        log.flush()
        lines = _lines(pipe[0])
        if any("lines_left_out" in line for line in lines):
            break
    assert lines[-1]["lines_left_out"] == 40


def test_full_pipe_does_not_block_the_writer(pipe):
    clock = _Clock()
    log = DecisionLog(clock, lambda: 5.0, pipe[1])
    for _ in range(3 * MAX_BUFFERED_LINES):
        clock.now_s += 0.01
        log.write("request", reason="x" * 100)
        log.flush()
    assert _lines(pipe[0])


def test_closed_pipe_raises_no_error():
    reader, writer = os.pipe()
    log = DecisionLog(_Clock(), lambda: 5.0, writer)
    os.close(reader)
    log.write("request")
    log.flush()
    os.close(writer)
