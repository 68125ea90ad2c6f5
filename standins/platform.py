"""A stand-in platform: published values to read and watch, and the host list."""

from __future__ import annotations

import asyncio
from typing import Annotated

import msgspec

from fighinge.configuration.base import ListedHost, Values


class PlatformBehaviour(msgspec.Struct, forbid_unknown_fields=True):
    """How the platform serves readers.

    ``stale`` serves the values as they were when it was set; the host list shows a change only
    after ``host_lag_s``. ``only_reader`` names the one reader that is not refused.
    """

    down: bool = False
    only_reader: str = ""
    stale: bool = False
    slow_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    host_lag_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class StandinPlatform:
    """Holds values and hosts; only its operators' methods change them."""

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
        """Return the revision that readers see."""
        return self._visible[0]

    @property
    def down(self) -> bool:
        """Return whether every reader is refused."""
        return self.behaviour.down

    @down.setter
    def down(self, down: bool) -> None:
        self.behaviour.down = down

    def refuses(self, reader: str) -> bool:
        """Return whether a reader is refused."""
        return self.down or self.behaviour.only_reader not in ("", reader)

    @property
    def hosts(self) -> list[ListedHost]:
        """Return the host list as readers see it."""
        return self._hosts

    @hosts.setter
    def hosts(self, hosts: list[ListedHost]) -> None:
        if self.behaviour.host_lag_s == 0:
            self._hosts = hosts
            return
        loop = asyncio.get_running_loop()
        loop.call_later(self.behaviour.host_lag_s, setattr, self, "_hosts", hosts)

    async def publish(self, key: str, value: bytes) -> None:
        """Publish a value as an operator does."""
        self._revision += 1
        self._values = {**self._values, key: (self._revision, msgspec.Raw(value))}
        await self._update_visible()

    async def set_behaviour(self, behaviour: PlatformBehaviour) -> None:
        """Change how readers are served."""
        self.behaviour = behaviour
        await self._update_visible()

    def count_call(self, reader: str) -> None:
        """Count a call of a reader."""
        self.calls[reader] = self.calls.get(reader, 0) + 1

    async def read(self, prefix: str, after_revision: int, wait_s: float) -> Values:
        """Return what changed under a prefix, waiting for a change if there is none."""
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
