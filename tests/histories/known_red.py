"""Violations that KNOWN-RED.txt lists, which drawn schedules report and pass over."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.histories.faults import FaultKind

if TYPE_CHECKING:
    from tests.histories.checkers import Violation
    from tests.histories.schedules import Schedule


def is_known(schedule: Schedule, violation: Violation) -> bool:
    """Return whether a violation is listed: a cold server that a partition gives two owners."""
    kinds = {fault.kind for fault in schedule.faults}
    return violation.promise == "cold start" and FaultKind.PARTITION in kinds
