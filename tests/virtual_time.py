"""An event loop in virtual time for tests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import looptime

if TYPE_CHECKING:
    from collections.abc import Coroutine

IDLE_CYCLES = 2


def run(work: Coroutine, idle_cycles: int = IDLE_CYCLES):
    """Run a coroutine to completion in virtual time, so that waiting takes no real time.

    Timeouts, sleeps and ``loop.time()`` use the virtual clock.

    :param work: the coroutine
    :param idle_cycles: number of idle cycles of the event loop before the clock advances
    :returns: the result of the coroutine
    """
    loop = looptime.new_event_loop(start=1000.0, end=100_000.0, noop_cycles=idle_cycles)
    try:
        asyncio.set_event_loop(loop)
        return loop.run_until_complete(work)
    finally:
        pending = asyncio.all_tasks(loop)
        for task in pending:
            task.cancel()
        loop.run_until_complete(asyncio.gather(*pending, return_exceptions=True))
        asyncio.set_event_loop(None)
        loop.close()
