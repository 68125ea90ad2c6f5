"""Works docs/CAPACITY.md out from the measured slopes: ``python -m benchmarks.capacity``."""

from __future__ import annotations

from pathlib import Path

import defopt
import msgspec

from benchmarks.report import read_result
from benchmarks.results import growth, worst_deviation
from benchmarks.shapes import FleetShape

RESULTS = Path(__file__).parent / "results"
PAGE = Path(__file__).parent.parent / "docs" / "CAPACITY.md"
TEXT = Path(__file__).parent / "capacity.md"

DAEMONS = 460
BACKEND_SERVERS = 2_800
REPLICAS = 3
QUERIES_PER_S = 84_000
FAN_OUT = 640
CHANGES_PER_DAY = 310
DAY_S = 86_400
ZONES = 5
READERS_PER_ZONE = 3
WATCH_WAIT_S = 20.0
SPARE_READS_PER_S = 300.0
POLLS_PER_S = 2.0
BATCH_WINDOW_S = 0.005
RELAYS = 21
LIMITS = {"processor_share": 0.013, "rss_bytes": 128 * 1024**2, "bytes_per_s": 29_000}


class FittedLine(msgspec.Struct, frozen=True):
    """A measured line: what grows with what, and how far a point lies off it at most."""

    gradient: float
    intercept: float
    deviation: float
    lowest: float
    highest: float

    @classmethod
    def through(cls, points: list[tuple[float, float]]) -> FittedLine:
        """Return the least-squares line through points, level where it would fall."""
        gradient, intercept = growth(points)
        sizes = [x for x, _y in points]
        deviation = worst_deviation(points, gradient, intercept)
        return cls(gradient, intercept, deviation, min(sizes), max(sizes))

    def at(self, size: float) -> float:
        """Return the value at a size."""
        return self.gradient * size + self.intercept


def figures(throughput: dict, control: dict) -> dict[str, str]:
    """Return every figure of the page by its name in the text."""
    found = _load_figures(throughput)
    points = _policy(control)["points"]
    for name, limit in LIMITS.items():
        line = FittedLine.through([(point["processes"], point[name]) for point in points])
        value = line.at(DAEMONS)
        found |= {
            f"{name}_at": _number(value),
            f"{name}_limit": _number(limit),
            f"{name}_slope": f"{line.gradient:.3g}",
            f"{name}_deviation": f"{line.deviation:.0%}",
            f"{name}_verdict": "within" if value <= limit else "**above**",
            f"{name}_largest": _number(points[-1][name]),
            "control_range": f"{line.lowest:g} to {line.highest:g}",
        }
    watchers = ZONES * READERS_PER_ZONE
    document = len(FleetShape(groups=BACKEND_SERVERS // REPLICAS, shards_per_group=1).document())
    return found | {
        "document_bytes": _number(document),
        "reads_per_s": _number(watchers / WATCH_WAIT_S + SPARE_READS_PER_S),
        "change_reads_per_s": _number(CHANGES_PER_DAY * watchers / DAY_S),
        "seed": str(throughput["seed"]),
    }


def _load_figures(throughput: dict) -> dict[str, str]:
    points = _policy(throughput)["points"]
    entry, call = (
        FittedLine.through([(point["fan_out"], point[f"{role}_ms_per_query"]) for point in points])
        for role in ("entry", "aggregator")
    )
    calls = QUERIES_PER_S * FAN_OUT / DAEMONS
    servers = BACKEND_SERVERS / DAEMONS
    batches = servers / BATCH_WINDOW_S
    queries = QUERIES_PER_S / DAEMONS
    groups = BACKEND_SERVERS / REPLICAS
    touched = 1 - (1 - FAN_OUT / groups) ** (groups / DAEMONS)
    relayed = DAEMONS / RELAYS
    return {
        "call_ms": f"{call.gradient:.3f}",
        "call_deviation": f"{call.deviation:.0%}",
        "entry_call_ms": f"{entry.gradient:.3f}",
        "entry_alone_ms": f"{entry.intercept:.2f}",
        "entry_deviation": f"{entry.deviation:.0%}",
        "fan_out_range": f"{call.lowest:g} to {call.highest:g}",
        "relays": str(RELAYS),
        "calls_per_s": _number(calls),
        "calls_per_core": _number(1000 / call.gradient),
        "call_cores": _number(calls * call.gradient / 1000),
        "needed_call_us": f"{1e6 / calls:.1f}",
        "queries_per_daemon": _number(queries),
        "entry_ms_at_640": _number(entry.at(FAN_OUT)),
        "entry_cores": _number(queries * entry.at(FAN_OUT) / 1000),
        "entry_relay_cores": _number(queries * entry.at(RELAYS) / 1000),
        "servers_per_daemon": f"{servers:.1f}",
        "poll_share": f"{servers * POLLS_PER_S * call.gradient / 1000:.4f}",
        "batches_per_s": _number(batches),
        "queries_per_batch": _number(calls / batches),
        "batch_cores": _number(batches * call.gradient / 1000),
        "sub_queries_per_s": _number(queries * DAEMONS * touched),
        "pair_per_s": _number(queries * touched),
        "relay_frames_per_s": _number(2 * (RELAYS + relayed) / BATCH_WINDOW_S),
        "server_queries_per_s": _number(QUERIES_PER_S * FAN_OUT / BACKEND_SERVERS),
    }


def _policy(result: dict) -> dict:
    return next(policy for policy in result["policies"] if policy["policy"] == "fighinge")


def _number(value: float) -> str:
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def capacity(*, results: Path = RESULTS) -> None:
    """Write docs/CAPACITY.md.

    :param results: directory with the JSON of throughput and control-cost
    """
    measured = [read_result(results, name) for name in ("throughput", "control-cost")]
    if None in measured:
        raise SystemExit("measure throughput and control-cost first: make bench")
    values = figures(*measured)
    PAGE.write_text(TEXT.read_text(encoding="utf-8").format_map(values), encoding="utf-8")
    for name, value in values.items():
        print(f"{name:28} {value}")


if __name__ == "__main__":
    defopt.run(capacity)
