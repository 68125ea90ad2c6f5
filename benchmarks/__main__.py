"""Measures real fleets: ``python -m benchmarks [NAME] [--list] [--seed N] [--json FILE]``."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import defopt
import msgspec

from benchmarks.driver import run_scenario
from benchmarks.scenarios import SCENARIOS, find

RESULTS = Path(__file__).parent / "results"
EXIT_UNKNOWN_NAME = 2


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

    :param name: which scenario
    :param list: name the scenarios and what each is for
    :param seed: seed of arrivals, requests and service times
    :param json: file for the result, standard output if none
    :param all: measure every scenario and write docs/MEASUREMENTS.md
    """
    if list or not (name or all):
        for scenario in SCENARIOS:
            print(f"{scenario.name:16} {scenario.purpose}")
        return
    scenario = find(name)
    if scenario is None:
        print(f"error: no scenario {name!r}; --list names them", file=sys.stderr)
        sys.exit(EXIT_UNKNOWN_NAME)
    result = asyncio.run(run_scenario(scenario, seed))
    text = msgspec.json.format(msgspec.json.encode(result), indent=1)
    if json is None:
        print(text.decode())
    else:
        json.write_bytes(text + b"\n")


if __name__ == "__main__":
    defopt.run(benchmarks)
