"""Admission control: whether this process accepts new work."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fighinge.errors import ErrorKind, Failure
from fighinge.ownership import zone_in_service

if TYPE_CHECKING:
    from collections.abc import Callable

    from fighinge.configuration.store import ConfigurationStore
    from fighinge.configuration.sync import ConfigurationSync
    from fighinge.pauses import PauseDetector


class Admission:
    """Decides whether this process accepts new work.

    New work is refused without a confirmed configuration, after a pause, in a data centre
    that is out of service, and once ``stopping`` is set.
    """

    __slots__ = ("_clock", "_configuration_sync", "_pauses", "_store", "_zone", "stopping")

    def __init__(
        self,
        zone: str,
        store: ConfigurationStore,
        configuration_sync: ConfigurationSync,
        pauses: PauseDetector,
        clock: Callable[[], float],
    ) -> None:
        self._zone = zone
        self._store = store
        self._configuration_sync = configuration_sync
        self._pauses = pauses
        self._clock = clock
        self.stopping = False

    def refusal(self) -> Failure | None:
        """Return why new work is refused, or none if it is accepted; refused work is not run."""
        now_s = self._clock()
        self._pauses.observe(now_s)
        if self.stopping:
            return Failure(ErrorKind.STOPPING, "the process is stopping")
        if self._store.active is None:
            return Failure(ErrorKind.NOT_READY, "no configuration is known yet")
        if not self._configuration_sync.confirmed or not self._pauses.is_settled(now_s):
            return Failure(ErrorKind.NOT_READY, "the configuration is not confirmed")
        if not zone_in_service(self._store.active.document, self._zone):
            return Failure(ErrorKind.ZONE_OUT, f"data centre {self._zone} is out of service")
        return None
