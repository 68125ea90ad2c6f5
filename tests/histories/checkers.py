"""A checker for each of the ten promises; each returns the violations in a history."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import msgspec

from tests.histories.record import (
    PROPAGATION_LIMIT_S,
    AnswerReceived,
    ConnectionLost,
    ErrorReceived,
    IndexContents,
    ProcessEnded,
    ProcessStarted,
    RequestSent,
    SearchArrived,
    SearchStarted,
    ServerDraining,
    ServerReturned,
    VersionActivated,
    VersionPublished,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.histories.record import Event, History

COLD_DETECTION_S = 2.0
DEADLINE_TOLERANCE_S = 0.25


class Violation(msgspec.Struct, frozen=True):
    """A promise that a history breaks, and how."""

    promise: str
    at_s: float
    what: str


def check_single_snapshot(history: History) -> list[Violation]:
    """Check that every record and every run of an answer is of the answer's snapshot."""
    broken = []
    for answer in history.events_of(AnswerReceived):
        mixed = {
            version for version in answer.record_index_versions if version != answer.index_version
        }
        if mixed:
            what = f"names {answer.index_version}, holds records of {sorted(mixed)}"
            broken.append(_violation("one snapshot", answer, what))
    return broken


def check_coverage(history: History) -> list[Violation]:
    """Check that each shard is either included, and then ran, or missing."""
    shards_of = {
        event.index_version: set(event.shards) for event in history.events_of(IndexContents)
    }
    ran: dict[tuple[str, int], set[str]] = {}
    for run in history.events_of(SearchStarted):
        ran.setdefault((run.request_id, run.index_version), set()).update(run.shards)
    broken = []
    for answer in history.events_of(AnswerReceived):
        included, missing = set(answer.included), set(answer.missing)
        shards = shards_of.get(answer.index_version, set())
        if included | missing != shards or included & missing:
            what = f"included {sorted(included)} and missing {sorted(missing)} are not all shards"
            broken.append(_violation("true coverage", answer, what))
        elif abs(answer.included_fraction - len(included) / len(shards)) > 1e-9:
            broken.append(
                _violation("true coverage", answer, f"share {answer.included_fraction} is wrong")
            )
        unread = included - ran.get((answer.request_id, answer.index_version), set())
        if unread:
            what = f"includes {sorted(unread)}, which ran nowhere"
            broken.append(_violation("true coverage", answer, what))
    return broken


def check_cold_start(history: History) -> list[Violation]:
    """Check that a cold server gets what it can bear, once that could be noticed."""
    return [
        _violation("cold start", arrival, f"{arrival.server} got {arrival.in_flight} at once, cold")
        for arrival in history.events_of(SearchArrived)
        if arrival.cold_since_s is not None
        and arrival.in_flight > arrival.concurrency_limit
        and arrival.at_s > arrival.cold_since_s + COLD_DETECTION_S
    ]


def check_evacuated_zones(history: History) -> list[Violation]:
    """Check that a data centre gets no new work a few seconds after it was taken out."""
    broken = []
    published = history.events_of(VersionPublished)
    for arrival in history.events_of(SearchArrived):
        zone = history.server_zones[arrival.server]
        out_s = _out_since_s(published, zone, arrival.at_s)
        if out_s is None:
            continue
        if (
            arrival.at_s
            > history.earliest_notice_s(out_s, arrival.aggregator) + PROPAGATION_LIMIT_S
        ):
            what = f"{arrival.server} got work in {zone}, out since {out_s:.2f}"
            broken.append(_violation("data centre out", arrival, what))
    return broken


def check_complete_answers(history: History) -> list[Violation]:
    """Check that each caller got one whole answer to its own request, in time."""
    truth = {event.index_version: event.shards for event in history.events_of(IndexContents)}
    asked = {event.request_id: event for event in history.events_of(RequestSent)}
    ends = Counter(
        event.request_id
        for event in history.events_of(AnswerReceived, ErrorReceived, ConnectionLost)
    )
    broken = [
        _violation("whole answers", event, f"{ends[request_id]} answers to {request_id}")
        for request_id, event in asked.items()
        if ends[request_id] != 1
    ]
    for event in history.events_of(AnswerReceived, ErrorReceived):
        question = asked[event.request_id]
        read_s = history.earliest_notice_s(question.at_s, question.entry, question.deadline_s)
        if event.at_s > read_s + question.deadline_s + DEADLINE_TOLERANCE_S:
            took_s = event.at_s - question.at_s
            broken.append(_violation("whole answers", event, f"took {took_s:.3f} s"))
    for answer in history.events_of(AnswerReceived):
        what = _difference(answer, asked[answer.request_id], truth)
        if what:
            broken.append(_violation("whole answers", answer, what))
    return broken


def check_not_run_errors(history: History) -> list[Violation]:
    """Check that a request that a caller was told not to have run ran nowhere."""
    ran = {run.request_id for run in history.events_of(SearchStarted)}
    return [
        _violation("not run", event, f"{event.request_id} ({event.kind}) did run")
        for event in history.events_of(ErrorReceived)
        if event.not_run and event.request_id in ran
    ]


