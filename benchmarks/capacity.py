"""Extrapolates measured costs into docs/CAPACITY.md: ``python -m benchmarks.capacity``."""

from __future__ import annotations

from pathlib import Path

import defopt
import msgspec

from benchmarks.report import read_result
from benchmarks.results import fit_non_decreasing_line, max_relative_deviation
from benchmarks.shapes import FleetShape

RESULTS_DIRECTORY = Path(__file__).parent / "results"
CAPACITY_PAGE = Path(__file__).parent.parent / "docs" / "CAPACITY.md"
PAGE_TEMPLATE = Path(__file__).parent / "capacity.md"

# The target fleet. A daemon is a process with the work of an entry and of an aggregator.
DAEMONS = 460
BACKEND_SERVERS = 2_800
REPLICAS = 3
QUERIES_PER_S = 84_000
FAN_OUT = 640
CHANGES_PER_DAY = 310
DAY_S = 86_400
ZONES = 5
READERS_PER_ZONE = 3
WATCH_WAIT_S = 2.0
FALLBACK_READS_PER_S = 300.0  # 200 of values and 100 of the host list, by all other processes
STATE_POLLS_PER_S = 2.0  # for each backend server
BATCH_WINDOW_S = 0.005  # queries that meet within it would share a call or frame
RELAYS = 21  # about the square root of DAEMONS
# Limits for each daemon without queries; processor_share is a fraction of a core.
CONTROL_LIMITS = {"processor_share": 0.013, "rss_bytes": 128 * 1024**2, "bytes_per_s": 29_000}


class FittedLine(msgspec.Struct, frozen=True):
    """A least-squares line through measured points, with their largest relative deviation."""

    slope: float
    intercept: float
    relative_deviation: float
    min_size: float
    max_size: float

    @classmethod
    def fit(cls, points: list[tuple[float, float]]) -> FittedLine:
        """Return the least-squares line through points; a falling one is replaced by a constant."""
        slope, intercept = fit_non_decreasing_line(points)
        sizes = [x for x, _y in points]
        relative_deviation = max_relative_deviation(points, slope, intercept)
        return cls(slope, intercept, relative_deviation, min(sizes), max(sizes))

    def value_at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.slope * size + self.intercept


def page_values(throughput: dict, control: dict) -> dict[str, str]:
    """Return the formatted figures by their placeholders in the page template."""
    values = _load_values(throughput)
    points = _fighinge_result(control)["points"]
    for name, limit in CONTROL_LIMITS.items():
        line = FittedLine.fit([(point["processes"], point[name]) for point in points])
        value = line.value_at(DAEMONS)
        values |= {
            f"{name}_at": _format_number(value),
            f"{name}_limit": _format_number(limit),
            f"{name}_slope": f"{line.slope:.3g}",
            f"{name}_deviation": f"{line.relative_deviation:.0%}",
            f"{name}_verdict": "within" if value <= limit else "**above**",
            f"{name}_largest": _format_number(points[-1][name]),
            "control_range": f"{line.min_size:g} to {line.max_size:g}",
        }
    readers = ZONES * READERS_PER_ZONE
    document_bytes = len(
        FleetShape(groups=BACKEND_SERVERS // REPLICAS, shards_per_group=1).document()
    )
    return values | {
        "document_bytes": _format_number(document_bytes),
        "reads_per_s": _format_number(readers / WATCH_WAIT_S + FALLBACK_READS_PER_S),
        "change_reads_per_s": _format_number(CHANGES_PER_DAY * readers / DAY_S),
        "seed": str(throughput["seed"]),
    }


def _load_values(throughput: dict) -> dict[str, str]:
    points = _fighinge_result(throughput)["points"]
    entry, call = (
        FittedLine.fit([(point["fan_out"], point[f"{role}_ms_per_query"]) for point in points])
        for role in ("entry", "aggregator")
    )
    calls_per_s = QUERIES_PER_S * FAN_OUT / DAEMONS
    servers_per_daemon = BACKEND_SERVERS / DAEMONS
    batches_per_s = servers_per_daemon / BATCH_WINDOW_S
    queries_per_s = QUERIES_PER_S / DAEMONS
    groups = BACKEND_SERVERS / REPLICAS
    reach_probability = 1 - (1 - FAN_OUT / groups) ** (groups / DAEMONS)
    daemons_per_relay = DAEMONS / RELAYS
    return {
        "call_ms": f"{call.slope:.3f}",
        "call_deviation": f"{call.relative_deviation:.0%}",
        "entry_call_ms": f"{entry.slope:.3f}",
        "entry_alone_ms": f"{entry.intercept:.2f}",
        "entry_deviation": f"{entry.relative_deviation:.0%}",
        "fan_out_range": f"{call.min_size:g} to {call.max_size:g}",
        "relays": str(RELAYS),
        "calls_per_s": _format_number(calls_per_s),
        "calls_per_core": _format_number(1000 / call.slope),
        "call_cores": _format_number(calls_per_s * call.slope / 1000),
        "needed_call_us": f"{1e6 / calls_per_s:.1f}",
        "queries_per_daemon": _format_number(queries_per_s),
        "entry_ms_at_640": _format_number(entry.value_at(FAN_OUT)),
        "entry_cores": _format_number(queries_per_s * entry.value_at(FAN_OUT) / 1000),
        "entry_relay_cores": _format_number(queries_per_s * entry.value_at(RELAYS) / 1000),
        "servers_per_daemon": f"{servers_per_daemon:.1f}",
        "poll_share": f"{servers_per_daemon * STATE_POLLS_PER_S * call.slope / 1000:.4f}",
        "batches_per_s": _format_number(batches_per_s),
        "queries_per_batch": _format_number(calls_per_s / batches_per_s),
        "batch_cores": _format_number(batches_per_s * call.slope / 1000),
        "sub_queries_per_s": _format_number(queries_per_s * DAEMONS * reach_probability),
        "pair_per_s": _format_number(queries_per_s * reach_probability),
        "relay_frames_per_s": _format_number(2 * (RELAYS + daemons_per_relay) / BATCH_WINDOW_S),
        "server_queries_per_s": _format_number(QUERIES_PER_S * FAN_OUT / BACKEND_SERVERS),
    }


def _fighinge_result(result: dict) -> dict:
    return next(policy for policy in result["policies"] if policy["policy"] == "fighinge")


def _format_number(value: float) -> str:
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def capacity(*, results: Path = RESULTS_DIRECTORY) -> None:
    """Write docs/CAPACITY.md.

    :param results: directory with the JSON results of throughput and control-cost
    """
    measured = [read_result(results, name) for name in ("throughput", "control-cost")]
    if None in measured:
        raise SystemExit("no results of throughput or control-cost; run make bench first")
    values = page_values(*measured)
    CAPACITY_PAGE.write_text(
        PAGE_TEMPLATE.read_text(encoding="utf-8").format_map(values), encoding="utf-8"
    )
    for name, value in values.items():
        print(f"{name:28} {value}")


if __name__ == "__main__":
    defopt.run(capacity)
