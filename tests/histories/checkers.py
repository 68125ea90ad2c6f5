"""Checkers for the ten guarantees; each returns the violations that a history contains."""

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

COLD_DETECTION_S = 2.0  # time to detect a cold start that the server does not announce
DEADLINE_TOLERANCE_S = 0.25


class Violation(msgspec.Struct, frozen=True):
    """A violation of a guarantee at a time of the history."""

    guarantee: str
    at_s: float
    detail: str


def check_single_snapshot(history: History) -> list[Violation]:
    """Check that all records of an answer are from the snapshot that the answer names."""
    violations = []
    for answer in history.events_of(AnswerReceived):
        foreign_versions = {
            version for version in answer.record_index_versions if version != answer.index_version
        }
        if foreign_versions:
            detail = (
                f"names index version {answer.index_version}, "
                f"contains records of {sorted(foreign_versions)}"
            )
            violations.append(_violation("single snapshot", answer, detail))
    return violations


def check_coverage(history: History) -> list[Violation]:
    """Check that each shard is either included and searched, or listed as missing."""
    shards_by_version = {
        event.index_version: set(event.shards) for event in history.events_of(IndexContents)
    }
    searched: dict[tuple[str, int], set[str]] = {}
    for search in history.events_of(SearchStarted):
        searched.setdefault((search.request_id, search.index_version), set()).update(search.shards)
    violations = []
    for answer in history.events_of(AnswerReceived):
        included, missing = set(answer.included), set(answer.missing)
        shards = shards_by_version.get(answer.index_version, set())
        if included | missing != shards or included & missing:
            detail = (
                f"included {sorted(included)} and missing {sorted(missing)} "
                "do not partition the shards"
            )
            violations.append(_violation("accurate coverage", answer, detail))
        elif abs(answer.included_fraction - len(included) / len(shards)) > 1e-9:
            violations.append(
                _violation(
                    "accurate coverage", answer, f"fraction {answer.included_fraction} is wrong"
                )
            )
        not_searched = included - searched.get((answer.request_id, answer.index_version), set())
        if not_searched:
            detail = f"includes {sorted(not_searched)}, which no backend server searched"
            violations.append(_violation("accurate coverage", answer, detail))
    return violations


def check_cold_start(history: History) -> list[Violation]:
    """Check that calls to a cold server stay within its limit after the detection time."""
    return [
        _violation("cold start", arrival, f"{arrival.server} got {arrival.in_flight} at once, cold")
        for arrival in history.events_of(SearchArrived)
        if arrival.cold_since_s is not None
        and arrival.in_flight > arrival.concurrency_limit
        and arrival.at_s > arrival.cold_since_s + COLD_DETECTION_S
    ]


def check_evacuated_zones(history: History) -> list[Violation]:
    """Check that an evacuated data centre gets no new work after the propagation limit."""
    violations = []
    published = history.events_of(VersionPublished)
    for arrival in history.events_of(SearchArrived):
        zone = history.server_zones[arrival.server]
        evacuated_s = _evacuated_since_s(published, zone, arrival.at_s)
        if evacuated_s is None:
            continue
        if (
            arrival.at_s
            > history.earliest_notice_s(evacuated_s, arrival.aggregator) + PROPAGATION_LIMIT_S
        ):
            detail = f"{arrival.server} got work in {zone}, evacuated since {evacuated_s:.2f}"
            violations.append(_violation("evacuated data centre", arrival, detail))
    return violations


def check_correct_answers(history: History) -> list[Violation]:
    """Check that each request gets exactly one outcome, in time, and answers are correct."""
    contents = {event.index_version: event.shards for event in history.events_of(IndexContents)}
    requests = {event.request_id: event for event in history.events_of(RequestSent)}
    outcome_counts = Counter(
        event.request_id
        for event in history.events_of(AnswerReceived, ErrorReceived, ConnectionLost)
    )
    violations = [
        _violation(
            "correct answers", event, f"{outcome_counts[request_id]} outcomes of {request_id}"
        )
        for request_id, event in requests.items()
        if outcome_counts[request_id] != 1
    ]
    for event in history.events_of(AnswerReceived, ErrorReceived):
        request = requests[event.request_id]
        # An entry that is paused before the deadline can answer only after it resumes.
        notice_s = history.earliest_notice_s(request.at_s, request.entry, request.deadline_s)
        if event.at_s > notice_s + request.deadline_s + DEADLINE_TOLERANCE_S:
            latency_s = event.at_s - request.at_s
            violations.append(_violation("correct answers", event, f"took {latency_s:.3f} s"))
    for answer in history.events_of(AnswerReceived):
        detail = _describe_mismatch(answer, requests[answer.request_id], contents)
        if detail:
            violations.append(_violation("correct answers", answer, detail))
    return violations


def check_not_run_errors(history: History) -> list[Violation]:
    """Check that no request ran whose error says that it did not run."""
    executed = {search.request_id for search in history.events_of(SearchStarted)}
    return [
        _violation("not-run errors", event, f"{event.request_id} ({event.kind}) did run")
        for event in history.events_of(ErrorReceived)
        if event.not_run and event.request_id in executed
    ]


def check_at_most_once(history: History) -> list[Violation]:
    """Check that a non-idempotent request runs at most once on each shard.

    Requests with the same ``idempotency_key`` count as one.
    """
    idempotency_keys = {
        event.request_id: event.idempotency_key
        for event in history.events_of(RequestSent)
        if not event.repeatable
    }
    execution_counts: Counter[tuple[str, str]] = Counter()
    violations = []
    for search in history.events_of(SearchStarted):
        if search.request_id not in idempotency_keys:
            continue
        for shard in search.shards:
            execution = (idempotency_keys[search.request_id] or search.request_id, shard)
            execution_counts[execution] += 1
            if execution_counts[execution] > 1:
                detail = f"{search.request_id} ran {execution_counts[execution]} times on {shard}"
                violations.append(_violation("at most once", search, detail))
    return violations


