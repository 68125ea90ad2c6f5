"""Refuses sub-queries while the process accepts no new work and tracks those in progress."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fighinge.in_flight import InFlightWork
from fighinge.messages import failed_group

if TYPE_CHECKING:
    from collections.abc import Callable

    from fighinge.admission import Admission
    from fighinge.aggregator.service import AggregatorService
    from fighinge.messages import GroupOutcome, GroupStatus, SubQuery


class AdmittedSubQueries:
    """Starts admitted sub-queries; nothing is sent for a refused one."""

    __slots__ = ("_admission", "_groups_left", "_service", "running")

    def __init__(self, service: AggregatorService, admission: Admission) -> None:
        self._service = service
        self._admission = admission
        self._groups_left: dict[tuple[str, int], int] = {}
        self.running = InFlightWork()

    def statuses(self) -> list[GroupStatus]:
        """Return the status of each served group."""
        return self._service.statuses()

    def submit(
        self, sub_query: SubQuery, reply: Callable[[int, GroupOutcome], None], entry: str = ""
    ) -> None:
        """Start a sub-query or refuse all of its groups."""
        refusal = self._admission.refusal()
        if refusal is not None:
            for group_shards in sub_query.groups:
                outcome = failed_group(
                    group_shards.group,
                    group_shards.shards,
                    refusal.kind,
                    refusal.reason,
                    sent=False,
                )
                reply(sub_query.call, outcome)
            return
        key = (entry, sub_query.call)
        self._groups_left[key] = len(sub_query.groups)
        self.running.add(key)

        def reply_and_record(call: int, outcome: GroupOutcome) -> None:
            self._record_outcome(key)
            reply(call, outcome)

        self._service.submit(sub_query, reply_and_record, entry)

    def cancel(self, entry: str, call: int) -> None:
        """Cancel a sub-query."""
        self._forget((entry, call))
        self._service.cancel(entry, call)

    def cancel_all(self, entry: str) -> None:
        """Cancel every sub-query of an entry's stream that was lost."""
        for key in [key for key in self._groups_left if key[0] == entry]:
            self._forget(key)
        self._service.cancel_all(entry)

    def _record_outcome(self, key: tuple[str, int]) -> None:
        left = self._groups_left.get(key, 0) - 1
        if left > 0:
            self._groups_left[key] = left
        else:
            self._forget(key)

    def _forget(self, key: tuple[str, int]) -> None:
        self._groups_left.pop(key, None)
        self.running.remove(key)
