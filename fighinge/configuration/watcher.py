"""Watches the platform and feeds the configuration store."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import logbook

from fighinge.errors import Failure

if TYPE_CHECKING:
    from fighinge.configuration.base import ConfigurationService
    from fighinge.configuration.store import ConfigurationStore

logger = logbook.Logger(__name__)

WATCH_WAIT_S = 20.0
RETRY_PAUSE_S = 1.0
KEY_PREFIX = "configuration/"


async def watch(service: ConfigurationService, store: ConfigurationStore) -> None:
    """Read and watch the platform for as long as the task runs."""
    revision, wait_s = 0, 0.0
    while True:
        values = await service.read(KEY_PREFIX, revision, wait_s)
        if isinstance(values, Failure):
            logger.warning("{}", values.reason)
            await asyncio.sleep(RETRY_PAUSE_S * (0.5 + random.random()))
            continue
        if values.values:
            store.take(values)
        revision, wait_s = values.revision, WATCH_WAIT_S
