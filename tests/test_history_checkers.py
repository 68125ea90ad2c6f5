"""The checkers accept a valid history and detect each kind of violation in a changed one."""

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
ERROR = ErrorReceived(at_s=10.1, request_id="r2", kind="overloaded", not_run=True)
SEARCH = SearchStarted(at_s=10.05, request_id="r1", server="b0", index_version=1, shards=["s0"])
AT_MOST_ONCE_SEARCH = SearchStarted(
    at_s=10.05, request_id="r3", server="b0", index_version=1, shards=["s0"]
)
ARRIVAL = SearchArrived(at_s=10.0, request_id="r1", server="b0")


def valid_history() -> History:
    """Return a history that satisfies every guarantee."""
    history = History({"b0": "z1"})
    history.events += [
        ProcessStarted(at_s=0.0, process="e1"),
        IndexContents(at_s=0.0, index_version=1, shards={"s0": ["a", "b"], "s1": ["c"]}),
        VersionPublished(at_s=1.0, version=1),
        VersionActivated(at_s=2.0, process="e1", version=1),
        RequestSent(at_s=10.0, request_id="r1", entry="e1"),
        ARRIVAL,
        SEARCH,
        ANSWER,
        RequestSent(at_s=10.0, request_id="r2", entry="e1"),
        ERROR,
        RequestSent(at_s=10.0, request_id="r3", entry="e1", repeatable=False),
        AT_MOST_ONCE_SEARCH,
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


def test_valid_history_has_no_violations():
    assert check(valid_history()) == []


def _replaced(event, **changes):
    return event, msgspec.structs.replace(event, **changes)


@pytest.mark.parametrize(
    ("guarantee", "original", "replacement"),
    [
        ("single snapshot", *_replaced(ANSWER, record_index_versions=[1, 2])),
        ("accurate coverage", *_replaced(ANSWER, missing=[])),
        (
            "accurate coverage",
            *_replaced(ANSWER, included=["s0", "s1"], missing=[], included_fraction=1.0),
        ),
        ("accurate coverage", *_replaced(ANSWER, included_fraction=1.0)),
        ("accurate coverage", *_replaced(SEARCH, index_version=2)),
        ("cold start", *_replaced(ARRIVAL, in_flight=2, concurrency_limit=1, cold_since_s=1.0)),
        ("correct answers", *_replaced(ANSWER, keys=["a"])),
        ("correct answers", *_replaced(ANSWER, keys=["a", "a"])),
        ("correct answers", *_replaced(ANSWER, keys=["a", "c"])),
        ("correct answers", *_replaced(ANSWER, answer_request_id="r2")),
        ("correct answers", *_replaced(ANSWER, at_s=12.0)),
        ("not-run errors", *_replaced(SEARCH, request_id="r2")),
        ("at most once", *_replaced(SEARCH, request_id="r3")),
        ("graceful shutdown", ERROR, ConnectionLost(at_s=10.1, request_id="r2")),
    ],
)
def test_replaced_event_is_detected(guarantee, original, replacement):
    history = valid_history()
    history.events[history.events.index(original)] = replacement
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
def test_added_event_is_detected(guarantee, events):
    # The search at 19 s is new work for an evacuated data centre or a draining server.
    history = valid_history()
    history.events += [*events, SearchArrived(at_s=19.0, request_id="r1", server="b0")]
    assert guarantee in {violation.guarantee for violation in check(history)}


def test_paused_process_may_activate_a_version_after_it_resumes():
    history = valid_history()
    history.events += [
        VersionPublished(at_s=14.0, version=2),
        ProcessDisrupted(at_s=13.0, until_s=25.0, process="e1"),
        VersionActivated(at_s=26.0, process="e1", version=2),
    ]
    assert check(history) == []


def test_events_are_unchanged_by_encoding_and_decoding():
    history, decoded = valid_history(), History({"b0": "z1"})
    decoded.add_encoded_lines(encode_event_line(event) for event in history.events)
    assert decoded.events == history.events


def test_each_guarantee_has_a_checker():
    assert len(CHECKERS) == 10
