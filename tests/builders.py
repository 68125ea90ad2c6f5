"""Builders of configuration documents and sub-queries for tests."""

from __future__ import annotations

import msgspec

from fighinge.messages import GroupShards, Search, SubQuery
from fighinge.model import Document, decode_document
from standins.records import shard_map


def raw_document(*, servers: int = 3, shards: int = 2, versions: tuple[int, ...] = (1,)) -> dict:
    """Return a configuration document in which every server has a replica of every shard."""
    names = [f"b{number}" for number in range(servers)]
    return {
        "zones": {"z1": {}, "z2": {}},
        "classes": {"desk": {"weight": 8, "rank": 0}, "batch": {"weight": 1, "rank": 9}},
        "backend_servers": {
            name: {
                "host": "127.0.0.1",
                "port": 9000 + number,
                "zone": f"z{number % 2 + 1}",
                "slots": 4,
                "connection_limit": 35,
            }
            for number, name in enumerate(names)
        },
        "collections": {
            "c": {
                "snapshots": [
                    {"index_version": version, "shards": shard_map(shards, lambda _shard: names)}
                    for version in versions
                ]
            }
        },
        "services": {"desk": {"collection": "c", "query_class": "desk"}},
    }


def document(**changes) -> Document:
    """Return a decoded document; the arguments are those of :func:`raw_document`."""
    return decode_document(msgspec.json.encode(raw_document(**changes)))


def sub_query(**changes) -> SubQuery:
    """Return a sub-query for one shard of one group, with the given fields replaced."""
    fields = {
        "call": 1,
        "request_id": "r1",
        "service": "desk",
        "collection": "c",
        "index_version": 1,
        "query_class": "desk",
        "tenant": "vaquero",
        "groups": (GroupShards("g0", ("s0",)),),
        "search": Search(),
        "remaining_s": 1.0,
        "repeatable": True,
        "fingerprint": "f",
        "configuration_version": 1,
    }
    return SubQuery(**{**fields, **changes})
