"""The checkers accept a sound history and catch each broken promise in a recorded one."""

from __future__ import annotations

import msgspec
import pytest

from tests.histories.checkers import CHECKERS, check
from tests.histories.record import (
    Answered,
    Arrived,
    Asked,
    CutOff,
    Disturbed,
    Ended,
    History,
    Indexed,
    InForce,
    Published,
    Ran,
    Refused,
    ServerLeaves,
    ServerReturns,
    Started,
    encode_line,
)

ANSWER = Answered(
    at_s=10.1,
    request_id="r1",
    answer_request_id="r1",
    index_version=1,
    included=["s0"],
    missing=["s1"],
    share=0.5,
    keys=["a", "b"],
    record_versions=[1],
)
REFUSAL = Refused(at_s=10.1, request_id="r2", kind="overloaded", not_run=True)
RUN = Ran(at_s=10.05, request_id="r1", server="b0", index_version=1, shards=["s0"])
ONCE = Ran(at_s=10.05, request_id="r3", server="b0", index_version=1, shards=["s0"])
ARRIVAL = Arrived(at_s=10.0, request_id="r1", server="b0")


def sound_history() -> History:
    """Return a history that keeps every promise."""
    history = History({"b0": "z1"})
    history.events += [
        Started(at_s=0.0, process="e1"),
        Indexed(at_s=0.0, index_version=1, shards={"s0": ["a", "b"], "s1": ["c"]}),
        Published(at_s=1.0, version=1),
        InForce(at_s=2.0, process="e1", version=1),
        Asked(at_s=10.0, request_id="r1", entry="e1"),
        ARRIVAL,
        RUN,
        ANSWER,
        Asked(at_s=10.0, request_id="r2", entry="e1"),
        REFUSAL,
        Asked(at_s=10.0, request_id="r3", entry="e1", repeatable=False),
        ONCE,
        Refused(at_s=10.2, request_id="r3", kind="outcome_unknown", not_run=False),
        ServerLeaves(at_s=11.0, server="b0"),
        ServerReturns(at_s=13.0, server="b0"),
        Arrived(at_s=17.0, request_id="r1", server="b0", in_flight=2, bearable=2, cold_s=13.0),
        Ended(at_s=30.0, process="e1", planned=True),
    ]
    return history


def test_sound_history():
    assert check(sound_history()) == []


def _replaced(event, **changes):
    return event, msgspec.structs.replace(event, **changes)


@pytest.mark.parametrize(
    ("promise", "before", "after"),
    [
        ("one snapshot", *_replaced(ANSWER, record_versions=[1, 2])),
        ("true coverage", *_replaced(ANSWER, missing=[])),
        ("true coverage", *_replaced(ANSWER, included=["s0", "s1"], missing=[], share=1.0)),
        ("true coverage", *_replaced(ANSWER, share=1.0)),
        ("true coverage", *_replaced(RUN, index_version=2)),
        ("cold start", *_replaced(ARRIVAL, in_flight=2, bearable=1, cold_s=1.0)),
        ("whole answers", *_replaced(ANSWER, keys=["a"])),
        ("whole answers", *_replaced(ANSWER, keys=["a", "a"])),
        ("whole answers", *_replaced(ANSWER, keys=["a", "c"])),
        ("whole answers", *_replaced(ANSWER, answer_request_id="r2")),
        ("whole answers", *_replaced(ANSWER, at_s=12.0)),
        ("not run", *_replaced(RUN, request_id="r2")),
        ("at most once", *_replaced(RUN, request_id="r3")),
        ("planned stop", REFUSAL, CutOff(at_s=10.1, request_id="r2")),
    ],
)
def test_broken_event_is_caught(promise, before, after):
    history = sound_history()
    history.events[history.events.index(before)] = after
    assert promise in {violation.promise for violation in check(history)}


@pytest.mark.parametrize(
    ("promise", "events"),
    [
        ("data centre out", [Published(at_s=11.0, version=2, zones_out=["z1"])]),
        (
            "leaving servers",
            [ServerLeaves(at_s=11.5, server="b0"), ServerLeaves(at_s=13.5, server="b0")],
        ),
        ("whole answers", [msgspec.structs.replace(ANSWER, at_s=10.2)]),
        ("configuration", [InForce(at_s=3.0, process="e1", version=0)]),
        ("configuration", [Published(at_s=20.0, version=2)]),
        ("planned stop", [Ended(at_s=30.0, process="e2", planned=True, exit_code=1)]),
    ],
)
def test_added_event_is_caught(promise, events):
    history = sound_history()
    history.events += [*events, Arrived(at_s=19.0, request_id="r1", server="b0")]
    assert promise in {violation.promise for violation in check(history)}


def test_paused_process_learns_after_it_wakes():
    history = sound_history()
    history.events += [
        Published(at_s=14.0, version=2),
        Disturbed(at_s=13.0, until_s=25.0, process="e1"),
        InForce(at_s=26.0, process="e1", version=2),
    ]
    assert check(history) == []


def test_history_survives_encoding():
    history, copy = sound_history(), History({"b0": "z1"})
    copy.add_lines(encode_line(event) for event in history.events)
    assert copy.events == history.events


def test_each_promise_has_a_checker():
    assert len(CHECKERS) == 10
