"""Refuses queries that an entry must not start, and counts those that run."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from fighinge.entry.query_service import query_error
from fighinge.errors import ErrorKind
from fighinge.running import RunningWork

if TYPE_CHECKING:
    from collections.abc import Callable

    from fighinge.admission import Admission
    from fighinge.entry.at_most_once import AtMostOnceExecutor, QueryExecutor
    from fighinge.queries import EntryAddress, QueryAnswer, QueryError, QueryRequest


class AdmissionControlledExecutor:
    """Lets queries pass that may start here; a refused one ran nowhere.

    A query that arrives in a zone out of service is told which entries to use.
    """

    __slots__ = ("_admission", "_entries", "_executor")

    def __init__(
        self,
        executor: QueryExecutor,
        admission: Admission,
        entries: Callable[[], list[EntryAddress]],
    ) -> None:
        self._executor = executor
        self._admission = admission
        self._entries = entries

    @property
    def ready(self) -> bool:
        """Return whether queries can be answered."""
        return self._executor.ready and self._admission.refusal() is None

    async def query(self, service_name: str, request: QueryRequest) -> QueryAnswer | QueryError:
        """Answer one request, or refuse it."""
        refusal = self._admission.refusal()
        if refusal is None:
            return await self._executor.query(service_name, request)
        error = query_error(request.request_id, refusal)
        if refusal.kind is ErrorKind.ZONE_OUT:
            return msgspec.structs.replace(error, entries=self._entries())
        return error


class CountingExecutor:
    """Counts the queries that run, so that a stop can wait for them."""

    __slots__ = ("_executor", "running")

    def __init__(self, executor: AtMostOnceExecutor) -> None:
        self._executor = executor
        self.running = RunningWork()

    @property
    def ready(self) -> bool:
        """Return whether queries can be answered."""
        return self._executor.ready

    async def query(
        self, service_name: str, request: QueryRequest, *, forwarded: bool = False
    ) -> QueryAnswer | QueryError:
        """Answer one request."""
        key = object()
        self.running.started(key)
        try:
            return await self._executor.query(service_name, request, forwarded=forwarded)
        finally:
            self.running.ended(key)
