"""How much of its host a router uses, by the scarcest of the host's resources."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from fighinge.router.host_selection import announced_utilisation

if TYPE_CHECKING:
    from fighinge.router.settings import RouterSettings

WINDOW_S = 1.0  # short against the time in which callers ask for addresses again


class HostUse(msgspec.Struct, frozen=True):
    """What a process uses of its host: totals since its start, and open descriptors.

    ``idle_s`` is the time in which its event loop has waited.
    """

    idle_s: float
    transferred_bytes: int
    descriptors: int


class HostLoad:
    """Derives the utilisation of a host from samples of what this process uses."""

    __slots__ = ("_last", "_link_bits_per_s", "_max_descriptors", "_sampled_s", "announced")

    def __init__(
        self, link_bits_per_s: float, max_descriptors: int, use: HostUse, now_s: float
    ) -> None:
        self._link_bits_per_s = link_bits_per_s
        self._max_descriptors = max_descriptors
        self._last = use
        self._sampled_s = now_s
        self.announced = 0.0

    @classmethod
    def from_settings(cls, settings: RouterSettings, use: HostUse, now_s: float) -> HostLoad:
        """Return the load of a host that has the limits of the settings."""
        return cls(settings.link_bits_per_s, settings.max_descriptors, use, now_s)

    def is_due(self, now_s: float) -> bool:
        """Return whether a window has passed since the last sample."""
        return now_s - self._sampled_s >= WINDOW_S

    def record(self, use: HostUse, now_s: float) -> bool:
        """Record a sample, and return whether the announced utilisation changes."""
        elapsed_s = now_s - self._sampled_s
        last, self._last, self._sampled_s = self._last, use, now_s
        transferred_bits = 8 * (use.transferred_bytes - last.transferred_bytes)
        utilisation = max(
            0.0,
            1.0 - (use.idle_s - last.idle_s) / elapsed_s,
            transferred_bits / (elapsed_s * self._link_bits_per_s),
            use.descriptors / self._max_descriptors,
        )
        before = self.announced
        self.announced = announced_utilisation(utilisation, before)
        return self.announced != before
