"""The scenarios: fleets, load, faults, policies, figures and targets."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from benchmarks import faults, figures
from benchmarks.driver import FIGHINGE, FLOOR, PLAIN, StepRun
from benchmarks.faults import Fault
from benchmarks.load import QueryStream
from benchmarks.shapes import FOUR_ZONE_FLEET, THREE_ZONE_FLEET, FleetShape

replace = msgspec.structs.replace


class Step(msgspec.Struct, frozen=True, kw_only=True):
    """A fleet and the load on it.

    ``size`` is the variable of scenarios that fit a line over their steps: fan-out or processes.
    """

    shape: FleetShape = THREE_ZONE_FLEET
    streams: tuple[QueryStream, ...] = ()
    warm_up_s: float = 3.0
    idle_s: float = 0.0
    duration_s: float = 12.0
    label: str = ""
    size: int = 0


class Target(msgspec.Struct, frozen=True):
    """Bounds of a figure of policy ``fighinge``; ``path`` is its dotted key in the result.

    A figure below ``min_credible`` shows that noise exceeded the compared effect.
    """

    path: str
    at_most: float = float("inf")
    at_least: float = float("-inf")
    min_credible: float = float("-inf")


class Scenario(msgspec.Struct, frozen=True, kw_only=True):
    """A benchmark: steps, faults, policies, figures and targets."""

    name: str
    purpose: str
    steps: tuple[Step, ...]
    faults: tuple[Fault, ...] = ()
    policies: tuple[str, ...] = (PLAIN, FIGHINGE, FLOOR)
    figures: Callable[[list[StepRun]], dict[str, object]] | None = None
    checks_executions: bool = False
    targets: tuple[Target, ...] = ()


def _fan_out_step(count: int, rate_per_s: float) -> Step:
    shape = FleetShape(
        zones=("sa-1",), hosts_per_zone=1, groups=count, replicas=1, shards_per_group=1, slots=50,
        connection_limit=100, service_ms=2.0, one_way_ms=0.0, client_one_way_ms=0.0,
    )  # fmt: skip
    streams = (QueryStream(rate_per_s=rate_per_s),)
    return Step(
        shape=shape, streams=streams, warm_up_s=1.5, idle_s=1.5, duration_s=5.0, size=count,
        label=f"fan-out {count}",
    )  # fmt: skip


def _idle_step(processes: int) -> Step:
    shape = FleetShape(
        zones=("sa-1", "sa-2"), hosts_per_zone=processes // 4, groups=1, standin_processes=1
    )
    return Step(shape=shape, idle_s=5.0, duration_s=0.0, warm_up_s=3.0, size=processes)


SMALL_FLEET = replace(THREE_ZONE_FLEET, groups=4, slots=2, service_ms=80.0, standin_processes=2)
TWO_GROUP_FLEET = replace(
    THREE_ZONE_FLEET, groups=2, service_ms=4.0, shards_per_group=1, deadline_s=3.0
)
SMALL_FLEET_SERVERS = SMALL_FLEET.groups * SMALL_FLEET.replicas
CAPACITY_PER_S = SMALL_FLEET.replicas * SMALL_FLEET.slots / (SMALL_FLEET.service_ms / 1000)
DESK_PER_S = 15.0
DROP_POINTS = ("accept", "before_run", "running", "before_answer", "in_answer", "after_answer")
AFFECTED_ZONE = FOUR_ZONE_FLEET.zones[1]

SCENARIOS = (
    Scenario(
        name="straggler",
        purpose="1 call in 100 takes 10 times as long; each query goes to 25 backend servers",
        steps=(Step(streams=(QueryStream(rate_per_s=15.0),), duration_s=32.0),),
        faults=(faults.set_behaviour(0.0, straggler_share=0.01, straggler_factor=10.0),),
        figures=figures.server_counters,
        targets=(
            Target("p99_to_floor", at_most=1.25, min_credible=0.95),
            Target("extra_load", at_most=0.05),
        ),
    ),
    Scenario(
        name="throughput",
        purpose="processor time of a query against its fan-out, one entry and one aggregator",
        steps=(
            _fan_out_step(3, 120.0),
            _fan_out_step(10, 50.0),
            _fan_out_step(30, 20.0),
            _fan_out_step(100, 6.0),
        ),
        policies=(PLAIN, FIGHINGE),
        figures=figures.throughput,
    ),
    Scenario(
        name="overload",
        purpose="twice the load that the slots carry, most of class batch, the rest of class desk",
        steps=(
            Step(
                shape=SMALL_FLEET, streams=(QueryStream(rate_per_s=DESK_PER_S),), label="unloaded"
            ),
            Step(
                shape=SMALL_FLEET,
                streams=(
                    QueryStream(rate_per_s=DESK_PER_S),
                    QueryStream(service="batch", rate_per_s=2 * CAPACITY_PER_S - DESK_PER_S),
                ),
                label="overload",
            ),
        ),
        policies=(PLAIN, FIGHINGE),
        figures=figures.overload,
        checks_executions=True,
        targets=(
            Target("desk_p99_ratio", at_most=1.5),
            Target("useful_share", at_least=0.9),
            Target("violations.not_run", at_most=0),
        ),
    ),
    Scenario(
        name="cold-start",
        purpose="a data centre's backend servers turn cold unannounced, later two servers restart",
        steps=(
            Step(
                shape=replace(SMALL_FLEET, service_ms=20.0), streams=(QueryStream(rate_per_s=60.0),)
            ),
        ),
        faults=(faults.begin_cold_start(3.0, "sa-2"), faults.restart_servers(7.0, 2, 1.0)),
        figures=figures.cold_start,
        targets=(Target("overloaded_moments", at_most=0),),
    ),
    Scenario(
        name="crasher",
        purpose="4 requests that crash backend servers are sent again and again to all entries",
        steps=(
            Step(
                shape=replace(SMALL_FLEET, service_ms=20.0),
                streams=(
                    QueryStream(rate_per_s=30.0),
                    QueryStream(rate_per_s=4.0, crash_variants=4),
                ),
            ),
        ),
        policies=(PLAIN, FIGHINGE),
        figures=figures.crasher,
        targets=(Target("servers_lost_per_mark", at_most=2),),
    ),
    Scenario(
        name="at-most-once",
        purpose="non-idempotent requests, connections dropped at every point, kills and pauses",
        steps=(
            Step(
                shape=TWO_GROUP_FLEET,
                streams=(QueryStream(rate_per_s=200.0, is_idempotent=False),),
                duration_s=26.0,
            ),
        ),
        faults=(
            *(
                faults.set_behaviour(1.0 + number, drop_at=point, drops_left=3)
                for number, point in enumerate(DROP_POINTS)
            ),
            faults.pause_process(8.0, "aggregator", 0, 1.5),
            faults.kill_and_restart(11.0, "aggregator", 2),
            faults.pause_process(14.0, "entry", 1, 1.5),
            faults.kill_and_restart(17.0, "entry", 3),
            faults.restart_servers(20.0, 2, 0.5),
        ),
        policies=(PLAIN, FIGHINGE),
        figures=figures.server_counters,
        checks_executions=True,
        targets=(
            Target("violations.at_most_once", at_most=0),
            Target("violations.not_run", at_most=0),
        ),
    ),
    Scenario(
        name="configuration",
        purpose="time until 24 processes use a patch, then one that a single reader can read",
        steps=(
            Step(
                shape=replace(SMALL_FLEET, zones=FOUR_ZONE_FLEET.zones, hosts_per_zone=3),
                streams=(QueryStream(rate_per_s=5.0),),
            ),
        ),
        faults=(
            faults.measure_propagation(1.0, "up"),
            faults.measure_propagation(6.0, "one_reader"),
        ),
        policies=(FIGHINGE,),
        figures=figures.fault_measurements,
        targets=(Target("spread_up_s", at_most=1.0), Target("spread_one_reader_s", at_most=5.0)),
    ),
    Scenario(
        name="data-centre",
        purpose="operators evacuate a data centre and return it to service",
        steps=(
            Step(
                shape=replace(FOUR_ZONE_FLEET, groups=8),
                streams=(QueryStream(rate_per_s=40.0),),
                duration_s=20.0,
            ),
        ),
        faults=(
            faults.set_zone_in_service(5.0, AFFECTED_ZONE, in_service=False),
            faults.measure_last_new_work(5.0, AFFECTED_ZONE, 6.0),
            faults.set_zone_in_service(12.0, AFFECTED_ZONE, in_service=True),
        ),
        policies=(PLAIN, FIGHINGE),
        figures=figures.data_centre,
        targets=(Target("last_new_work_s", at_most=2.0), Target("coverage.mean", at_least=1.0)),
    ),
    Scenario(
        name="rolling-restart",
        purpose="graceful restarts of every process under load",
        steps=(
            Step(
                shape=replace(FOUR_ZONE_FLEET, groups=8),
                streams=(QueryStream(rate_per_s=30.0),),
                duration_s=40.0,
            ),
        ),
        faults=(faults.rolling_restart(1.0, "aggregator"), faults.rolling_restart(1.0, "entry")),
        policies=(FIGHINGE,),
        figures=figures.rolling_restart,
        targets=(Target("failed", at_most=0), Target("coverage.min", at_least=1.0)),
    ),
    Scenario(
        name="hasty-restart",
        purpose="graceful restarts that do not wait until all see the new process as alive",
        steps=(
            Step(
                shape=replace(FOUR_ZONE_FLEET, groups=8),
                streams=(QueryStream(rate_per_s=30.0),),
                duration_s=40.0,
            ),
        ),
        faults=(
            faults.rolling_restart(1.0, "aggregator", waits_until_alive=False),
            faults.rolling_restart(1.0, "entry", waits_until_alive=False),
        ),
        policies=(FIGHINGE,),
        figures=figures.rolling_restart,
        targets=(Target("failed", at_most=0), Target("coverage.min", at_least=1.0)),
    ),
    Scenario(
        name="control-cost",
        purpose="idle processor time, memory and datagram bytes against the number of processes",
        steps=tuple(_idle_step(count) for count in (8, 16, 32, 64)),
        policies=(FIGHINGE,),
        figures=figures.control_cost,
        targets=(
            Target("at_460.processor_share", at_most=0.013),
            Target("at_460.rss_bytes", at_most=128 * 1024 * 1024),
            Target("at_460.bytes_per_s", at_most=29_000),
        ),
    ),
    Scenario(
        name="partition",
        purpose="a data centre's aggregators and entries are paused for 4 s and then resume",
        steps=(
            Step(
                shape=replace(FOUR_ZONE_FLEET, groups=8),
                streams=(QueryStream(rate_per_s=30.0),),
                duration_s=16.0,
            ),
        ),
        faults=(faults.pause_zone(3.0, AFFECTED_ZONE, 4.0), faults.measure_convergence(7.0)),
        policies=(PLAIN, FIGHINGE),
        figures=figures.fault_measurements,
        checks_executions=True,
        targets=(Target("agreement_s", at_most=5.0), Target("violations.not_run", at_most=0)),
    ),
    Scenario(
        name="history",
        purpose="most faults of the other scenarios in one run, every answer checked",
        steps=(
            Step(
                shape=replace(TWO_GROUP_FLEET, groups=3),
                streams=(
                    QueryStream(rate_per_s=270.0),
                    QueryStream(service="batch", rate_per_s=50.0, is_idempotent=False),
                    QueryStream(rate_per_s=1.0, crash_variants=2),
                ),
                duration_s=64.0,
            ),
        ),
        faults=(
            faults.set_behaviour(1.0, straggler_share=0.01),
            faults.begin_cold_start(5.0, "sa-2"),
            faults.kill_and_restart(9.0, "aggregator", 0),
            faults.platform_outage(12.0, 8.0),
            faults.pause_process(14.0, "aggregator", 3, 2.0),
            faults.set_zone_in_service(22.0, "sa-3", in_service=False),
            faults.kill_and_restart(26.0, "entry", 1),
            faults.set_zone_in_service(32.0, "sa-3", in_service=True),
            faults.pause_zone(38.0, "sa-1", 3.0),
            faults.restart_servers(46.0, 3, 1.0),
            faults.set_behaviour(50.0, zone="sa-2", drop_at="running", drops_left=2),
            faults.pause_process(54.0, "entry", 2, 2.0),
        ),
        policies=(FIGHINGE,),
        figures=figures.server_counters,
        checks_executions=True,
        targets=(Target("violations_total", at_most=0), Target("queries", at_least=20_000)),
    ),
)


def find_scenario(name: str) -> Scenario | None:
    """Return the scenario of a name, or none if there is none."""
    return next((scenario for scenario in SCENARIOS if scenario.name == name), None)
