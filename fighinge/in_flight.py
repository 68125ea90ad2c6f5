"""The work in flight, which a graceful shutdown waits for."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Hashable


class InFlightWork:
    """The set of work items that run in this process."""

    __slots__ = ("_idle", "_keys")

    def __init__(self) -> None:
        self._keys: set[Hashable] = set()
        self._idle = asyncio.Event()
        self._idle.set()

    def __len__(self) -> int:
        return len(self._keys)

    def add(self, key: Hashable) -> None:
        """Add a work item under a unique key."""
        self._keys.add(key)
        self._idle.clear()

    def remove(self, key: Hashable) -> None:
        """Remove a work item that has ended with any outcome."""
        self._keys.discard(key)
        if not self._keys:
            self._idle.set()

    async def wait_until_idle(self, timeout_s: float) -> bool:
        """Wait until no work is in flight and return whether this was so before the timeout."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True
