"""A long-running call that another coroutine can cancel."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Coroutine

Result = TypeVar("Result")


class CancellableCall:
    """Awaits one call at a time and can cancel it."""

    __slots__ = ("_is_cancelled", "_task")

    def __init__(self) -> None:
        self._task: asyncio.Future | None = None
        self._is_cancelled = False

    def cancel(self) -> None:
        """Cancel the pending call, if any."""
        if self._task is not None and not self._is_cancelled:
            self._is_cancelled = True
            self._task.cancel()

    async def wait(self, call: Coroutine[object, object, Result]) -> Result | None:
        """Return the result of a call, or ``None`` if :meth:`cancel` ended it."""
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
