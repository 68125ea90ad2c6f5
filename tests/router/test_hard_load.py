"""Tests of what callers get under high load, kind by kind, in virtual time."""

from __future__ import annotations

from tests.router.builders import table
from tests.router.load_builders import Kind, SlotServers, play, records, routers_with_servers
from tests.virtual_time import run

SHARDS = 12  # a whole search may lack one of them, an urgent one three
WHOLE_SEARCH = Kind("whole", 45.1, 0.0165, 0.17, 1.012, 0.9, 1)
URGENT_SEARCH = Kind("urgent", 15.0, 0.0057, 0.0573, 0.509, 0.7, 0)
IMMEDIATE_S = 0.02  # a refusal without a call takes the round trip to the caller


def _kinds(*, is_on: bool) -> tuple[Kind, Kind]:
    """Return both kinds; load management is off if none has the highest priority."""
    urgent = URGENT_SEARCH
    if not is_on:
        urgent = Kind(*(getattr(urgent, name) for name in urgent.__struct_fields__[:-1]), 1)
    return WHOLE_SEARCH, urgent


def _play(servers, servers_of, kinds, *, routers=6, seconds=6.0, **options):
    async def send():
        shared = servers()
        fleet = routers_with_servers(shared, routers)
        routes = [kind.route(SHARDS) for kind in kinds]
        for router in fleet:
            router.publish(
                table(*routes, services=SHARDS, max_connections=66), *records(SHARDS, servers_of)
            )
            for kind in kinds:
                router.set_typical_latency(kind.name, kind.work_s)
        return await play(fleet, kinds, seconds, **options)

    return run(send())


def _three_scarce_shards(*, is_on: bool):
    """Three shards have one server each, which takes 137 ms a search and serves 29 a second."""

    def servers():
        slow = SlotServers()
        slow.slowness = {f"s{shard}-0": 8.3 for shard in range(3)}
        return slow

    return _play(servers, lambda shard: range(1 if shard < 3 else 3), _kinds(is_on=is_on))


def test_three_scarce_shards_make_nearly_all_whole_searches_late_without_the_policy():
    """Shows the fault: with 29 calls of 60 a second, all leave out the same one of three shards."""
    results = _three_scarce_shards(is_on=False)
    assert results["whole"].late_share > 0.8
    assert results["whole"].refused == 0


def test_three_scarce_shards_leave_many_whole_searches_in_time():
    """Guards against all queries leaving out the same one of three shards without capacity.

    Six routers do not coordinate. What does not fit is refused at once, and has not run.
    """
    results = _three_scarce_shards(is_on=True)
    whole, urgent = results["whole"], results["urgent"]
    assert whole.in_time_share > 0.4
    assert whole.late_share < 0.35
    assert whole.failed == 0
    assert whole.slowest_refusal_s < IMMEDIATE_S
    assert urgent.in_time_share > 0.95
    assert urgent.missing <= 3 * urgent.sent


def _burst(*, is_on: bool):
    """A burst of 2.2 with a third of the servers 9 times slower and one shard unreachable."""

    def servers():
        slow = SlotServers()
        slow.slowness = {
            f"s{shard}-{replica}": 9.0
            for shard in range(SHARDS)
            for replica in range(3)
            if (shard + replica) % 3 == 0
        }
        slow.unreachable = {f"s0-{replica}" for replica in range(3)}
        return slow

    return _play(
        servers, lambda _: range(3), _kinds(is_on=is_on), seconds=4.0, rate_factor=lambda _: 2.2
    )


def test_burst_with_slow_servers_and_an_unreachable_shard_is_answered_in_time():
    """Guards against the unreachable shard being waited for by each query anew.

    Whole searches may lack only that one, and need all shards with slow servers.
    """
    before, after = _burst(is_on=False), _burst(is_on=True)
    for kind in ("whole", "urgent"):
        assert after[kind].failed <= before[kind].failed
        assert after[kind].in_time_share >= before[kind].in_time_share - 0.01
        assert after[kind].slowest_refusal_s < IMMEDIATE_S
    assert after["whole"].in_time_share > 0.9
