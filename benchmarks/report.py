"""Writes docs/MEASUREMENTS.md from the stored results of all scenarios."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from benchmarks.scenarios import SCENARIOS

if TYPE_CHECKING:
    from pathlib import Path

    from benchmarks.scenarios import Scenario, Target

COMMON_FIELDS = frozenset(
    {"policy", "latency_ms", "coverage", "extra_load", "errors", "violations", "queries"}
)
HEADER = """# Measurements

Written by `make bench` from the JSON files in benchmarks/results; do not edit by hand. Each
figure comes from real fighinge processes, stand-in backend servers and an open-loop load on one
machine, all on loopback addresses. A latency counts from the scheduled time of the query and
includes the network delay between client and entry. Fleets are shaped like those of the two users
of fighinge: slots, connection limits, connection times and one-way latencies are theirs; the
numbers of hosts and backend servers are scaled to one machine, as the fleet column says. The delay
to a backend server is the mean over data centres, since a stand-in cannot tell its callers apart;
the delays between processes are those of loopback. `plain` is the aggregator's baseline policy:
fixed limits, random choice of replicas, one queue and unlimited retries, without hedges, cold
starts (limited load on new and cold backend servers) or early refusal. `fighinge` has the default
settings; `floor` is `fighinge` without the faults.
"""


def write_report(results_directory: Path, page: Path) -> None:
    """Write the page from the stored results; a scenario without a result is listed as not run."""
    sections = [HEADER, _targets_section(results_directory)]
    for scenario in SCENARIOS:
        sections.append(_scenario_section(scenario, read_result(results_directory, scenario.name)))
    page.write_text("\n".join(sections), encoding="utf-8")


def read_result(results_directory: Path, name: str) -> dict | None:
    """Return the stored result of a scenario, or none if there is no file."""
    path = results_directory / f"{name}.json"
    return msgspec.json.decode(path.read_bytes()) if path.exists() else None


def figure_at(result: dict, policy: str, path: str) -> float | None:
    """Return a figure of a policy, or none if it was not measured.

    :param path: keys joined by dots, or a computed figure (p99_to_floor, violations_total);
        violations that are not listed count as 0
    """
    value: object = next(
        (
            policy_result
            for policy_result in result["policies"]
            if policy_result["policy"] == policy
        ),
        {},
    )
    if path == "p99_to_floor":
        return _p99_to_floor(result)
    if path == "violations_total":
        return sum(value.get("violations", {}).values()) if value else None
    for name in path.split("."):
        fallback = 0 if path.startswith("violations") else None
        value = value.get(name, fallback) if isinstance(value, dict) else fallback
    return value


def verdict(target: Target, value: float | None) -> str:
    """Return the verdict on a measured value of a target."""
    if value is None:
        return "**not measured**"
    if value < target.min_credible:
        return "**not proven**: the run without faults was the slower one"
    return "reached" if target.at_least <= value <= target.at_most else "**missed**"


def _p99_to_floor(result: dict) -> float | None:
    fighinge_p99_ms, floor_p99_ms = (
        figure_at(result, name, "latency_ms.p99") for name in ("fighinge", "floor")
    )
    return round(fighinge_p99_ms / floor_p99_ms, 3) if fighinge_p99_ms and floor_p99_ms else None


def _targets_section(results_directory: Path) -> str:
    lines = ["## Targets\n", "| scenario | figure | target | measured | |", "|---|---|---|---|---|"]
    for scenario in SCENARIOS:
        result = read_result(results_directory, scenario.name)
        for target in scenario.targets:
            value = figure_at(result, "fighinge", target.path) if result else None
            lines.append(
                f"| {scenario.name} | {target.path} | {_format_bound(target)} "
                f"| {_format_value(value)} | {verdict(target, value)} |"
            )
    return "\n".join(lines) + "\n"


def _format_bound(target: Target) -> str:
    if target.at_most == float("inf"):
        return f"at least {target.at_least:g}"
    return f"at most {target.at_most:g}"


def _scenario_section(scenario: Scenario, result: dict | None) -> str:
    lines = [f"## {scenario.name}\n", f"{scenario.purpose[0].upper()}{scenario.purpose[1:]}.\n"]
    if result is None:
        return "\n".join([*lines, "Not run.\n"])
    lines += [
        f"Fleet: {_describe_fleet(scenario)}. Command: {_describe_command(result)}\n",
        *_policy_table(result),
        "",
    ]
    for policy in result["policies"]:
        scenario_figures = {
            name: value for name, value in policy.items() if name not in COMMON_FIELDS
        }
        formatted = [f"{name} {_format_value(value)}" for name, value in scenario_figures.items()]
        lines += [f"- {policy['policy']}: {'; '.join(formatted)}"] if formatted else []
    return "\n".join(lines) + "\n"


def _describe_command(result: dict) -> str:
    load = result.get("load_average")
    machine_load = f" Load average of the machine before it: {load}." if load is not None else ""
    return f"`python -m benchmarks {result['scenario']} --seed {result['seed']}`.{machine_load}"


def _describe_fleet(scenario: Scenario) -> str:
    shape = scenario.steps[-1].shape
    hosts = shape.hosts_per_zone * len(shape.zones)
    return (
        f"{hosts} hosts in {len(shape.zones)} data centres, {shape.groups} replica groups of "
        f"{shape.replicas} backend servers with {shape.slots} slots, {shape.connection_limit} "
        f"connections at {shape.connect_ms:g} ms each, service {shape.service_ms:g} ms, one way "
        f"{shape.one_way_ms:g} ms to backend servers and {shape.client_one_way_ms:g} ms to clients"
    )


def _policy_table(result: dict) -> list[str]:
    lines = [
        "| policy | queries | p50 ms | p90 ms | p99 ms | p999 ms | coverage mean | min "
        "| extra load | errors | violations |",
        "|---|---|---|---|---|---|---|---|---|---|---|",
    ]
    for policy in result["policies"]:
        latency, coverage = policy["latency_ms"], policy["coverage"]
        cells = [
            policy["policy"],
            policy["queries"],
            *(latency.get(name) for name in ("p50", "p90", "p99", "p999")),
            *(coverage.get(name) for name in ("mean", "min")),
            policy["extra_load"],
            _format_value(policy["errors"] or 0),
            _format_value(policy["violations"] or 0),
        ]
        lines.append("| " + " | ".join(_format_value(cell) for cell in cells) + " |")
    return lines


def _format_value(value: object) -> str:
    if value is None:
        return "-"
    if isinstance(value, dict):
        return ", ".join(f"{name} {_format_value(each)}" for name, each in value.items())
    if isinstance(value, list):
        return "; ".join(_format_value(each) for each in value)
    return f"{value:g}" if isinstance(value, float) else str(value)
