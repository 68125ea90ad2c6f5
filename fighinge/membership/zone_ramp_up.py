"""Stepwise ramp-up of the work of a data centre after its return to service."""

from __future__ import annotations

from typing import TYPE_CHECKING

import logbook

from fighinge.facts import Fact, FactKind
from fighinge.ownership import zone_in_service

if TYPE_CHECKING:
    from collections.abc import Callable

    from fighinge.configuration.history import AcceptedVersion
    from fighinge.facts import FactBoard
    from fighinge.model import Document

logger = logbook.Logger(__name__)

RAMP_STEP_S = 5.0
RAMP_FRACTIONS = (0.125, 0.25, 0.5)
RAMP_DURATION_S = RAMP_STEP_S * len(RAMP_FRACTIONS)


class ZoneRampUp:
    """Tracks the data centres that are ramping up after their return to service.

    Ownership of the data centre's groups returns in steps, because otherwise all of them would move
    at once to aggregators that have not called the backend servers recently. A process that
    activated the configuration change measures the time from there. One that started later
    uses the fact that other processes gossip, whose remaining lifetime is that of the ramp-up.
    """

    __slots__ = ("_board", "_clock", "_document", "_returned_at_s")

    def __init__(self, board: FactBoard, clock: Callable[[], float]) -> None:
        self._board = board
        self._clock = clock
        self._document: Document | None = None
        self._returned_at_s: dict[str, float] = {}

    def configure(self, accepted: AcceptedVersion) -> None:
        """Record the data centres that a new configuration version returns to service."""
        before, self._document = self._document, accepted.document
        if before is None:
            return
        now_s = self._clock()
        for zone in accepted.document.zones:
            is_in = zone_in_service(accepted.document, zone)
            if zone not in before.zones or is_in == zone_in_service(before, zone):
                continue
            state = "back in" if is_in else "out of"
            logger.notice("data centre {} is {} service: version {}", zone, state, accepted.version)
            if is_in:
                self._returned_at_s[zone] = now_s
                fact = Fact(
                    FactKind.ZONE_BACK, zone, str(accepted.version), now_s + RAMP_DURATION_S
                )
                self._board.add(fact, now_s)

    def fraction(self, zone: str) -> float:
        """Return the fraction of its groups that the aggregators of a data centre own now."""
        now_s = self._clock()
        if zone in self._returned_at_s:
            return ramp_fraction(now_s - self._returned_at_s[zone])
        remaining_s = self._board.remaining_s(FactKind.ZONE_BACK, zone, now_s)
        return ramp_fraction(RAMP_DURATION_S - remaining_s)


def ramp_fraction(elapsed_s: float) -> float:
    """Return the fraction of its groups that a data centre owns after some seconds of ramp-up."""
    step = int(elapsed_s / RAMP_STEP_S)
    return RAMP_FRACTIONS[step] if 0 <= step < len(RAMP_FRACTIONS) else 1.0
