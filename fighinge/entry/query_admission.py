"""Admission control and the count of running queries of an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from fighinge.entry.query_service import query_error
from fighinge.errors import ErrorKind
from fighinge.in_flight import InFlightWork

if TYPE_CHECKING:
    from collections.abc import Callable

    from fighinge.admission import Admission
    from fighinge.entry.at_most_once import AtMostOnceExecutor, QueryExecutor
    from fighinge.queries import EntryAddress, QueryAnswer, QueryError, QueryRequest


class AdmissionControlledExecutor:
    """Execute queries unless admission control refuses them; a refused query has not run.

    The refusal in a data centre that is out of service lists the entries to use instead.
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
        """Answer one request, or return the refusal."""
        refusal = self._admission.refusal()
        if refusal is None:
            return await self._executor.query(service_name, request)
        error = query_error(request.request_id, refusal)
        if refusal.kind is ErrorKind.ZONE_OUT:
            return msgspec.structs.replace(error, entries=self._entries())
        return error


class CountingExecutor:
    """Track running queries, so that a graceful shutdown can wait for them."""

    __slots__ = ("_executor", "running")

    def __init__(self, executor: AtMostOnceExecutor) -> None:
        self._executor = executor
        self.running = InFlightWork()

    @property
    def ready(self) -> bool:
        """Return whether queries can be answered."""
        return self._executor.ready

    async def query(
        self, service_name: str, request: QueryRequest, *, forwarded: bool = False
    ) -> QueryAnswer | QueryError:
        """Answer one request."""
        key = object()
        self.running.add(key)
        try:
            return await self._executor.query(service_name, request, forwarded=forwarded)
        finally:
            self.running.remove(key)
