"""Compares aggregator policies over stand-in backend servers in virtual time.

Usage: ``python -m benchmarks.decisions NAME --seed N``; docs/decisions/ records the figures.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from typing import TYPE_CHECKING

import defopt
import msgspec

from fighinge.aggregator.policy import Policy
from fighinge.aggregator.service import AggregatorService
from fighinge.groups import GroupMap
from fighinge.messages import GroupShards, Search, SubQuery
from fighinge.model import Document
from standins.backend import StandinServer
from standins.direct import DirectBackendClient
from standins.records import shard_map
from tests import virtual_time

if TYPE_CHECKING:
    from collections.abc import Callable

    from fighinge.messages import GroupOutcome

FULL_POLICY, PLAIN_POLICY = Policy(), Policy.plain()
SLOTS = 4
SERVICE_MS = 5.0


class QueryStream(msgspec.Struct, frozen=True, kw_only=True):
    """Queries of one class with Poisson arrivals."""

    query_class: str = "desk"
    rate_per_s: float = 50.0
    deadline_s: float = 1.0
    is_idempotent: bool = True


class Simulation:
    """One aggregator with stand-in backend servers, and the outcomes of its queries."""

    def __init__(self, policy: Policy, seed: int, *, groups: int, replicas: int = 3, zones=1):
        self.document = _document(groups, replicas, zones)
        self.standins = {
            name: StandinServer(name, self.document, seed) for name in self.document.backend_servers
        }
        self.clock = asyncio.get_running_loop().time
        client = DirectBackendClient(self.standins.values())
        self.service = AggregatorService(client, self.clock, zone="z0", policy=policy, seed=seed)
        self.service.configure(self.document)
        self.random = random.Random(seed)
        self.latencies_ms: dict[str, list[float]] = {}
        self.outcome_counts: Counter = Counter()
        self.false_not_run_count = 0
        self._polling = asyncio.create_task(self.service.poll_states())
        self._sub_query_count = 0
        self._shards = tuple(
            GroupShards(name, shards)
            for name, shards in GroupMap.from_document(self.document)
            .shards_by_group(self.document, "c", 1)
            .items()
        )

    async def load(
        self, streams: list[QueryStream], duration_s: float, *, is_recorded: bool = True
    ) -> None:
        """Send the queries of all streams and wait for the last answer.

        :param is_recorded: whether the outcomes count in the figures (not during the warm-up)
        """
        await asyncio.gather(*(self._send(stream, duration_s, is_recorded) for stream in streams))

    async def _send(self, stream: QueryStream, duration_s: float, is_recorded: bool) -> None:
        queries = []
        end_s = self.clock() + duration_s
        while self.clock() < end_s:
            queries.append(asyncio.create_task(self.query(stream, is_recorded=is_recorded)))
            await asyncio.sleep(self.random.expovariate(stream.rate_per_s))
        await asyncio.gather(*queries)

    async def query(
        self, stream: QueryStream, *, is_recorded: bool = True, **changes
    ) -> list[GroupOutcome]:
        """Send one query to all groups and return their outcomes."""
        self._sub_query_count += 1
        outcomes: list[GroupOutcome] = []
        done = asyncio.Event()

        def reply(_call: int, outcome: GroupOutcome) -> None:
            outcomes.append(outcome)
            if len(outcomes) == len(self._shards):
                done.set()

        fields = {
            "call": self._sub_query_count,
            "request_id": f"r{self._sub_query_count}",
            "service": stream.query_class,
            "collection": "c",
            "index_version": 1,
            "query_class": stream.query_class,
            "tenant": "t1",
            "groups": self._shards,
            "search": Search(limit=1),
            "remaining_s": stream.deadline_s,
            "repeatable": stream.is_idempotent,
            "fingerprint": f"f{self._sub_query_count}",
            "configuration_version": 1,
        }
        started_s = self.clock()
        self.service.submit(SubQuery(**(fields | changes)), reply)
        await done.wait()
        if is_recorded:
            self._record(stream, outcomes, self.clock() - started_s)
        return outcomes

    def _record(self, stream: QueryStream, outcomes: list[GroupOutcome], elapsed_s: float) -> None:
        if all(not outcome.missing for outcome in outcomes):
            self.outcome_counts[stream.query_class, "whole"] += 1
            self.latencies_ms.setdefault(stream.query_class, []).append(elapsed_s * 1000)
            return
        for outcome in outcomes:
            for missing in outcome.missing[:1]:
                self.outcome_counts[stream.query_class, missing.kind.value] += 1
            ran = any(attempt.result != "not_connected" for attempt in outcome.attempts)
            self.false_not_run_count += bool(outcome.missing) and not outcome.sent and ran

    def quantile_ms(self, query_class: str, quantile: float) -> float:
        """Return a latency quantile of a class's complete answers."""
        ordered = sorted(self.latencies_ms.get(query_class, [float("nan")]))
        return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]

    def extra_load(self) -> float:
        """Return retries and hedges as a fraction of the first calls."""
        class_budgets = self.service.shared.budgets
        budgets = [class_budgets.for_class(name) for name in self.document.classes]
        searches = sum(standin.counters.searches for standin in self.standins.values())
        first_calls = sum(budget.first_calls for budget in budgets)
        return searches / first_calls - 1

    def counter_sum(self, name: str) -> int:
        """Return the sum of a counter over all stand-ins."""
        return sum(getattr(standin.counters, name) for standin in self.standins.values())

    def set_behaviour(self, **changes) -> None:
        """Set behaviour fields of every stand-in."""
        for standin in self.standins.values():
            for name, value in changes.items():
                setattr(standin.behaviour, name, value)

    def print_figures(self, label: str) -> None:
        """Print latencies, extra load and outcomes."""
        for query_class, latencies in sorted(self.latencies_ms.items()):
            quantiles = " ".join(
                f"p{percent:g} {self.quantile_ms(query_class, percent / 100):.1f}"
                for percent in (50, 99, 99.9)
            )
            print(f"{label}: {query_class} {len(latencies)} complete answers, ms: {quantiles}")
        print(
            f"{label}: extra load {self.extra_load():.2%}, shed {self.counter_sum('shed')},",
            end=" ",
        )
        print(f"overloaded moments {self.counter_sum('overloaded_moments')},", end=" ")
        print(f"reported as not run although run {self.false_not_run_count}")
        others = {
            " ".join(name): n for name, n in self.outcome_counts.items() if name[1] != "whole"
        }
        print(f"{label}: other outcomes {others}")


