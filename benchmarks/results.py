"""Results of scenarios and the statistics that they contain."""

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
    """The result of one policy; ``figures`` holds those that only this scenario has."""

    policy: str
    latency_ms: dict[str, float]
    coverage: dict[str, float]
    extra_load: float
    errors: dict[str, int]
    violations: dict[str, int]
    queries: int
    figures: dict[str, object] = {}

    def flattened(self) -> dict[str, object]:
        """Return the fields as a dictionary, with the scenario's figures at the top level."""
        fields = msgspec.structs.asdict(self)
        scenario_figures = fields.pop("figures")
        return {**fields, **scenario_figures}


class ScenarioResult(msgspec.Struct):
    """The results of a scenario; ``load_average`` is that of the machine before the run."""

    scenario: str
    seed: int
    load_average: float
    policies: list[dict[str, object]]


def percentiles(samples: Iterable[Sample]) -> dict[str, float]:
    """Return latency percentiles of the answered queries, in milliseconds."""
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
    """Return mean and minimum of the coverage over all queries; errors count as 0."""
    fractions = [coverage_fraction(sample) for sample in samples]
    if not fractions:
        return {"mean": 0.0, "min": 0.0}
    return {"mean": round(sum(fractions) / len(fractions), 5), "min": round(min(fractions), 5)}


def coverage_fraction(sample: Sample) -> float:
    """Return the fraction of shards that an answer includes; 0 for an error."""
    return 0.0 if isinstance(sample.result, QueryError) else sample.result.coverage.share


def errors_by_kind(samples: Iterable[Sample]) -> dict[str, int]:
    """Return the number of errors by kind."""
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
    """Return slope and intercept; a falling line is replaced by the constant highest value."""
    slope, intercept = fit_line(points)
    return (slope, intercept) if slope > 0 else (0.0, max(y for _x, y in points))


def max_relative_deviation(
    points: list[tuple[float, float]], slope: float, intercept: float
) -> float:
    """Return the largest distance of a point from a line, relative to the largest value."""
    largest = max(abs(y) for _x, y in points) or 1.0
    return max(abs(y - slope * x - intercept) for x, y in points) / largest
