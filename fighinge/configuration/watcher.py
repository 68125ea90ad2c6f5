"""Reads of the platform for the configuration store and the fleet."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook

from fighinge.configuration.readers import (
    FALLBACK_READS_PER_S,
    HOST_LIST_READS_PER_S,
    MIN_READ_INTERVAL_S,
    fallback_interval_s,
    is_reader,
)
from fighinge.errors import Failure

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from fighinge.configuration.base import ConfigurationService, HostList, ListedHost, Values
    from fighinge.configuration.store import ConfigurationStore
    from fighinge.membership.service import Membership

logger = logbook.Logger(__name__)

KEY_PREFIX = "configuration/"
WATCH_WAIT_S = 2.0  # a platform that was silent never answers the watches of that time
START_JITTER_S = 1.0
MIN_RETRY_S = 0.5
MAX_RETRY_S = 8.0
READER_REPEAT_DELAY_S = 0.1


class ConfigurationWatcher:
    """Reads published values: readers watch the platform, other processes poll it."""

    __slots__ = (
        "_clock",
        "_failures",
        "_membership",
        "_random",
        "_revision",
        "_service",
        "_store",
    )

    def __init__(
        self,
        service: ConfigurationService,
        store: ConfigurationStore,
        membership: Membership,
        clock: Callable[[], float],
        random_source: random.Random,
    ) -> None:
        self._service = service
        self._store = store
        self._membership = membership
        self._clock = clock
        self._random = random_source
        self._revision = 0
        self._failures = 0

    @property
    def is_reader(self) -> bool:
        """Return whether this process watches the platform for its data centre."""
        return is_reader(self._membership.table)

    async def run(self) -> None:
        """Read the platform until the task is cancelled."""
        await asyncio.sleep(START_JITTER_S * self._random.random())
        while True:
            watches = self._revision > 0 and self.is_reader
            await self.read_once(WATCH_WAIT_S if watches else 0.0)
            await self._wait_for_next_read()

    async def read_once(self, wait_s: float) -> None:
        """Read once and apply the changed values.

        :param wait_s: seconds to wait for a change
        """
        values = await self._service.read(KEY_PREFIX, self._revision, wait_s)
        if isinstance(values, Failure):
            self._record_failure(values)
            return
        if self._failures:
            logger.info("the platform is available again")
        self._failures = 0
        if values.revision < self._revision:
            logger.warning(
                "the platform went back to revision {} from {}",
                values.revision,
                self._revision,
            )
            self._restart_from_revision_zero()
            return
        self._apply_values(values)

    def _apply_values(self, values: Values) -> None:
        self._revision = values.revision
        failure = self._store.apply_published(values) if values.values else None
        if failure is None:
            self._membership.sync.confirmation.record_platform_read(self._clock())

    def _record_failure(self, failure: Failure) -> None:
        if not self._failures:
            logger.warning("{}", failure.reason)
        self._failures += 1

    def _restart_from_revision_zero(self) -> None:
        """Read all values next time; the active version stays."""
        self._revision = 0
        self._store.discard_published()

    async def _wait_for_next_read(self) -> None:
        """Wait until the next read is due."""
        await asyncio.sleep(self._next_delay_s() * (0.75 + 0.5 * self._random.random()))

    def _next_delay_s(self) -> float:
        table = self._membership.table
        fallback_s = fallback_interval_s(len(table.members()), FALLBACK_READS_PER_S)
        if self._failures:
            retry_s = min(MAX_RETRY_S, MIN_RETRY_S * 2 ** min(self._failures - 1, 8))
            return retry_s if self.is_reader else max(retry_s, fallback_s)
        if self._revision == 0:
            return MIN_RETRY_S
        return READER_REPEAT_DELAY_S if self.is_reader else fallback_s


async def follow_host_list(
    host_list: HostList,
    membership: Membership,
    seeds: tuple[str, ...],
    on_hosts: Callable[[list[ListedHost]], None],
    random_source: random.Random,
) -> None:
    """Poll the platform's host list until the task is cancelled.

    :param seeds: seed hosts in addition to the listed ones
    :param on_hosts: called with the host list after each successful read
    """
    while True:
        hosts = await host_list.hosts()
        if not isinstance(hosts, Failure):
            membership.set_seeds([*seeds, *(host.address for host in hosts)])
            on_hosts(hosts)
        table = membership.table
        interval_s = MIN_READ_INTERVAL_S
        if not is_reader(table):
            interval_s = fallback_interval_s(len(table.members()), HOST_LIST_READS_PER_S)
        await asyncio.sleep(interval_s * (0.75 + 0.5 * random_source.random()))
