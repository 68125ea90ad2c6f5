"""Drawn schedules of faults under load violate none of the ten guarantees."""

from __future__ import annotations

from hypothesis import HealthCheck, Phase, given, settings

from tests.histories.known_red import is_known
from tests.histories.schedules import Schedule, schedules, violations

CI_SCHEDULES = 100


# ``derandomize`` derives the seed from the source of the test function: changing the function, even
# its name, changes the drawn schedules.
@settings(
    max_examples=CI_SCHEDULES,
    derandomize=True,
    database=None,
    deadline=None,
    print_blob=False,
    suppress_health_check=list(HealthCheck),
    phases=(Phase.generate, Phase.shrink),
)
@given(schedule=schedules())
def test_drawn_schedules_keep_every_promise(schedule: Schedule):
    broken = violations(schedule)
    assert [one for one in broken if not is_known(schedule, one)] == []
