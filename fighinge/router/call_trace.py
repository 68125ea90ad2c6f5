"""Descriptions of calls to backend servers for the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fighinge.aggregator.base import CallFailure

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fighinge.router.call_runner import CallResult
    from fighinge.router.service_call import ServiceCall


def describe_result(result: CallResult) -> str:
    """Return a one-word description of a call's result for the log."""
    if isinstance(result, CallFailure):
        return result.fault.value
    if result.is_other_instance:
        return "other_instance"
    if result.was_not_run:
        return "not_run"
    return str(result.status)


def format_traces(calls: Iterable[ServiceCall], skipped_shards: Iterable[str] = ()) -> str:
    """Return the traces of unusual calls, and the shards that were skipped."""
    traced = ((call, [*call.trace, *call.in_flight_trace()]) for call in calls)
    entries = [
        f"{call.service.name}: {', '.join(trace)}"
        for call, trace in traced
        if not call.is_routine or len(trace) != 1 or " open " in trace[0]
    ]
    return "; ".join(
        [*entries, *(f"{name}: skipped, expected too late" for name in skipped_shards)]
    )
