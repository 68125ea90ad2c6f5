"""Replica groups: sets of backend servers connected by the shards that they share."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import xxhash

if TYPE_CHECKING:
    from fighinge.model import Document


class Group(msgspec.Struct, frozen=True):
    """A replica group; its name depends only on its backend servers."""

    name: str
    backend_servers: tuple[str, ...]


class GroupMap:
    """The replica groups of one configuration document."""

    __slots__ = ("_group_of_server", "groups")

    def __init__(self, groups: dict[str, Group]) -> None:
        self.groups = groups
        self._group_of_server = {
            server: group.name for group in groups.values() for server in group.backend_servers
        }

    @classmethod
    def from_document(cls, document: Document) -> GroupMap:
        """Build the groups as the connected components of servers that share a shard."""
        parent = {name: name for name in document.backend_servers}
        for collection in document.collections.values():
            for snapshot in collection.snapshots:
                for shard in snapshot.shards.values():
                    _union(parent, shard.replicas)
        members: dict[str, list[str]] = {}
        for name in sorted(parent):
            members.setdefault(_find(parent, name), []).append(name)
        groups = [_group(tuple(names)) for names in members.values()]
        return cls({group.name: group for group in groups})

    def group_of(self, backend_server: str) -> str:
        """Return the name of the group of a configured backend server."""
        return self._group_of_server[backend_server]

    def shards_by_group(self, document: Document, collection: str, index_version: int):
        """Return the shards of a snapshot by group.

        :returns: a mapping of group name to a tuple of shard names; empty if there is no such
            snapshot
        """
        snapshot = document.collections[collection].snapshot(index_version)
        shards: dict[str, list[str]] = {}
        if snapshot is not None:
            for name, shard in snapshot.shards.items():
                shards.setdefault(self.group_of(shard.replicas[0]), []).append(name)
        return {group: tuple(names) for group, names in shards.items()}


def _group(names: tuple[str, ...]) -> Group:
    digest = xxhash.xxh3_64_hexdigest("\n".join(names).encode())
    return Group(name=f"g-{digest}", backend_servers=names)


def _find(parent: dict[str, str], name: str) -> str:
    while parent[name] != name:
        parent[name] = parent[parent[name]]
        name = parent[name]
    return name


def _union(parent: dict[str, str], names: tuple[str, ...]) -> None:
    first = _find(parent, names[0])
    for name in names[1:]:
        parent[_find(parent, name)] = first
