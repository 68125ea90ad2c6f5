"""Runs a scenario under each of its policies and collects the results."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from typing import TYPE_CHECKING

import msgspec

from benchmarks import results
from benchmarks.fleet import MeasuredFleet
from benchmarks.guarantees import violated_guarantees
from benchmarks.load import Callers, Sample, run_stream
from demo.fleet import ENTRY_PORT
from fighinge.queries import QueryError

if TYPE_CHECKING:
    from benchmarks.scenarios import Scenario, Step
    from benchmarks.usage import Usage
    from standins.behaviour import Counters

# FLOOR measures the default settings without the faults of the scenario.
PLAIN, FIGHINGE, FLOOR = "plain", "fighinge", "floor"
POLICY_SETTINGS = {PLAIN: "[aggregator]\npolicy = plain\n", FIGHINGE: "", FLOOR: ""}
ROLES = ("entry", "aggregator")


class StepRun(msgspec.Struct, kw_only=True):
    """What was measured in one step under one policy."""

    policy: str
    step: Step
    fleet: MeasuredFleet
    samples: list[Sample]
    elapsed_s: float
    usage: dict[str, Usage]
    idle_usage: dict[str, Usage]
    idle_bytes_per_s: float
    counters: dict[str, Counters]
    executions: dict[str, dict[str, int]]
    measurements: dict[str, object]

    def counter_sum(self, name: str) -> int:
        """Return the sum of a counter over all backend servers."""
        return sum(getattr(counters, name) for counters in self.counters.values())

    def extra_load(self) -> float:
        """Return the calls beyond one per group and query, as a fraction of these.

        Queries that were reported as not run need no call.
        """
        refused = sum(
            isinstance(sample.result, QueryError) and sample.result.not_run
            for sample in self.samples
        )
        needed = (len(self.samples) - refused) * self.step.shape.groups
        return round(self.counter_sum("searches") / needed - 1, 4) if needed else 0.0


async def run_scenario(scenario: Scenario, seed: int) -> results.ScenarioResult:
    """Run a scenario under its policies, one after the other."""
    load_average = round(os.getloadavg()[0], 1)
    policies = [await _run_policy(scenario, policy, seed) for policy in scenario.policies]
    flattened = [result.flattened() for result in policies]
    return results.ScenarioResult(scenario.name, seed, load_average, flattened)


async def _run_policy(scenario: Scenario, policy: str, seed: int) -> results.PolicyResult:
    runs = []
    for step in scenario.steps:
        print_progress(f"{scenario.name}: {policy} {step.label}".rstrip())
        runs.append(await _run_step(scenario, step, policy, seed))
    samples = [sample for run in runs for sample in run.samples]
    violations: dict[str, int] = {}
    for run in runs:
        _count_violations(run, violations)
    figures = scenario.figures(runs) if scenario.figures else {}
    return results.PolicyResult(
        policy=policy,
        latency_ms=results.percentiles(samples),
        coverage=results.coverage(samples),
        extra_load=runs[-1].extra_load(),
        errors=results.errors_by_kind(samples),
        violations=violations,
        queries=len(samples),
        figures=figures,
    )


async def _run_step(scenario: Scenario, step: Step, policy: str, seed: int) -> StepRun:
    samples: list[Sample] = []
    measurements: dict[str, object] = {}
    async with MeasuredFleet(step.shape, POLICY_SETTINGS[policy], seed) as fleet:
        callers = Callers(fleet, step.shape, lambda address: f"http://{address}:{ENTRY_PORT}")
        try:
            await _run_load(step, callers, seed + 1, step.warm_up_s, [])
            idle_usage, idle_bytes_per_s = await _measure_idle(fleet, step.idle_s)
            counters = await fleet.counters()
            usage = {role: fleet.usage(role) for role in ROLES}
            started_s = time.monotonic()
            async with asyncio.TaskGroup() as group:
                group.create_task(_run_load(step, callers, seed, step.duration_s, samples))
                for fault in scenario.faults if policy != FLOOR else ():
                    group.create_task(_inject_at(fault, fleet, measurements))
            elapsed_s = time.monotonic() - started_s
            return StepRun(
                policy=policy,
                step=step,
                fleet=fleet,
                samples=samples,
                elapsed_s=elapsed_s,
                usage={role: fleet.usage(role).since(usage[role]) for role in ROLES},
                idle_usage=idle_usage,
                idle_bytes_per_s=idle_bytes_per_s,
                counters=_counter_differences(await fleet.counters(), counters),
                executions=await fleet.executions() if scenario.checks_executions else {},
                measurements=measurements,
            )
        finally:
            callers.close()


async def _run_load(
    step: Step, callers: Callers, seed: int, duration_s: float, samples: list[Sample]
) -> None:
    async with asyncio.TaskGroup() as group:
        for stream in step.streams:
            work = run_stream(stream, callers, seed, duration_s, samples.append)
            group.create_task(work)
        group.create_task(asyncio.sleep(duration_s))


async def _measure_idle(fleet: MeasuredFleet, idle_s: float) -> tuple[dict[str, Usage], float]:
    """Return the usage per second of each role, and all datagram bytes per second, when idle."""
    if not idle_s:
        return {}, 0.0
    sent_bytes = await fleet.sent_bytes()
    before = {role: fleet.usage(role) for role in ROLES}
    await asyncio.sleep(idle_s)
    rates = {role: fleet.usage(role).since(before[role]).per_second(idle_s) for role in ROLES}
    return rates, (await fleet.sent_bytes() - sent_bytes) / idle_s


async def _inject_at(fault, fleet: MeasuredFleet, measurements: dict[str, object]) -> None:
    await asyncio.sleep(fault.at_s)
    print_progress(f"  {fault.at_s:.1f} s: {fault.name}")
    await fault.inject(fleet, measurements)


def _counter_differences(
    now: dict[str, Counters], earlier: dict[str, Counters]
) -> dict[str, Counters]:
    """Return the increase of counters; peaks and counts by identifier keep their values."""
    changed = {}
    for server, counters in now.items():
        counts = msgspec.structs.asdict(counters)
        for name, before in msgspec.structs.asdict(earlier[server]).items():
            if isinstance(before, int) and not name.startswith("peak"):
                counts[name] -= before
        changed[server] = type(counters)(**counts)
    return changed


def _count_violations(run: StepRun, violations: dict[str, int]) -> None:
    for sample in run.samples:
        for guarantee in violated_guarantees(sample, run.fleet.document):
            violations[guarantee] = violations.get(guarantee, 0) + 1
    if run.executions:
        _count_execution_violations(run, violations)


def _count_execution_violations(run: StepRun, violations: dict[str, int]) -> None:
    """Count queries that ran more than once, or ran although they were reported as not run."""
    shape = run.step.shape
    groups = [shape.server_names(group) for group in range(shape.groups)]
    for sample in run.samples:
        request_id, result = sample.request.request_id, sample.result
        ran = [
            sum(run.executions[server].get(request_id, 0) for server in servers)
            for servers in groups
        ]
        if not sample.request.repeatable and max(ran) > 1:
            violations["at_most_once"] = violations.get("at_most_once", 0) + 1
        if isinstance(result, QueryError) and result.not_run and max(ran) > 0:
            violations["not_run"] = violations.get("not_run", 0) + 1


def print_progress(text: str) -> None:
    """Print the current action with the time to standard error."""
    print(f"{time.strftime('%H:%M:%S')} {text}", file=sys.stderr, flush=True)
