"""The figures that scenarios have of their own, from their runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from benchmarks.results import coverage, growth, percentiles, share_of, slope
from fighinge.queries import QueryError

if TYPE_CHECKING:
    from benchmarks.driver import StepRun

ROLES = ("entry", "aggregator")
TARGET_PROCESSES = 460
RECOVERED_RATIO = 1.5


def throughput(runs: list[StepRun]) -> dict[str, object]:
    """Return processor time per query by fan-out, with the slope per backend server.

    What a role uses without queries is left out.
    """
    points = []
    for run in runs:
        answered = max(1, len(run.samples))
        point = {"fan_out": run.step.size, "queries_per_s": round(answered / run.took_s, 1)}
        for role in ROLES:
            point[f"{role}_ms_per_query"] = round(run.usage[role].processor_s * 1000 / answered, 3)
        points.append(point)
    found: dict[str, object] = {"points": points}
    for role in ROLES:
        line = [(point["fan_out"], point[f"{role}_ms_per_query"]) for point in points]
        gradient, intercept = slope(line)
        found[f"{role}_ms_per_call"] = round(gradient, 4)
        found[f"{role}_ms_per_query_alone"] = round(intercept, 3)
    return found


def calls(runs: list[StepRun]) -> dict[str, object]:
    """Return what the backend servers counted."""
    run = runs[-1]
    names = ("searches", "cancelled", "shed", "past_deadline", "connections_opened")
    counts: dict[str, object] = {name: run.counted(name) for name in names}
    highest = max(counters.peak_connections for counters in run.counters.values())
    return {**counts, "peak_connections": highest}


def overload(runs: list[StepRun]) -> dict[str, object]:
    """Return how the desk fares beside the batches, and how much of the capacity is of use."""
    unloaded, loaded = runs
    shape = loaded.step.shape
    desk = [sample for sample in loaded.samples if sample.stream.service == "desk"]
    alone, beside = percentiles(unloaded.samples), percentiles(desk)
    whole = sum(share_of(sample) for sample in loaded.samples)
    capacity = shape.replicas * shape.slots / (shape.service_ms / 1000)
    figures = {
        "desk_p99_unloaded_ms": alone.get("p99", 0.0),
        "desk_p99_ms": beside.get("p99", 0.0),
        "desk_coverage": coverage(desk),
        "useful_share": round(whole / loaded.step.duration_s / capacity, 4),
        "shed": loaded.counted("shed"),
    }
    if alone and beside:
        figures["desk_p99_ratio"] = round(beside["p99"] / alone["p99"], 3)
    return figures


def cold_start(runs: list[StepRun]) -> dict[str, object]:
    """Return overloaded moments of cold servers and how long latency stayed raised."""
    run = runs[-1]
    by_second: dict[int, list[float]] = {}
    for sample in run.samples:
        by_second.setdefault(int(sample.at_s), []).append(sample.latency_ms)
    medians = {second: sorted(found)[len(found) // 2] for second, found in by_second.items()}
    before = max(medians.get(second, 0.0) for second in (0, 1, 2))
    raised = [second for second, value in medians.items() if value > RECOVERED_RATIO * before]
    return {
        "overloaded_moments": run.counted("overloaded_moments"),
        "shed": run.counted("shed"),
        "seconds_raised": len(raised),
        **calls(runs),
    }


def crasher(runs: list[StepRun]) -> dict[str, object]:
    """Return how many backend servers each marked request brought down."""
    lost: dict[str, int] = {}
    for counters in runs[-1].counters.values():
        for mark, count in counters.crashes.items():
            lost[mark] = lost.get(mark, 0) + count
    return {"servers_lost": lost, "servers_lost_per_mark": max(lost.values(), default=0)}


def noted(runs: list[StepRun]) -> dict[str, object]:
    """Return what the faults themselves have measured."""
    return dict(runs[-1].notes)


def data_centre(runs: list[StepRun]) -> dict[str, object]:
    """Return latency and coverage before, during and after an outage."""
    run = runs[-1]
    spans = {"before": (0.0, 5.0), "during": (5.0, 12.0), "after": (12.0, 1e9)}
    found: dict[str, object] = dict(run.notes)
    for name, (from_s, to_s) in spans.items():
        samples = [sample for sample in run.samples if from_s <= sample.at_s < to_s]
        found[name] = {"latency_ms": percentiles(samples), "coverage": coverage(samples)}
    return found


def rolling(runs: list[StepRun]) -> dict[str, object]:
    """Return failed queries and the exit codes of the stopped processes."""
    run = runs[-1]
    failed = sum(isinstance(sample.result, QueryError) for sample in run.samples)
    codes = run.notes.get("exit_codes", [])
    return {"failed": failed, "restarts": len(codes), "exit_codes": sorted(set(codes))}


def control_cost(runs: list[StepRun]) -> dict[str, object]:
    """Return the cost of control per process by fleet size, and the line at the target size."""
    points = []
    for run in runs:
        size = run.step.size
        processor_s = sum(run.idle[role].processor_s for role in ROLES)
        points.append(
            {
                "processes": size,
                "processor_share": round(processor_s / size, 5),
                "rss_bytes": max(run.idle[role].rss_bytes for role in ROLES),
                "bytes_per_s": round(run.idle_bytes_per_s / size),
            }
        )
    found: dict[str, object] = {"points": points, "slopes": {}, "at_460": {}}
    for name in ("processor_share", "rss_bytes", "bytes_per_s"):
        gradient, intercept = growth([(point["processes"], point[name]) for point in points])
        found["slopes"][name] = [gradient, intercept]
        found["at_460"][name] = round(gradient * TARGET_PROCESSES + intercept, 5)
    return found
