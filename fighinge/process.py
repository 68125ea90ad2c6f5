"""What every long-running process does: settings, logs, tasks and a graceful end."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import logbook

from fighinge.configuration.platform_client import PlatformClient
from fighinge.configuration.store import ConfigurationStore
from fighinge.configuration.watcher import watch
from fighinge.errors import Failure
from fighinge.logs import set_up_logs
from fighinge.membership.fleet import Fleet, Ports, follow_host_list
from fighinge.settings import Settings, read_settings

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine

logger = logbook.Logger(__name__)

EXIT_BAD_SETTINGS = 2


class Node:
    """The parts that every role has: configuration, membership and background tasks."""

    __slots__ = ("_tasks", "fleet", "platform", "settings", "store")

    def __init__(self, settings: Settings, role: str) -> None:
        self.settings = settings
        self.platform = PlatformClient(settings.platform_url, f"{role}@{settings.address}")
        self.store = ConfigurationStore()
        self.fleet = Fleet(Ports(settings.entry_port, settings.aggregator_port))
        self._tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Start to follow the platform."""
        self.spawn(watch(self.platform, self.store))
        self.spawn(follow_host_list(self.platform, self.fleet))

    def spawn(self, work: Coroutine) -> None:
        """Run a task until the process stops."""
        self._tasks.append(asyncio.create_task(work))

    async def stop(self) -> None:
        """End every task."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.platform.close()


def run_process(
    settings_file: str, serve: Callable[[Settings], Awaitable[None]], *, check_settings: bool
) -> None:
    """Read the settings and serve, or only check them."""
    settings = read_settings(Path(settings_file))
    if isinstance(settings, Failure):
        print(f"error: {settings.field}: {settings.reason}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    if check_settings:
        print(f"{settings_file}: ok")
        return
    set_up_logs(settings.log_format, settings.log_level)
    asyncio.run(serve(settings))


async def wait_for_stop() -> None:
    """Return when the process is told to stop."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