def check_draining_servers(history: History) -> list[Violation]:
    """Check that a draining server gets no new work after the propagation limit."""
    draining_since_s: dict[str, float] = {}
    violations = []
    for event in history.events_of(ServerDraining, ServerReturned, SearchArrived):
        if isinstance(event, ServerDraining):
            draining_since_s.setdefault(event.server, event.at_s)
        elif isinstance(event, ServerReturned):
            draining_since_s.pop(event.server, None)
        elif event.server in draining_since_s:
            notice_s = history.earliest_notice_s(draining_since_s[event.server], event.aggregator)
            if event.at_s > notice_s + PROPAGATION_LIMIT_S:
                detail = (
                    f"{event.server} got work, draining since {draining_since_s[event.server]:.2f}"
                )
                violations.append(_violation("draining servers", event, detail))
    return violations


def check_graceful_shutdowns(history: History) -> list[Violation]:
    """Check that a graceful shutdown aborts no request and exits with status 0."""
    shutdowns = {
        event.process: event for event in history.events_of(ProcessEnded) if event.graceful
    }
    requests = {event.request_id: event for event in history.events_of(RequestSent)}
    violations = [
        _violation("graceful shutdown", event, f"{process} exited with status {event.exit_code}")
        for process, event in shutdowns.items()
        if event.exit_code != 0
    ]
    for event in history.events_of(ConnectionLost):
        request = requests[event.request_id]
        if request.entry in shutdowns and request.at_s <= shutdowns[request.entry].at_s:
            detail = f"{request.entry} aborted {event.request_id}"
            violations.append(_violation("graceful shutdown", event, detail))
    return violations


def check_configuration_versions(history: History) -> list[Violation]:
    """Check that each process activates each version, or a later one, in time and never reverts."""
    lifetimes = _process_lifetimes(history)
    activations: dict[str, list[VersionActivated]] = {}
    violations = []
    for event in history.events_of(VersionActivated):
        previous = activations.setdefault(event.process, [])
        if previous and event.version < previous[-1].version:
            detail = f"{event.process} reverted from {previous[-1].version} to {event.version}"
            violations.append(_violation("configuration versions", event, detail))
        previous.append(event)
    last_s = max((event.at_s for event in history.events), default=0.0)
    for published in history.events_of(VersionPublished):
        for process, (started_s, ended_s) in lifetimes.items():
            from_s = max(published.at_s, started_s)
            due_s = history.earliest_notice_s(from_s, process) + PROPAGATION_LIMIT_S
            if due_s > min(ended_s, last_s) or _is_activated_by(
                activations.get(process, ()), published, due_s
            ):
                continue
            detail = f"{process} had not activated {published.version} by {due_s:.2f}"
            violations.append(_violation("configuration versions", published, detail))
    return violations


CHECKERS: dict[str, Callable[[History], list[Violation]]] = {
    "single snapshot": check_single_snapshot,
    "accurate coverage": check_coverage,
    "cold start": check_cold_start,
    "evacuated data centre": check_evacuated_zones,
    "correct answers": check_correct_answers,
    "not-run errors": check_not_run_errors,
    "at most once": check_at_most_once,
    "draining servers": check_draining_servers,
    "graceful shutdown": check_graceful_shutdowns,
    "configuration versions": check_configuration_versions,
}


def check(history: History) -> list[Violation]:
    """Return the violations of all guarantees."""
    return [violation for checker in CHECKERS.values() for violation in checker(history)]


def _violation(guarantee: str, event: Event, detail: str) -> Violation:
    return Violation(guarantee, event.at_s, detail)


def _evacuated_since_s(published: list[VersionPublished], zone: str, at_s: float) -> float | None:
    """Return since when a data centre is evacuated at ``at_s``, or None if it is in service."""
    since_s = None
    for event in published:
        if event.at_s > at_s:
            break
        if zone not in event.evacuated_zones:
            since_s = None
        elif since_s is None:
            since_s = event.at_s
    return since_s


def _describe_mismatch(answer: AnswerReceived, request: RequestSent, contents: dict) -> str:
    """Return how an answer differs from the contents of its included shards, or ``""``."""
    if answer.answer_request_id != answer.request_id:
        return f"answers {answer.answer_request_id}"
    if len(set(answer.keys)) != len(answer.keys):
        return "contains a record twice"
    shards = contents.get(answer.index_version, {})
    expected = sorted(key for shard in answer.included for key in shards.get(shard, ()))
    page = expected[: len(answer.keys)]
    if answer.keys != page:
        return f"contains {answer.keys[:3]}, not {page[:3]}"
    complete = len(answer.keys) == min(request.limit, len(expected))
    if not complete and not answer.has_more:
        return f"contains {len(answer.keys)} of {len(expected)} records and no cursor"
    return ""


def _process_lifetimes(history: History) -> dict[str, tuple[float, float]]:
    """Return the start and end times of each process; the end may be infinite."""
    lifetimes = {
        event.process: (event.at_s, float("inf")) for event in history.events_of(ProcessStarted)
    }
    for event in history.events_of(ProcessEnded):
        if event.process in lifetimes:
            lifetimes[event.process] = (lifetimes[event.process][0], event.at_s)
    return lifetimes


def _is_activated_by(activations, published: VersionPublished, due_s: float) -> bool:
    """Return whether ``published`` or a later version was activated up to ``due_s``."""
    return any(event.version >= published.version and event.at_s <= due_s for event in activations)
