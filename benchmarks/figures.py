"""The figures that scenarios have of their own, from their runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from benchmarks.results import slope

if TYPE_CHECKING:
    from benchmarks.driver import Run

ROLES = ("entry", "aggregator")


def throughput(runs: list[Run]) -> dict[str, object]:
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