def _document(groups: int, replicas: int, zones: int) -> Document:
    servers = {
        f"b{number:03d}": {
            "host": "127.0.0.1",
            "port": 10_000 + number,
            "zone": f"z{number % zones}",
            "slots": SLOTS,
            "connection_limit": 35,
        }
        for number in range(groups * replicas)
    }

    def replicas_of(shard: int) -> list[str]:
        return [f"b{shard * replicas + number:03d}" for number in range(replicas)]

    raw = {
        "zones": {f"z{number}": {} for number in range(zones)},
        "classes": {"desk": {"weight": 8, "rank": 0}, "batch": {"weight": 1, "rank": 9}},
        "backend_servers": servers,
        "collections": {
            "c": {"snapshots": [{"index_version": 1, "shards": shard_map(groups, replicas_of)}]}
        },
        "services": {"desk": {"collection": "c", "query_class": "desk"}},
    }
    return msgspec.convert(raw, Document)


async def _warm_up(simulation: Simulation) -> None:
    await asyncio.sleep(0.6)
    await simulation.load([QueryStream(rate_per_s=60)], 2.0, is_recorded=False)


def _full_policy_with(**changes) -> Policy:
    return msgspec.structs.replace(FULL_POLICY, **changes)


async def straggler(seed: int) -> None:
    """Compare policies where 1 call in 100 takes 10 times as long, at a fan-out of 25 groups."""
    for label, policy, straggler_share in (
        ("plain, no stragglers", PLAIN_POLICY, 0.0),
        ("plain", PLAIN_POLICY, 0.01),
        ("full, no stragglers", FULL_POLICY, 0.0),
        ("full", FULL_POLICY, 0.01),
        ("full without hedges", _full_policy_with(hedging=False), 0.01),
    ):
        simulation = Simulation(policy, seed, groups=25)
        simulation.set_behaviour(straggler_share=straggler_share)
        await _warm_up(simulation)
        await simulation.load([QueryStream(rate_per_s=60)], 8.0)
        simulation.print_figures(label)


