"""Which snapshot of a collection a query is pinned to."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fighinge.groups import GroupMap
    from fighinge.messages import GroupStatus
    from fighinge.model import Document, Snapshot


class SnapshotChooser:
    """Keeps what the owners of groups announce and picks snapshots with full coverage."""

    __slots__ = ("_versions",)

    def __init__(self) -> None:
        self._versions: dict[str, dict[str, list[int]]] = {}

    def group_statuses(self, _aggregator: str, statuses: list[GroupStatus]) -> None:
        """Take the statuses that an aggregator announced."""
        for status in statuses:
            self._versions[status.group] = status.index_versions

    def choose(self, document: Document, group_map: GroupMap, collection: str) -> Snapshot:
        """Return the newest snapshot that every group is thought to serve.

        A group of which nothing is known counts as serving. Without any such snapshot the one
        that the most groups serve is chosen.
        """
        newest_first = sorted(
            document.collections[collection].snapshots,
            key=lambda snapshot: snapshot.index_version,
            reverse=True,
        )
        return max(
            newest_first,
            key=lambda snapshot: self._served_share(
                document, group_map, collection, snapshot.index_version
            ),
        )

    def _served_share(
        self, document: Document, group_map: GroupMap, collection: str, index_version: int
    ) -> float:
        groups = group_map.shards_by_group(document, collection, index_version)
        served = sum(self._serves(group, collection, index_version) for group in groups)
        return served / len(groups)

    def _serves(self, group: str, collection: str, index_version: int) -> bool:
        versions = self._versions.get(group)
        return versions is None or index_version in versions.get(collection, ())
