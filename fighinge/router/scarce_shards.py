"""Which shards a query leaves out while some shards lack capacity, and whether it can be in time.

Made for a load in which three of 36 shards have one slow server left each, which serves 29 of the
60 calls a second of six routers, while a whole search may leave out one shard and an urgent one
five. If every query leaves out the slowest shard, the other two get all calls and answer none in
time. If queries leave out different shards, the calls fit.

Routers do not coordinate. Each one keeps its calls to a shard within its share of what the shard's
servers in service work off, by a backlog of work that its own calls add to. The work of a call is
its typical time at a healthy server, and a server with four slots that is twice as slow as usual
works off two seconds of it a second. The measured slowness includes the time in the server's queue,
so that the capacity falls if the routers together send too much.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Sequence

DEMAND_WINDOW_S = 1.0  # a burst lasts seconds; at ten queries a second, ten tell of it
SCARCE_UTILISATION = 0.9  # random arrivals queue at a shard long before it is fully used
STRAIN_RATIO = 0.5  # of the time left; sooner, queries are in time even if others take more calls
REFUSAL_RATIO = 0.8  # of the time left; sooner, queries that could be in time are refused
PROBE_INTERVAL_S = 0.3  # with a time-out of 0.4 s, a recovery is noticed within a second
BURST_FACTOR = 0.35  # of one call and the own slots, as arrivals are random
SLACK_FACTOR = 2.0  # the calls of different routers seldom coincide
MAX_RETURN_S = 1.0  # callers that are told to wait longer than their deadline give up
GOLDEN_RATIO = (math.sqrt(5) - 1) / 2  # its multiples modulo 1 are evenly spread
MAX_SHARDS = 4096  # bounds the memory; beyond this, the history of all shards is reset


class ShardLoad(msgspec.Struct):
    """What a shard's servers offer a query now.

    ``capacity`` is this router's share of the work that they do, in seconds a second; it is 0 if no
    server is in service that is known to be reachable. ``call_s`` is the time of a call without a
    queue, ``expected_s`` that with the present queues, ``None`` if no server has a free connection.
    """

    name: str
    capacity: float
    call_s: float
    expected_s: float | None


class QueryNeeds(msgspec.Struct):
    """What a query needs: its work at each shard, and how soon and how completely it is answered.

    ``max_left_out`` is the number of shards that its answer may lack. The two times count from now.
    """

    work_s: float
    max_left_out: int
    soft_patience_s: float
    hard_patience_s: float


class ShardPlan(msgspec.Struct):
    """The shards that a query leaves out; those in ``probed`` are called without being needed.

    ``refused_wait_s`` is set if the query cannot be in time: the time after which it may return.
    """

    left_out: tuple[str, ...] = ()
    probed: tuple[str, ...] = ()
    refused_wait_s: float | None = None


class _History:
    """The calls of this router to one shard."""

    __slots__ = ("backlog_s", "called_s", "demand", "return_phase", "updated_s")

    def __init__(self, now_s: float) -> None:
        self.demand = 0.0
        self.backlog_s = 0.0
        self.updated_s = now_s
        self.called_s = float("-inf")
        self.return_phase = 0.0

    def update(self, load: ShardLoad, work_s: float, now_s: float) -> None:
        """Count a query that would call the shard, and work off the backlog until now."""
        elapsed_s = now_s - self.updated_s
        self.updated_s = now_s
        self.demand *= math.exp(-elapsed_s / DEMAND_WINDOW_S)
        self.demand += work_s / DEMAND_WINDOW_S
        if load.capacity:
            self.backlog_s = max(0.0, self.backlog_s - elapsed_s * load.capacity)
        else:
            self.backlog_s = 0.0  # calls to servers that do not answer are no work left to do

    def is_scarce(self, load: ShardLoad) -> bool:
        """Return whether queries want more of the shard than this router's share."""
        return self.demand > SCARCE_UTILISATION * load.capacity

    def drain_s(self, load: ShardLoad) -> float:
        """Return the time in which the backlog is worked off."""
        return self.backlog_s / load.capacity

    def wait_s(self, load: ShardLoad, work_s: float) -> float:
        """Return the time after which a further call is within the share, apart from a burst."""
        burst_s = BURST_FACTOR * (work_s + load.capacity * load.call_s)
        return max(0.0, self.backlog_s - burst_s) / load.capacity

    def return_s(self, excess_s: float) -> float:
        """Return when a refused query may return; consecutive ones get times that are far apart.

        :param excess_s: time after which the shard could answer it in time, in seconds
        """
        self.return_phase = (self.return_phase + GOLDEN_RATIO) % 1.0
        return min(excess_s, MAX_RETURN_S / 2) + self.return_phase * MAX_RETURN_S / 2


