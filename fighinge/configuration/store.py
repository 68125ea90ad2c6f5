"""Keeps the highest accepted configuration version of a process."""

from __future__ import annotations

from typing import TYPE_CHECKING

import logbook
import msgspec

from fighinge.configuration.history import Acceptance, Accepted, accept
from fighinge.errors import Failure

if TYPE_CHECKING:
    from collections.abc import Callable

    from fighinge.configuration.base import Values

logger = logbook.Logger(__name__)


class ConfigurationStore:
    """Takes published values and puts accepted versions in force, never an older one."""

    __slots__ = ("_listeners", "_values", "accepted")

    def __init__(self) -> None:
        self._listeners: list[Callable[[Accepted], None]] = []
        self._values: dict[str, msgspec.Raw] = {}
        self.accepted: Accepted | None = None

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first."""
        return self.accepted.version if self.accepted else 0

    def listen(self, listener: Callable[[Accepted], None]) -> None:
        """Call a listener with each version that comes into force."""
        self._listeners.append(listener)

    def take(self, values: Values) -> None:
        """Take what the platform published since the last read."""
        self._values.update(values.values)
        acceptance = accept(self._values)
        if isinstance(acceptance, Failure):
            logger.warning("configuration refused: {} {}", acceptance.field, acceptance.reason)
            return
        self._put_in_force(acceptance)

    def _put_in_force(self, acceptance: Acceptance) -> None:
        if acceptance.accepted.version <= self.version:
            return
        self.accepted = acceptance.accepted
        logger.info("configuration version {} is in force", self.version)
        for listener in self._listeners:
            listener(acceptance.accepted)
