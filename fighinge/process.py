"""The runtime of an entry or aggregator: settings, logging, background tasks and shutdown."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

import logbook

from fighinge.admission import Admission
from fighinge.configuration.platform_client import PlatformClient
from fighinge.configuration.store import ConfigurationStore
from fighinge.configuration.watcher import ConfigurationWatcher, follow_host_list
from fighinge.errors import Failure
from fighinge.facts import FactBoard
from fighinge.logs import configure_logging
from fighinge.membership.fleet import Fleet, Ports
from fighinge.membership.member import GossipPorts, Member, Role
from fighinge.membership.messages import Codec
from fighinge.membership.service import Membership
from fighinge.membership.transport import UdpTransport
from fighinge.membership.zone_ramp_up import ZoneRampUp
from fighinge.overload import OverloadDetector
from fighinge.pauses import PauseDetector
from fighinge.settings import Settings, read_settings
from fighinge.status import StatusSource, create_status_server
from fighinge.stop import StopRequest

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine

logger = logbook.Logger(__name__)

EXIT_FAILED = 1
EXIT_INVALID_SETTINGS = 2


class Node:
    """The components that every role uses: configuration, membership and background tasks."""

    __slots__ = (
        "_overload",
        "_random",
        "_tasks",
        "admission",
        "board",
        "failed",
        "fleet",
        "membership",
        "pauses",
        "platform",
        "settings",
        "status",
        "status_server",
        "stop_request",
        "store",
    )

    def __init__(self, settings: Settings, role: str) -> None:
        clock = asyncio.get_running_loop().time
        self._random = random.Random()
        self._tasks: set[asyncio.Task] = set()
        self._overload = OverloadDetector()
        self.failed = False
        self.settings = settings
        self.stop_request = StopRequest.from_signals()
        self.platform = PlatformClient(settings.platform_url, f"{role}@{settings.address}")
        self.store = ConfigurationStore()
        self.board = FactBoard()
        self.pauses = PauseDetector(clock)
        self.membership = _membership(settings, Role(role), self.store, self.board, self._random)
        ramp_up = ZoneRampUp(self.board, clock)
        self.store.listen(ramp_up.configure)
        self.membership.set_seeds(settings.gossip_seeds)
        self.pauses.listen(self.membership.handle_pause)
        self.fleet = Fleet(
            Ports(settings.entry_port, settings.aggregator_port),
            self.membership.table,
            self.board,
            ramp_up,
            settings.keep_s,
            clock,
        )
        self.status = StatusSource(self.membership, self.store, self.board, self.fleet, clock)
        self.status_server = create_status_server(self.status)
        self.admission = Admission(
            settings.zone, self.store, self.membership.sync, self.pauses, clock
        )

    def start(self) -> None:
        """Join the fleet and watch the platform.

        :raises OSError: if the address of the status server is in use
        """
        clock = asyncio.get_running_loop().time
        address = self.membership.address
        self.status_server.listen(address.port, address.host)
        watcher = ConfigurationWatcher(
            self.platform, self.store, self.membership, clock, self._random
        )
        self.spawn(self.pauses.run(self._on_tick))
        self.spawn(self.membership.run())
        self.spawn(watcher.run())
        self.spawn(
            follow_host_list(
                self.platform,
                self.membership,
                self.settings.gossip_seeds,
                self.fleet.update_hosts,
                self._random,
            )
        )

    def spawn(self, work: Coroutine) -> None:
        """Run a task until shutdown; if it fails, the process shuts down."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    async def stop(self) -> None:
        """Announce the departure to peers and cancel every task.

        :raises SystemExit: if the shutdown was caused by a failed task
        """
        self.membership.announce_departure()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.status_server.stop()
        self.platform.close()
        if self.failed:
            sys.exit(EXIT_FAILED)

    def _on_tick(self, lag_s: float) -> None:
        if self._overload.observe(lag_s):
            logger.notice("event loop overloaded: {}", self._overload.overloaded)
            self.membership.table.update_local_member(overloaded=self._overload.overloaded)

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        error = task.exception()
        logger.critical("background task failed: {!r}", error, exc_info=_exc_info(error))
        self.failed = True
        self.stop_request.trigger()


def run_process(
    settings_file: str, serve: Callable[[Settings], Awaitable[None]], *, check_settings: bool
) -> None:
    """Read the settings and run the process, or only check the settings.

    :raises SystemExit: if the settings are invalid
    """
    settings = read_settings(Path(settings_file))
    if isinstance(settings, Failure):
        print(f"error: {settings.field}: {settings.reason}", file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    if check_settings:
        print(f"{settings_file}: ok")
        return
    configure_logging(settings.log_format, settings.log_level)
    asyncio.run(serve(settings))


def _membership(
    settings: Settings,
    role: Role,
    store: ConfigurationStore,
    board: FactBoard,
    random_source: random.Random,
) -> Membership:
    ports = GossipPorts(settings.entry_gossip_port, settings.aggregator_gossip_port)
    incarnation = int(time.time() * 1000)
    return Membership(
        Member(role, settings.address, settings.zone, incarnation),
        ports,
        UdpTransport(ports.address(role, settings.address)),
        store,
        board,
        asyncio.get_running_loop().time,
        random_source,
        Codec(settings.gossip_key),
    )


def _exc_info(error: BaseException):
    return (type(error), error, error.__traceback__)