class ScarceShards:
    """Plans the shards of each query by the calls that this router has sent to them."""

    __slots__ = ("_histories", "_least_left_out")

    def __init__(self) -> None:
        self._histories: dict[str, _History] = {}
        self._least_left_out = MAX_SHARDS  # by any kind of query

    def plan(self, shards: Sequence[ShardLoad], needs: QueryNeeds, now_s: float) -> ShardPlan:
        """Decide which shards a query leaves out, and count its calls to the others.

        Without a reachable server, a shard is left out. Of the shards that are expected to be late,
        and of those without enough capacity, a query leaves out as many as it may: first the one
        whose next call is the last to be answered, which changes with each call. A query that may
        leave out all of them calls only those that are in time and without a backlog. If every kind
        of query may leave out all of them, it calls all that are in time, as a part that it lacks
        costs its answer more than the wait for it.
        """
        candidates = self._candidates(shards, needs, now_s)
        left_out = candidates[: max(0, needs.max_left_out)]
        needed = candidates[len(left_out) :]
        wait_s = self._refusal_s(needed, needs, now_s)
        if wait_s is not None:
            return ShardPlan(refused_wait_s=wait_s)
        probed = [load.name for load in left_out if self._is_probe_due(load.name, now_s)]
        names = frozenset(load.name for load in left_out).difference(probed)
        for load in shards:
            if load.name not in names:
                history = self._histories[load.name]
                history.backlog_s += needs.work_s
                history.called_s = now_s
        return ShardPlan(tuple(load.name for load in left_out), tuple(probed))

    def _candidates(
        self, shards: Sequence[ShardLoad], needs: QueryNeeds, now_s: float
    ) -> list[ShardLoad]:
        """Count a query at all shards, and return those to leave out, the first one first."""
        if len(self._histories) > MAX_SHARDS:
            self._histories.clear()
        missing: list[ShardLoad] = []
        short: list[tuple[float, ShardLoad]] = []
        in_time: list[ShardLoad] = []
        idle: list[ShardLoad] = []
        for load in shards:
            history = self._histories.setdefault(load.name, _History(now_s))
            history.update(load, needs.work_s, now_s)
            if not load.capacity:
                missing.append(load)
                continue
            is_late = _is_late(load, needs)
            if is_late or (history.is_scarce(load) and _is_late(load, needs, STRAIN_RATIO)):
                expected_s = load.call_s if load.expected_s is None else load.expected_s
                short.append((history.drain_s(load) + expected_s, load))
                if not is_late:
                    in_time.append(load)
                    if history.backlog_s <= 0:
                        idle.append(load)
        short.sort(key=lambda item: item[0], reverse=True)
        candidates = missing + [load for _, load in short]
        self._least_left_out = min(self._least_left_out, needs.max_left_out)
        if len(candidates) > needs.max_left_out:
            return candidates
        is_scarce_for_others = len(candidates) > self._least_left_out
        kept = idle if is_scarce_for_others else in_time
        return [load for load in candidates if load not in kept]

    def _refusal_s(self, needed: list[ShardLoad], needs: QueryNeeds, now_s: float) -> float | None:
        """Return when a query may return if shards that it needs cannot answer it in time.

        At a shard whose servers are too slow for the latency target even without a queue, queries
        within the capacity are answered late, as no other query is answered sooner instead.
        """
        refusals_s = []
        for load in needed:
            history = self._histories[load.name]
            if not load.capacity:
                if not self._is_probe_due(load.name, now_s):
                    due_s = history.called_s + PROBE_INTERVAL_S - now_s
                    refusals_s.append(history.return_s(due_s))
                continue
            if not history.is_scarce(load) or not _is_late(load, needs, REFUSAL_RATIO):
                continue
            wait_s = history.wait_s(load, needs.work_s)
            slack_s = max(0.0, needs.soft_patience_s - load.call_s)
            excess_s = max(
                wait_s - SLACK_FACTOR * slack_s, wait_s + load.call_s - needs.hard_patience_s
            )
            if excess_s > 0:
                refusals_s.append(history.return_s(excess_s))
        return max(refusals_s, default=None)

    def _is_probe_due(self, name: str, now_s: float) -> bool:
        """Return whether the shard has had no call for a while and its calls are worked off."""
        history = self._histories[name]
        return history.backlog_s <= 0 and now_s - history.called_s >= PROBE_INTERVAL_S


def _is_late(load: ShardLoad, needs: QueryNeeds, ratio: float = 1.0) -> bool:
    """Return whether the present queues take more than a ratio of the time that is left."""
    return load.expected_s is None or load.expected_s > ratio * needs.soft_patience_s
