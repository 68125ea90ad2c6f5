"""What a run of a scenario is told as."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from hdrh.histogram import HdrHistogram

from fighinge.queries import QueryError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from benchmarks.load import Sample

MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = {"p50": 50, "p90": 90, "p99": 99, "p999": 99.9}


class PolicyResult(msgspec.Struct):
    """What one policy reached; ``figures`` are the scenario's scenario_figures."""

    policy: str
    latency_ms: dict[str, float]
    coverage: dict[str, float]
    extra_load: float
    errors: dict[str, int]
    violations: dict[str, int]
    queries: int
    figures: dict[str, object] = {}

    def flattened(self) -> dict[str, object]:
        """Return the result with the scenario's scenario_figures figures beside the common ones."""
        fields = msgspec.structs.asdict(self)
        scenario_figures = fields.pop("figures")
        return {**fields, **scenario_figures}


class ScenarioResult(msgspec.Struct):
    """All policies of one scenario; the load average is the machine's before the run."""

    scenario: str
    seed: int
    load_average: float
    policies: list[dict[str, object]]


def percentiles(samples: Iterable[Sample]) -> dict[str, float]:
    """Return the latencies of the queries that were answered, in milliseconds."""
    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for sample in samples:
        if not isinstance(sample.result, QueryError):
            histogram.record_value(max(1, round(sample.latency_ms * 1000)))
    if not histogram.total_count:
        return {}
    return {
        name: round(histogram.get_value_at_percentile(percent) / 1000, 2)
        for name, percent in PERCENTILES.items()
    }


def coverage(samples: Iterable[Sample]) -> dict[str, float]:
    """Return the coverage over all queries; an error counts as what it still covered."""
    fractions = [coverage_fraction(sample) for sample in samples]
    if not fractions:
        return {"mean": 0.0, "min": 0.0}
    return {"mean": round(sum(fractions) / len(fractions), 5), "min": round(min(fractions), 5)}


def coverage_fraction(sample: Sample) -> float:
    """Return the share of shards that a query's answer included."""
    return 0.0 if isinstance(sample.result, QueryError) else sample.result.coverage.share


def errors_by_kind(samples: Iterable[Sample]) -> dict[str, int]:
    """Count errors by their kind."""
    counts: dict[str, int] = {}
    for sample in samples:
        if isinstance(sample.result, QueryError):
            kind = sample.result.kind.value
            counts[kind] = counts.get(kind, 0) + 1
    return counts


def fit_line(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Return slope and intercept of the least-squares line through points."""
    count = len(points)
    mean_x = sum(x for x, _y in points) / count
    mean_y = sum(y for _x, y in points) / count
    x_variation = sum((x - mean_x) ** 2 for x, _y in points) or 1.0
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / x_variation
    return slope, mean_y - slope * mean_x


def fit_non_decreasing_line(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Return the line through points; a falling one counts as level, at the highest point."""
    slope, intercept = fit_line(points)
    return (slope, intercept) if slope > 0 else (0.0, max(y for _x, y in points))


def max_relative_deviation(
    points: list[tuple[float, float]], slope: float, intercept: float
) -> float:
    """Return how far a point lies off a line at most, as a share of the largest value."""
    largest = max(abs(y) for _x, y in points) or 1.0
    return max(abs(y - slope * x - intercept) for x, y in points) / largest
