"""Figures that only some scenarios have, computed from their runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from benchmarks.results import (
    coverage,
    coverage_fraction,
    fit_line,
    fit_non_decreasing_line,
    percentiles,
)
from fighinge.queries import QueryError

if TYPE_CHECKING:
    from benchmarks.driver import StepRun

ROLES = ("entry", "aggregator")
TARGET_PROCESSES = 460
RAISED_LATENCY_RATIO = 1.5


def throughput(runs: list[StepRun]) -> dict[str, object]:
    """Return processor time per query by fan-out, with the slope per backend server.

    Includes what a role uses without queries, divided by the number of queries.
    """
    points = []
    for run in runs:
        query_count = max(1, len(run.samples))
        point = {"fan_out": run.step.size, "queries_per_s": round(query_count / run.elapsed_s, 1)}
        for role in ROLES:
            point[f"{role}_ms_per_query"] = round(
                run.usage[role].processor_s * 1000 / query_count, 3
            )
        points.append(point)
    result: dict[str, object] = {"points": points}
    for role in ROLES:
        costs = [(point["fan_out"], point[f"{role}_ms_per_query"]) for point in points]
        slope, intercept = fit_line(costs)
        result[f"{role}_ms_per_call"] = round(slope, 4)
        result[f"{role}_ms_per_query_alone"] = round(intercept, 3)
    return result


def server_counters(runs: list[StepRun]) -> dict[str, object]:
    """Return the counters of the backend servers."""
    run = runs[-1]
    names = ("searches", "cancelled", "shed", "past_deadline", "connections_opened")
    counts: dict[str, object] = {name: run.counter_sum(name) for name in names}
    peak_connections = max(counters.peak_connections for counters in run.counters.values())
    return {**counts, "peak_connections": peak_connections}


def overload(runs: list[StepRun]) -> dict[str, object]:
    """Return latency and coverage of class ``desk`` under overload, and the useful work.

    ``useful_share`` is the rate of queries, weighted by coverage, as a fraction of the capacity.
    """
    unloaded, loaded = runs
    shape = loaded.step.shape
    desk = [sample for sample in loaded.samples if sample.stream.service == "desk"]
    unloaded_ms, loaded_ms = percentiles(unloaded.samples), percentiles(desk)
    useful_queries = sum(coverage_fraction(sample) for sample in loaded.samples)
    capacity_per_s = shape.replicas * shape.slots / (shape.service_ms / 1000)
    figures = {
        "desk_p99_unloaded_ms": unloaded_ms.get("p99", 0.0),
        "desk_p99_ms": loaded_ms.get("p99", 0.0),
        "desk_coverage": coverage(desk),
        "useful_share": round(useful_queries / loaded.step.duration_s / capacity_per_s, 4),
        "shed": loaded.counter_sum("shed"),
    }
    if unloaded_ms and loaded_ms:
        figures["desk_p99_ratio"] = round(loaded_ms["p99"] / unloaded_ms["p99"], 3)
    return figures


def cold_start(runs: list[StepRun]) -> dict[str, object]:
    """Return how often cold servers were overloaded, and the seconds with raised latency.

    Latency is raised in a second whose median exceeds ``RAISED_LATENCY_RATIO`` times the highest
    one before the fault.
    """
    run = runs[-1]
    by_second: dict[int, list[float]] = {}
    for sample in run.samples:
        by_second.setdefault(int(sample.scheduled_s), []).append(sample.latency_ms)
    medians = {
        second: sorted(latencies)[len(latencies) // 2] for second, latencies in by_second.items()
    }
    # The scenario injects its first fault at 3 s.
    before_ms = max(medians.get(second, 0.0) for second in (0, 1, 2))
    raised_seconds = [
        second for second, value in medians.items() if value > RAISED_LATENCY_RATIO * before_ms
    ]
    return {
        "overloaded_moments": run.counter_sum("overloaded_moments"),
        "shed": run.counter_sum("shed"),
        "seconds_raised": len(raised_seconds),
        **server_counters(runs),
    }


def crasher(runs: list[StepRun]) -> dict[str, object]:
    """Return how many backend servers each crash-causing request brought down."""
    crashes_by_id: dict[str, int] = {}
    for counters in runs[-1].counters.values():
        for crash_id, count in counters.crashes.items():
            crashes_by_id[crash_id] = crashes_by_id.get(crash_id, 0) + count
    return {
        "servers_lost": crashes_by_id,
        "servers_lost_per_mark": max(crashes_by_id.values(), default=0),
    }


def fault_measurements(runs: list[StepRun]) -> dict[str, object]:
    """Return what the injected faults measured."""
    return dict(runs[-1].measurements)


def data_centre(runs: list[StepRun]) -> dict[str, object]:
    """Return latency and coverage before, during and after an evacuation."""
    run = runs[-1]
    # The scenario evacuates the data centre at 5 s and returns it to service at 12 s.
    phases = {"before": (0.0, 5.0), "during": (5.0, 12.0), "after": (12.0, 1e9)}
    result: dict[str, object] = dict(run.measurements)
    for name, (start_s, end_s) in phases.items():
        samples = [sample for sample in run.samples if start_s <= sample.scheduled_s < end_s]
        result[name] = {"latency_ms": percentiles(samples), "coverage": coverage(samples)}
    return result


def rolling_restart(runs: list[StepRun]) -> dict[str, object]:
    """Return the number of failed queries and the exit codes of the restarted processes."""
    run = runs[-1]
    failed = sum(isinstance(sample.result, QueryError) for sample in run.samples)
    exit_codes = run.measurements.get("exit_codes", [])
    return {"failed": failed, "restarts": len(exit_codes), "exit_codes": sorted(set(exit_codes))}


def control_cost(runs: list[StepRun]) -> dict[str, object]:
    """Return the idle cost per process by fleet size, extrapolated to the target size."""
    points = []
    for run in runs:
        size = run.step.size
        processor_s = sum(run.idle_usage[role].processor_s for role in ROLES)
        points.append(
            {
                "processes": size,
                "processor_share": round(processor_s / size, 5),
                "rss_bytes": max(run.idle_usage[role].rss_bytes for role in ROLES),
                "bytes_per_s": round(run.idle_bytes_per_s / size),
            }
        )
    result: dict[str, object] = {"points": points, "slopes": {}, "at_460": {}}
    for name in ("processor_share", "rss_bytes", "bytes_per_s"):
        slope, intercept = fit_non_decreasing_line(
            [(point["processes"], point[name]) for point in points]
        )
        result["slopes"][name] = [slope, intercept]
        result["at_460"][name] = round(slope * TARGET_PROCESSES + intercept, 5)
    return result
