"""Checks many more drawn schedules than the tests do."""

from __future__ import annotations

import sys

import defopt
import hypothesis
from hypothesis import HealthCheck, Phase, given, settings

from tests.histories.schedules import Schedule, schedules, violations

SCHEDULES = 2000


def soak(*, seed: int = 1, count: int = SCHEDULES) -> None:
    """Draw schedules and stop at the first that breaks a promise, made as short as possible.

    :param seed: seed of the draw
    :param count: how many to draw
    """
    ran = 0

    @hypothesis.seed(seed)
    @settings(
        max_examples=count,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
        phases=(Phase.generate, Phase.shrink),
    )
    @given(schedule=schedules())
    def keep_every_promise(schedule: Schedule) -> None:
        nonlocal ran
        ran += 1
        broken = violations(schedule)
        assert not broken, f"seed {seed}: {schedule}: {broken[:3]}"

    try:
        keep_every_promise()
    except AssertionError as error:
        print(f"broken after {ran} schedules: {error}")
        sys.exit(1)
    print(f"seed {seed}: {ran} schedules, no violation")


if __name__ == "__main__":
    defopt.run(soak, cli_options="all")
