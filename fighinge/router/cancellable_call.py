"""A call that waits for news and may be given up from outside."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Coroutine

Result = TypeVar("Result")


class CancellableCall:
    """Waits for one call at a time."""

    __slots__ = ("_is_cancelled", "_task")

    def __init__(self) -> None:
        self._task: asyncio.Future | None = None
        self._is_cancelled = False

    def cancel(self) -> None:
        """End the call that is waited for, if there is one."""
        if self._task is not None and not self._is_cancelled:
            self._is_cancelled = True
            self._task.cancel()

    async def wait(self, call: Coroutine[object, object, Result]) -> Result | None:
        """Return what a call returns, none where it was given up."""
        self._is_cancelled = False
        self._task = asyncio.ensure_future(call)
        try:
            return await self._task
        except asyncio.CancelledError:
            if not self._is_cancelled:
                raise
            return None
        finally:
            self._task = None
