"""Descriptions of calls to backend servers for the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fighinge.aggregator.base import CallFailure, CallFault
from fighinge.router.exchange import BackendResponse

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fighinge.router.backend import Backend
    from fighinge.router.call_runner import CallResult
    from fighinge.router.service_call import ServiceCall


SLOW_LOG_FACTOR = 2.0  # calls slower than this multiple of the typical latency are logged
MAX_REASON_CHARS = 60  # of the reason of an invalid answer in the log


class CallTrace:
    """The calls of a request to one service for the log.

    ``entries`` has each call, its result and its start and end in milliseconds after the request's
    arrival. ``is_routine`` is true as long as there are only successful calls near the typical
    latency and no retry or hedge decisions.
    """

    __slots__ = ("_in_flight", "_received_s", "entries", "is_routine")

    def __init__(self, received_s: float) -> None:
        self._received_s = received_s
        self._in_flight: dict[Backend, float] = {}
        self.entries: list[str] = []
        self.is_routine = True

    def start(self, backend: Backend, now_s: float) -> None:
        """Record the start of a call."""
        self._in_flight[backend] = now_s

    def note(self, text: str) -> None:
        """Add a decision."""
        self.is_routine = False
        self.entries.append(text)

    def end(self, backend: Backend, result: CallResult, now_s: float, typical_s: float) -> None:
        """Record the result of a call.

        :param typical_s: typical latency of such a call, in seconds
        """
        started_s = self._in_flight.pop(backend)
        is_success = isinstance(result, BackendResponse) and result.is_success
        is_fast = now_s - started_s <= SLOW_LOG_FACTOR * typical_s
        self.is_routine = self.is_routine and is_success and is_fast
        times = f"{self._offset_ms(started_s)}-{self._offset_ms(now_s)}"
        entry = f"{backend.record.instance_id} {describe_result(result)} {times}"
        if isinstance(result, CallFailure) and result.fault is CallFault.BAD_ANSWER:
            entry += f" ({result.reason[:MAX_REASON_CHARS]})"
        self.entries.append(entry)

    def in_flight(self) -> list[str]:
        """Return entries of the calls in flight."""
        return [
            f"{backend.record.instance_id} open {self._offset_ms(started_s)}-"
            for backend, started_s in self._in_flight.items()
        ]

    def _offset_ms(self, at_s: float) -> int:
        return round(1000 * (at_s - self._received_s))


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
    traced = ((call, [*call.trace.entries, *call.trace.in_flight()]) for call in calls)
    entries = [
        f"{call.service.name}: {', '.join(trace)}"
        for call, trace in traced
        if not call.trace.is_routine or len(trace) != 1 or " open " in trace[0]
    ]
    return "; ".join(
        [*entries, *(f"{name}: skipped, expected too late" for name in skipped_shards)]
    )
