"""The status of a replica group: its index versions and the shards that lack them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fighinge.messages import GroupStatus

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from fighinge.groups import Group
    from fighinge.model import Document, Snapshot

HeldVersions = dict[str, list[int]]


def group_status(group: Group, document: Document, held: Mapping[str, HeldVersions]) -> GroupStatus:
    """Return the status of a group.

    :param held: versions by collection, for each available backend server of the group
    """
    status = GroupStatus(group.name, {})
    for name, collection in document.collections.items():
        holders = _holders(name, held)
        status.index_versions[name] = sorted(holders)
        unserved = {
            snapshot.index_version: shards
            for snapshot in collection.snapshots
            if snapshot.index_version in holders
            and (shards := _unserved(group, snapshot, holders[snapshot.index_version]))
        }
        if unserved:
            status.unserved_shards[name] = unserved
    return status


def _holders(collection: str, held: Mapping[str, HeldVersions]) -> dict[int, set[str]]:
    """Return the backend servers that hold each version of a collection."""
    holders: dict[int, set[str]] = {}
    for server, versions in held.items():
        for version in versions.get(collection, ()):
            holders.setdefault(version, set()).add(server)
    return holders


def _unserved(group: Group, snapshot: Snapshot, holders: Iterable[str]) -> list[str]:
    members, serving = set(group.backend_servers), set(holders)
    return [
        name
        for name, shard in snapshot.shards.items()
        if not members.isdisjoint(shard.replicas) and serving.isdisjoint(shard.replicas)
    ]
