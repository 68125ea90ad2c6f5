"""The table of scenarios: load, faults, policies and the figures of their own."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from benchmarks import faults, figures
from benchmarks.driver import FIGHINGE, FLOOR, PLAIN, Run
from benchmarks.faults import Fault
from benchmarks.load import Stream
from benchmarks.shapes import VAQUERO, Shape

replace = msgspec.structs.replace


class Step(msgspec.Struct, frozen=True, kw_only=True):
    """A fleet and the load on it; a scenario with several measures a slope."""

    shape: Shape = VAQUERO
    streams: tuple[Stream, ...] = ()
    warm_up_s: float = 3.0
    idle_s: float = 0.0
    duration_s: float = 12.0
    label: str = ""
    size: int = 0


class Scenario(msgspec.Struct, frozen=True, kw_only=True):
    """What is measured and under which policies; ``target`` says what is to be reached."""

    name: str
    purpose: str
    steps: tuple[Step, ...]
    faults: tuple[Fault, ...] = ()
    policies: tuple[str, ...] = (PLAIN, FIGHINGE, FLOOR)
    figures: Callable[[list[Run]], dict[str, object]] | None = None
    checks_executions: bool = False


def _fan_out(count: int, rate_per_s: float) -> Step:
    shape = Shape(
        zones=("sa-1",), hosts_per_zone=1, groups=count, replicas=1, shards_per_group=1, slots=50,
        connection_limit=100, service_ms=2.0, one_way_ms=0.0, client_way_ms=0.0,
    )  # fmt: skip
    streams = (Stream(rate_per_s=rate_per_s),)
    return Step(
        shape=shape, streams=streams, warm_up_s=1.5, idle_s=1.5, duration_s=5.0, size=count,
        label=f"fan-out {count}",
    )  # fmt: skip


SCENARIOS = (
    Scenario(
        name="straggler",
        purpose="1 call in 100 takes 10 times as long; each query goes to 25 backend servers",
        steps=(Step(streams=(Stream(rate_per_s=60.0),)),),
        faults=(faults.behave(0.0, straggler_share=0.01, straggler_factor=10.0),),
    ),
    Scenario(
        name="throughput",
        purpose="processor time of a query against its fan-out, one entry and one aggregator",
        steps=(_fan_out(3, 120.0), _fan_out(10, 50.0), _fan_out(30, 20.0), _fan_out(100, 6.0)),
        policies=(PLAIN, FIGHINGE),
        figures=figures.throughput,
    ),
)


def find(name: str) -> Scenario | None:
    """Return a scenario by its name."""
    return next((scenario for scenario in SCENARIOS if scenario.name == name), None)
