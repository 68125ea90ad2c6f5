"""The present capacity of a shard, as this router observes its backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fighinge.router.scarce_shards import ShardLoad

if TYPE_CHECKING:
    from fighinge.router.pool import BackendPool, Service


def shard_load(pool: BackendPool, shard: Service, typical_s: float, now_s: float) -> ShardLoad:
    """Return what a shard offers one more call.

    A server that was found unreachable and has answered no call since adds no capacity, also after
    its back-off, so that queries that may leave out its shard do not all try it.

    :param typical_s: typical latency of such a call at a healthy server, in seconds
    """
    capacity = 0.0
    fastest = float("inf")
    for backend in shard.backends:
        if backend.is_unproven or not backend.takes_calls(now_s):
            continue
        slowness = backend.slowness(now_s)
        capacity += backend.record.slots / slowness
        fastest = min(fastest, slowness)
    return ShardLoad(
        shard.name,
        capacity * pool.limit_share,
        fastest * typical_s,
        pool.expected_s(shard, typical_s, now_s),
    )
