"""Measures fleets: ``python -m benchmarks [NAME] [--list] [--seed N] [--json FILE] [--all]``."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import defopt
import msgspec

from benchmarks.driver import print_progress, run_scenario
from benchmarks.report import write_report
from benchmarks.scenarios import SCENARIOS, find_scenario

if TYPE_CHECKING:
    from benchmarks.results import ScenarioResult
    from benchmarks.scenarios import Scenario

RESULTS_DIRECTORY = Path(__file__).parent / "results"
MEASUREMENTS_PAGE = Path(__file__).parent.parent / "docs" / "MEASUREMENTS.md"
SCENARIO_TIMEOUT_S = 180.0
EXIT_UNKNOWN_SCENARIO = 2


def benchmarks(
    name: str = "",
    /,
    *,
    list: bool = False,
    seed: int = 1,
    json: Path | None = None,
    all: bool = False,
) -> None:
    """Measure one scenario, or all of them.

    :param name: the scenario to measure
    :param list: print the names and purposes of all scenarios
    :param seed: seed of arrivals, requests and service times
    :param json: file for the result; standard output by default
    :param all: measure every scenario and write docs/MEASUREMENTS.md
    """
    if all:
        _measure_all(seed)
        return
    if list or not name:
        for scenario in SCENARIOS:
            print(f"{scenario.name:16} {scenario.purpose}")
        return
    scenario = find_scenario(name)
    if scenario is None:
        print(f"error: unknown scenario {name!r}; see --list", file=sys.stderr)
        sys.exit(EXIT_UNKNOWN_SCENARIO)
    text = _measure_to_json(scenario, seed)
    if json is None:
        print(text.decode(), end="")
    else:
        json.write_bytes(text)


def _measure_to_json(scenario: Scenario, seed: int) -> bytes:
    result = asyncio.run(_run_with_timeout(scenario, seed))
    return msgspec.json.format(msgspec.json.encode(result), indent=1) + b"\n"


async def _run_with_timeout(scenario: Scenario, seed: int) -> ScenarioResult:
    async with asyncio.timeout(SCENARIO_TIMEOUT_S):
        return await run_scenario(scenario, seed)


def _measure_all(seed: int) -> None:
    """Measure every scenario; report one that fails and list it as not run on the page."""
    RESULTS_DIRECTORY.mkdir(exist_ok=True)
    for scenario in SCENARIOS:
        path = RESULTS_DIRECTORY / f"{scenario.name}.json"
        path.unlink(missing_ok=True)
        try:
            path.write_bytes(_measure_to_json(scenario, seed))
        except Exception as error:
            print_progress(f"{scenario.name} failed: {error!r}")
    write_report(RESULTS_DIRECTORY, MEASUREMENTS_PAGE)
    print(
        MEASUREMENTS_PAGE.read_text(encoding="utf-8")
        .partition("## Targets")[2]
        .partition("\n## ")[0]
    )


if __name__ == "__main__":
    defopt.run(benchmarks)
