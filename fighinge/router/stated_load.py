"""The load and the slowness that a backend server states with its responses."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fighinge.router.metrics import UNREADABLE_LOADS

if TYPE_CHECKING:
    from fighinge.router.decision_log import DecisionLog
    from fighinge.router.exchange import BackendResponse
    from fighinge.router.model import BackendRecord

LOAD_REPORT_TTL_S = 0.25  # a reported load describes only the moment of the response
UNREADABLE_LOG_INTERVAL_S = 10.0  # a server that states nonsense does so with each response


class StatedLoad:
    """Keeps the latest statement of one server with its time."""

    __slots__ = ("_log", "_running", "_slowness_ratio", "_stated_s", "_unreadable_s")

    def __init__(self, log: DecisionLog) -> None:
        self._log = log
        self._running = 0
        self._slowness_ratio: float | None = None
        self._stated_s = float("-inf")
        self._unreadable_s = float("-inf")

    def record(self, response: BackendResponse, record: BackendRecord, now_s: float) -> None:
        """Record the statement of a response; one that cannot be read is ignored and counted."""
        if response.unreadable_load:
            self._record_unreadable(response.unreadable_load, record, now_s)
        if response.load is None:
            return
        self._running = response.load.running + response.load.waiting
        self._stated_s = now_s
        self._slowness_ratio = response.load.slowness_ratio

    def requests(self, now_s: float) -> int:
        """Return the number of requests that run and wait, 0 if the statement is too old."""
        return self._running if now_s - self._stated_s < LOAD_REPORT_TTL_S else 0

    def slowness(self, now_s: float) -> tuple[float, float] | None:
        """Return the slowness that was last stated and the age of the statement in seconds."""
        if self._slowness_ratio is None:
            return None
        return self._slowness_ratio, now_s - self._stated_s

    def _record_unreadable(self, text: str, record: BackendRecord, now_s: float) -> None:
        UNREADABLE_LOADS.inc()
        if now_s - self._unreadable_s < UNREADABLE_LOG_INTERVAL_S:
            return
        self._unreadable_s = now_s
        self._log.write(
            "stated load unreadable",
            backend=record.instance_id,
            service=record.service,
            unreadable=text,
        )
