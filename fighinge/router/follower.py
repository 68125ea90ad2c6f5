"""Keeps the view up to date from a source that is read and watched."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from fighinge.errors import Failure
from fighinge.router.cancellable_call import CancellableCall
from fighinge.router.changes import HistoryLost

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from fighinge.router.changes import ViewSource
    from fighinge.router.view import Topic, View

WATCH_TIMEOUT_S = (
    28.0  # each watch is paid for; silence is found by probes of the connection, not by this
)
RECONNECT_WATCH_TIMEOUT_S = (
    0.4  # a watch after a failure is to end soon, since a store may not answer at all
)
MIN_BACKOFF_S = 0.1  # a cut watch is usually taken up again at once
MAX_BACKOFF_S = 0.8  # well within the 3 s in which a configuration has to be in force
BACKOFF_JITTER_RATIO = 0.5  # routers that lost a source together come back one by one
ROLE_CHECK_INTERVAL_S = 0.1  # how soon a router begins to read that is to
EVENT_BATCH_S = 0.4  # events within this come with one call; a seventh of what is allowed


class Follower:
    """Reads everything once, then watches; reads anew where the history is lost."""

    __slots__ = (
        "_backoff_s",
        "_call",
        "_clock",
        "_random",
        "_revision",
        "_should_read",
        "_source",
        "_topic",
        "_view",
    )

    def __init__(
        self,
        source: ViewSource,
        topic: Topic,
        view: View,
        clock: Callable[[], float],
        random_source: random.Random,
        should_read: Callable[[], bool] = lambda: True,
    ) -> None:
        self._should_read = should_read
        self._source = source
        self._topic = topic
        self._view = view
        self._clock = clock
        self._random = random_source
        self._revision: int | None = None
        self._backoff_s = MIN_BACKOFF_S
        self._call = CancellableCall()

    def restart(self) -> None:
        """Give up a watch that has missed changes, and read everything anew."""
        self._call.cancel()

    async def run(self) -> None:
        """Follow the source for as long as the task runs."""
        while True:
            if not self._should_read():
                self._revision = None
                self._view.record_source_unused(self._topic, self._clock())
                await asyncio.sleep(ROLE_CHECK_INTERVAL_S)
            elif self._revision is None:
                await self._read()
            else:
                await self._watch(self._revision)

    async def _read(self) -> None:
        snapshot = await self._source.read_all()
        now_s = self._clock()
        if isinstance(snapshot, Failure):
            await self._record_failure(snapshot, now_s)
            return
        self._record_success(now_s)
        self._view.replace(self._topic, snapshot.changes, now_s)
        self._view.advance(self._topic, snapshot.revision, snapshot.last_change)
        self._revision = snapshot.revision

    async def _watch(self, revision: int) -> None:
        wait_s = (
            WATCH_TIMEOUT_S
            if self._view.is_source_reachable(self._topic)
            else RECONNECT_WATCH_TIMEOUT_S
        )
        changes = await self._call.wait(self._source.watch(revision, wait_s))
        if changes is None:
            self._revision = None
            return
        now_s = self._clock()
        if isinstance(changes, HistoryLost):
            self._revision = None
            return
        if isinstance(changes, Failure):
            await self._record_failure(changes, now_s)
            return
        self._record_success(now_s)
        self._view.apply(changes.changes, now_s)
        self._view.advance(self._topic, changes.revision, changes.last_change)
        self._revision = max(revision, changes.revision)
        if changes.changes:
            await asyncio.sleep(EVENT_BATCH_S)

    def _record_success(self, now_s: float) -> None:
        self._backoff_s = MIN_BACKOFF_S
        self._view.record_source_answer(self._topic, now_s)

    async def _record_failure(self, failure: Failure, now_s: float) -> None:
        self._view.record_source_failure(self._topic, failure.reason, now_s)
        await asyncio.sleep(
            self._backoff_s
            * self._random.uniform(1 - BACKOFF_JITTER_RATIO, 1 + BACKOFF_JITTER_RATIO)
        )
        self._backoff_s = min(MAX_BACKOFF_S, 2 * self._backoff_s)
