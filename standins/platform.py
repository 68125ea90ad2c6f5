"""Stand-in platform that serves published values, watches and the host list."""

from __future__ import annotations

import asyncio
from typing import Annotated

import msgspec

from fighinge.configuration.base import ListedHost, Values


class PlatformBehaviour(msgspec.Struct, forbid_unknown_fields=True):
    """Faults that readers of the platform observe.

    ``down`` refuses all readers, ``only_reader`` all but the named one. ``stale`` freezes the
    values at the revision at which it was set. ``slow_s`` delays each call, ``host_lag_s`` each
    change of the host list.
    """

    down: bool = False
    only_reader: str = ""
    stale: bool = False
    slow_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    host_lag_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class StandinPlatform:
    """Hold versioned values and the host list in memory."""

    def __init__(self) -> None:
        self.behaviour = PlatformBehaviour()
        self.calls: dict[str, int] = {}
        self._hosts: list[ListedHost] = []
        self._values: dict[str, tuple[int, msgspec.Raw]] = {}
        self._revision = 0
        self._visible = (0, self._values)
        self._changed = asyncio.Condition()

    @property
    def revision(self) -> int:
        """Return the revision that is visible to readers."""
        return self._visible[0]

    @property
    def down(self) -> bool:
        """Return whether all readers are refused."""
        return self.behaviour.down

    @down.setter
    def down(self, down: bool) -> None:
        self.behaviour.down = down

    def refuses(self, reader: str) -> bool:
        """Return whether a reader is refused."""
        return self.down or self.behaviour.only_reader not in ("", reader)

    @property
    def hosts(self) -> list[ListedHost]:
        """Return the host list that is visible to readers."""
        return self._hosts

    @hosts.setter
    def hosts(self, hosts: list[ListedHost]) -> None:
        if self.behaviour.host_lag_s == 0:
            self._hosts = hosts
            return
        loop = asyncio.get_running_loop()
        loop.call_later(self.behaviour.host_lag_s, setattr, self, "_hosts", hosts)

    async def publish(self, key: str, value: bytes) -> None:
        """Store a value under a key at the next revision."""
        self._revision += 1
        self._values = {**self._values, key: (self._revision, msgspec.Raw(value))}
        await self._update_visible()

    async def set_behaviour(self, behaviour: PlatformBehaviour) -> None:
        """Replace the simulated faults."""
        self.behaviour = behaviour
        await self._update_visible()

    def count_call(self, reader: str) -> None:
        """Count a call of a reader."""
        self.calls[reader] = self.calls.get(reader, 0) + 1

    async def read(self, prefix: str, after_revision: int, wait_s: float) -> Values:
        """Return the values under a prefix that changed after a revision.

        :param wait_s: seconds to wait for a change if there is none yet
        """
        if not self._changed_values(prefix, after_revision) and wait_s > 0:
            await self._wait_for_change(prefix, after_revision, wait_s)
        return Values(self.revision, self._changed_values(prefix, after_revision))

    async def _update_visible(self) -> None:
        if self.behaviour.stale:
            return
        self._visible = (self._revision, self._values)
        async with self._changed:
            self._changed.notify_all()

    async def _wait_for_change(self, prefix: str, after_revision: int, wait_s: float) -> None:
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(lambda: self._changed_values(prefix, after_revision))
        except TimeoutError:
            return

    def _changed_values(self, prefix: str, after_revision: int) -> dict[str, msgspec.Raw]:
        return {
            key: value
            for key, (revision, value) in sorted(
                self._visible[1].items(), key=lambda item: item[1][0]
            )
            if key.startswith(prefix) and revision > after_revision
        }
