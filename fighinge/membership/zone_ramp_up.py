"""How much of its work a zone gets back after it was out of service."""

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
    """Remembers when zones came back into service.

    A process that saw the change counts from then. One that started later counts by the fact
    that the others tell it, whose remaining time is that of the return.
    """

    __slots__ = ("_board", "_clock", "_document", "_returned_at_s")

    def __init__(self, board: FactBoard, clock: Callable[[], float]) -> None:
        self._board = board
        self._clock = clock
        self._document: Document | None = None
        self._returned_at_s: dict[str, float] = {}

    def configure(self, accepted: AcceptedVersion) -> None:
        """Take a configuration version and note the zones that it takes back."""
        before, self._document = self._document, accepted.document
        if before is None:
            return
        now_s = self._clock()
        for zone in accepted.document.zones:
            is_in = zone_in_service(accepted.document, zone)
            if zone not in before.zones or is_in == zone_in_service(before, zone):
                continue
            state = "back in" if is_in else "out of"
            logger.notice("zone {} is {} service: version {}", zone, state, accepted.version)
            if is_in:
                self._returned_at_s[zone] = now_s
                fact = Fact(
                    FactKind.ZONE_BACK, zone, str(accepted.version), now_s + RAMP_DURATION_S
                )
                self._board.add(fact, now_s)

    def fraction(self, zone: str) -> float:
        """Return the share of its groups that a zone's aggregators own now."""
        now_s = self._clock()
        if zone in self._returned_at_s:
            return ramp_fraction(now_s - self._returned_at_s[zone])
        remaining_s = self._board.remaining_s(FactKind.ZONE_BACK, zone, now_s)
        return ramp_fraction(RAMP_DURATION_S - remaining_s)


def ramp_fraction(elapsed_s: float) -> float:
    """Return the share of its work that a zone has some time after it came back."""
    step = int(elapsed_s / RAMP_STEP_S)
    return RAMP_FRACTIONS[step] if 0 <= step < len(RAMP_FRACTIONS) else 1.0
