"""Opens addresses to listen on, which an earlier process may still hold for a moment."""

from __future__ import annotations

import asyncio
import errno
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fighinge.router.decision_log import DecisionLog

RETRY_INTERVAL_S = 0.2  # a router that waits is not ready, and its callers use others
MAX_RETRIES = 150  # 30 s; an operator's mistake has to end the process with its reason


async def open_when_free(
    open_address: Callable[[], Awaitable[None]], name: str, log: DecisionLog
) -> None:
    """Open an address, again and again while another process holds it.

    :param open_address: opens it, and raises the kernel's error otherwise
    :param name: address for the log
    :raises OSError: if it is still in use after ``MAX_RETRIES``, or cannot be opened at all
    """
    for attempt in range(MAX_RETRIES + 1):
        try:
            await open_address()
        except OSError as error:
            if error.errno != errno.EADDRINUSE or attempt == MAX_RETRIES:
                raise
            if attempt == 0:
                log.write("address in use", address=name)
                log.flush()
            await asyncio.sleep(RETRY_INTERVAL_S)
        else:
            if attempt:
                log.write("address opened", address=name, retries=attempt)
            return
