"""Recognises violations that KNOWN-RED.txt lists; they do not fail the drawn schedules."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.histories.faults import FaultKind

if TYPE_CHECKING:
    from tests.histories.checkers import Violation
    from tests.histories.schedules import Schedule


def is_known(schedule: Schedule, violation: Violation) -> bool:
    """Return whether a violation is taken for the first one in KNOWN-RED.txt.

    That is a cold server with two owners in a partition; every cold-start violation of a schedule
    with a partition counts.
    """
    kinds = {fault.kind for fault in schedule.faults}
    return violation.guarantee == "cold start" and FaultKind.PARTITION in kinds
