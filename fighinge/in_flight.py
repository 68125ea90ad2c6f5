"""The work that a stop waits for."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Hashable


class InFlightWork:
    """Knows what runs in this process."""

    __slots__ = ("_idle", "_keys")

    def __init__(self) -> None:
        self._keys: set[Hashable] = set()
        self._idle = asyncio.Event()
        self._idle.set()

    def __len__(self) -> int:
        return len(self._keys)

    def add(self, key: Hashable) -> None:
        """Note work under a key of its own."""
        self._keys.add(key)
        self._idle.clear()

    def remove(self, key: Hashable) -> None:
        """Note that work has ended, however it did."""
        self._keys.discard(key)
        if not self._keys:
            self._idle.set()

    async def wait_until_idle(self, timeout_s: float) -> bool:
        """Wait until nothing runs and return whether that came about in time."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True
