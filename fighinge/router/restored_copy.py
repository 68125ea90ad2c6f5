"""What a router remembers beyond a return of the store from an older copy."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fighinge.router.model import BackendRecord

MAX_REMOVED_RUNS = 1000  # about 100 KB


class RemovedRuns:
    """Runs of backend servers that were removed; a copy of the store may still list them."""

    __slots__ = ("_names",)

    def __init__(self) -> None:
        self._names: dict[str, None] = {}

    def __contains__(self, record: BackendRecord) -> bool:
        """Return whether the run was removed and not listed since."""
        return record.run_name in self._names

    def add(self, record: BackendRecord) -> None:
        """Record that a run was removed; beyond the limit the oldest one is forgotten."""
        self._names[record.run_name] = None
        if len(self._names) > MAX_REMOVED_RUNS:
            del self._names[next(iter(self._names))]

    def discard(self, record: BackendRecord) -> None:
        """Record that a run has written its record again."""
        self._names.pop(record.run_name, None)