def check_at_most_once(history: History) -> list[Violation]:
    """Check that a request that is not repeatable ran at most once on each shard.

    Sendings of the same request share its ``key``.
    """
    keys = {
        event.request_id: event.idempotency_key
        for event in history.events_of(RequestSent)
        if not event.repeatable
    }
    seen: Counter[tuple[str, str]] = Counter()
    broken = []
    for run in history.events_of(SearchStarted):
        if run.request_id not in keys:
            continue
        for shard in run.shards:
            name = (keys[run.request_id] or run.request_id, shard)
            seen[name] += 1
            if seen[name] > 1:
                what = f"{run.request_id} ran {seen[name]} times on {shard}"
                broken.append(_violation("at most once", run, what))
    return broken


def check_draining_servers(history: History) -> list[Violation]:
    """Check that a server gets no new work a few seconds after it began to leave."""
    since_s: dict[str, float] = {}
    broken = []
    for event in history.events_of(ServerDraining, ServerReturned, SearchArrived):
        if isinstance(event, ServerDraining):
            since_s.setdefault(event.server, event.at_s)
        elif isinstance(event, ServerReturned):
            since_s.pop(event.server, None)
        elif event.server in since_s:
            learned_s = history.earliest_notice_s(since_s[event.server], event.aggregator)
            if event.at_s > learned_s + PROPAGATION_LIMIT_S:
                what = f"{event.server} got work, leaving since {since_s[event.server]:.2f}"
                broken.append(_violation("leaving servers", event, what))
    return broken


def check_graceful_shutdowns(history: History) -> list[Violation]:
    """Check that a process that was asked to stop cut off nothing and ended cleanly."""
    planned = {event.process: event for event in history.events_of(ProcessEnded) if event.graceful}
    asked = {event.request_id: event for event in history.events_of(RequestSent)}
    broken = [
        _violation("planned stop", event, f"{process} ended with {event.exit_code}")
        for process, event in planned.items()
        if event.exit_code != 0
    ]
    for event in history.events_of(ConnectionLost):
        question = asked[event.request_id]
        if question.entry in planned and question.at_s <= planned[question.entry].at_s:
            what = f"{question.entry} cut off {event.request_id}"
            broken.append(_violation("planned stop", event, what))
    return broken


def check_configuration_versions(history: History) -> list[Violation]:
    """Check that versions come into force everywhere in time and never revert."""
    lives = _lives(history)
    told: dict[str, list[VersionActivated]] = {}
    broken = []
    for event in history.events_of(VersionActivated):
        before = told.setdefault(event.process, [])
        if before and event.version < before[-1].version:
            what = f"{event.process} went back from {before[-1].version} to {event.version}"
            broken.append(_violation("configuration", event, what))
        before.append(event)
    last_s = max((event.at_s for event in history.events), default=0.0)
    for published in history.events_of(VersionPublished):
        for process, (started_s, ended_s) in lives.items():
            from_s = max(published.at_s, started_s)
            due_s = history.earliest_notice_s(from_s, process) + PROPAGATION_LIMIT_S
            if due_s > min(ended_s, last_s) or _has(told.get(process, ()), published, due_s):
                continue
            what = f"{process} had not put {published.version} in force by {due_s:.2f}"
            broken.append(_violation("configuration", published, what))
    return broken


CHECKERS: dict[str, Callable[[History], list[Violation]]] = {
    "one snapshot": check_single_snapshot,
    "true coverage": check_coverage,
    "cold start": check_cold_start,
    "data centre out": check_evacuated_zones,
    "whole answers": check_complete_answers,
    "not run": check_not_run_errors,
    "at most once": check_at_most_once,
    "leaving servers": check_draining_servers,
    "planned stop": check_graceful_shutdowns,
    "configuration": check_configuration_versions,
}


def check(history: History) -> list[Violation]:
    """Return every violation of every promise."""
    return [violation for checker in CHECKERS.values() for violation in checker(history)]


def _violation(promise: str, event: Event, what: str) -> Violation:
    return Violation(promise, event.at_s, what)


def _out_since_s(published: list[VersionPublished], zone: str, at_s: float) -> float | None:
    """Return since when a zone is out at a time, or none if it is in."""
    since_s = None
    for event in published:
        if event.at_s > at_s:
            break
        if zone not in event.evacuated_zones:
            since_s = None
        elif since_s is None:
            since_s = event.at_s
    return since_s


def _difference(answer: AnswerReceived, question: RequestSent, truth: dict) -> str:
    """Return how an answer differs from the true one of its shards, if it does."""
    if answer.answer_request_id != answer.request_id:
        return f"answers {answer.answer_request_id}"
    if len(set(answer.keys)) != len(answer.keys):
        return "holds a record twice"
    shards = truth.get(answer.index_version, {})
    expected = sorted(key for shard in answer.included for key in shards.get(shard, ()))
    page = expected[: len(answer.keys)]
    if answer.keys != page:
        return f"holds {answer.keys[:3]}, not {page[:3]}"
    complete = len(answer.keys) == min(question.limit, len(expected))
    if not complete and not answer.has_more:
        return f"holds {len(answer.keys)} of {len(expected)} records and no cursor"
    return ""


def _lives(history: History) -> dict[str, tuple[float, float]]:
    lives = {
        event.process: (event.at_s, float("inf")) for event in history.events_of(ProcessStarted)
    }
    for event in history.events_of(ProcessEnded):
        if event.process in lives:
            lives[event.process] = (lives[event.process][0], event.at_s)
    return lives


def _has(told, published: VersionPublished, due_s: float) -> bool:
    return any(event.version >= published.version and event.at_s <= due_s for event in told)