async def replica_choice(seed: int) -> None:
    """Compare replica choice over 2 data centres at 2 loads; 1 replica in 3 is 4 times as slow."""
    for offered_per_s in (60.0, 300.0):
        for label, policy in (
            ("random", _full_policy_with(latency_choice=False, hedging=False)),
            ("least expected time", _full_policy_with(hedging=False)),
        ):
            simulation = Simulation(policy, seed, groups=4, zones=2)
            for number, standin in enumerate(simulation.standins.values()):
                standin.behaviour.one_way_ms = 1.5 if number % 2 else 0.0
                if number % 3 == 0:
                    standin.behaviour.service_ms = 4 * SERVICE_MS
            await _warm_up(simulation)
            await simulation.load([QueryStream(rate_per_s=offered_per_s)], 4.0)
            simulation.print_figures(f"{label} at {offered_per_s:g}/s")


async def overload(seed: int) -> None:
    """Compare admission at twice the capacity of one group, most of it of class ``batch``."""
    capacity_per_s = 3 * SLOTS / (SERVICE_MS / 1000)
    desk = QueryStream(rate_per_s=0.2 * capacity_per_s, deadline_s=0.2)
    batch = QueryStream(query_class="batch", rate_per_s=1.8 * capacity_per_s, deadline_s=0.5)
    print(f"capacity {capacity_per_s:.0f} calls/s, offered twice that for 3 s")
    for label, policy, streams in (
        ("unloaded", FULL_POLICY, [desk]),
        ("one queue, no early refusal", PLAIN_POLICY, [desk, batch]),
        ("weighted, no early refusal", _full_policy_with(early_refusal=False), [desk, batch]),
        ("weighted, early refusal", FULL_POLICY, [desk, batch]),
    ):
        simulation = Simulation(policy, seed, groups=1)
        await _warm_up(simulation)
        started_s = simulation.clock()
        await simulation.load(streams, 3.0)
        answers = sum(len(latencies) for latencies in simulation.latencies_ms.values())
        answers_per_s = answers / (simulation.clock() - started_s)
        simulation.print_figures(label)
        print(f"{label}: useful work {answers_per_s / capacity_per_s:.1%} of capacity")


async def cold(seed: int) -> None:
    """Compare cold starts when all replicas turn cold unannounced, at 40% of capacity."""
    offered_per_s = 0.4 * 3 * SLOTS / (SERVICE_MS / 1000)
    for label, policy in (
        ("no cold start", _full_policy_with(cold_start=False)),
        ("full", FULL_POLICY),
    ):
        simulation = Simulation(policy, seed, groups=1)
        await _warm_up(simulation)
        before = simulation.counter_sum("overloaded_moments")
        for standin in simulation.standins.values():
            standin.begin_cold_start()
        started_s = simulation.clock()
        loading = asyncio.create_task(
            simulation.load([QueryStream(rate_per_s=offered_per_s, deadline_s=0.2)], 10.0)
        )
        full_limits_s = await _wait_for_full_limits(simulation) - started_s
        await loading
        simulation.print_figures(label)
        increase = simulation.counter_sum("overloaded_moments") - before
        print(f"{label}: full limits after {full_limits_s:.2f} s, overloaded moments {increase}")


async def _wait_for_full_limits(simulation: Simulation) -> float:
    """Wait until the concurrency limit of every server is back at its number of slots.

    :returns: the time at which it is, or at which the wait was given up after about 10 s
    """
    await asyncio.sleep(0.2)
    for _number in range(1000):
        servers = [
            server for group in simulation.service.groups() for server in group.servers.values()
        ]
        if all(server.concurrency_limit() == SLOTS for server in servers):
            break
        await asyncio.sleep(0.01)
    return simulation.clock()


async def group_down(seed: int) -> None:
    """Compare policies where one group of four refuses all connections or sheds all calls."""
    for label, changes in (("absent", {"absent": True}), ("sheds", {"shed_share": 1.0})):
        for name, policy in (("plain", PLAIN_POLICY), ("full", FULL_POLICY)):
            simulation = Simulation(policy, seed, groups=4)
            await _warm_up(simulation)
            for standin in list(simulation.standins.values())[:3]:
                for field, value in changes.items():
                    setattr(standin.behaviour, field, value)
            await simulation.load([QueryStream(rate_per_s=200)], 5.0)
            simulation.print_figures(f"{name}, {label}")


SCENARIOS: dict[str, Callable] = {
    "straggler": straggler,
    "choice": replica_choice,
    "overload": overload,
    "cold": cold,
    "group-down": group_down,
}


def decisions(name: str, *, seed: int = 1) -> None:
    """Run one comparison.

    :param name: straggler, choice, overload, cold or group-down
    :param seed: seed of arrivals, service times and replica choices
    """
    virtual_time.run(SCENARIOS[name](seed))


if __name__ == "__main__":
    defopt.run(decisions)
