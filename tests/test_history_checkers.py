"""The checkers accept a sound history and catch each broken promise in a recorded one."""

from __future__ import annotations

import msgspec
import pytest

from tests.histories.checkers import CHECKERS, check
from tests.histories.record import (
    AnswerReceived,
    ConnectionLost,
    ErrorReceived,
    History,
    IndexContents,
    ProcessDisrupted,
    ProcessEnded,
    ProcessStarted,
    RequestSent,
    SearchArrived,
    SearchStarted,
    ServerDraining,
    ServerReturned,
    VersionActivated,
    VersionPublished,
    encode_event_line,
)

ANSWER = AnswerReceived(
    at_s=10.1,
    request_id="r1",
    answer_request_id="r1",
    index_version=1,
    included=["s0"],
    missing=["s1"],
    included_fraction=0.5,
    keys=["a", "b"],
    record_index_versions=[1],
)
REFUSAL = ErrorReceived(at_s=10.1, request_id="r2", kind="overloaded", not_run=True)
RUN = SearchStarted(at_s=10.05, request_id="r1", server="b0", index_version=1, shards=["s0"])
ONCE = SearchStarted(at_s=10.05, request_id="r3", server="b0", index_version=1, shards=["s0"])
ARRIVAL = SearchArrived(at_s=10.0, request_id="r1", server="b0")


def sound_history() -> History:
    """Return a history that keeps every promise."""
    history = History({"b0": "z1"})
    history.events += [
        ProcessStarted(at_s=0.0, process="e1"),
        IndexContents(at_s=0.0, index_version=1, shards={"s0": ["a", "b"], "s1": ["c"]}),
        VersionPublished(at_s=1.0, version=1),
        VersionActivated(at_s=2.0, process="e1", version=1),
        RequestSent(at_s=10.0, request_id="r1", entry="e1"),
        ARRIVAL,
        RUN,
        ANSWER,
        RequestSent(at_s=10.0, request_id="r2", entry="e1"),
        REFUSAL,
        RequestSent(at_s=10.0, request_id="r3", entry="e1", repeatable=False),
        ONCE,
        ErrorReceived(at_s=10.2, request_id="r3", kind="outcome_unknown", not_run=False),
        ServerDraining(at_s=11.0, server="b0"),
        ServerReturned(at_s=13.0, server="b0"),
        SearchArrived(
            at_s=17.0,
            request_id="r1",
            server="b0",
            in_flight=2,
            concurrency_limit=2,
            cold_since_s=13.0,
        ),
        ProcessEnded(at_s=30.0, process="e1", graceful=True),
    ]
    return history


def test_sound_history():
    assert check(sound_history()) == []


def _replaced(event, **changes):
    return event, msgspec.structs.replace(event, **changes)


@pytest.mark.parametrize(
    ("guarantee", "before", "after"),
    [
        ("single snapshot", *_replaced(ANSWER, record_index_versions=[1, 2])),
        ("accurate coverage", *_replaced(ANSWER, missing=[])),
        (
            "accurate coverage",
            *_replaced(ANSWER, included=["s0", "s1"], missing=[], included_fraction=1.0),
        ),
        ("accurate coverage", *_replaced(ANSWER, included_fraction=1.0)),
        ("accurate coverage", *_replaced(RUN, index_version=2)),
        ("cold start", *_replaced(ARRIVAL, in_flight=2, concurrency_limit=1, cold_since_s=1.0)),
        ("correct answers", *_replaced(ANSWER, keys=["a"])),
        ("correct answers", *_replaced(ANSWER, keys=["a", "a"])),
        ("correct answers", *_replaced(ANSWER, keys=["a", "c"])),
        ("correct answers", *_replaced(ANSWER, answer_request_id="r2")),
        ("correct answers", *_replaced(ANSWER, at_s=12.0)),
        ("not-run errors", *_replaced(RUN, request_id="r2")),
        ("at most once", *_replaced(RUN, request_id="r3")),
        ("graceful shutdown", REFUSAL, ConnectionLost(at_s=10.1, request_id="r2")),
    ],
)
def test_broken_event_is_caught(guarantee, before, after):
    history = sound_history()
    history.events[history.events.index(before)] = after
    assert guarantee in {violation.guarantee for violation in check(history)}


@pytest.mark.parametrize(
    ("guarantee", "events"),
    [
        ("evacuated data centre", [VersionPublished(at_s=11.0, version=2, evacuated_zones=["z1"])]),
        (
            "draining servers",
            [ServerDraining(at_s=11.5, server="b0"), ServerDraining(at_s=13.5, server="b0")],
        ),
        ("correct answers", [msgspec.structs.replace(ANSWER, at_s=10.2)]),
        ("configuration versions", [VersionActivated(at_s=3.0, process="e1", version=0)]),
        ("configuration versions", [VersionPublished(at_s=20.0, version=2)]),
        ("graceful shutdown", [ProcessEnded(at_s=30.0, process="e2", graceful=True, exit_code=1)]),
    ],
)
def test_added_event_is_caught(guarantee, events):
    history = sound_history()
    history.events += [*events, SearchArrived(at_s=19.0, request_id="r1", server="b0")]
    assert guarantee in {violation.guarantee for violation in check(history)}


def test_paused_process_learns_after_it_wakes():
    history = sound_history()
    history.events += [
        VersionPublished(at_s=14.0, version=2),
        ProcessDisrupted(at_s=13.0, until_s=25.0, process="e1"),
        VersionActivated(at_s=26.0, process="e1", version=2),
    ]
    assert check(history) == []


def test_history_survives_encoding():
    history, copy = sound_history(), History({"b0": "z1"})
    copy.add_encoded_lines(encode_event_line(event) for event in history.events)
    assert copy.events == history.events


def test_each_guarantee_has_a_checker():
    assert len(CHECKERS) == 10
