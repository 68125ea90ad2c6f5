"""Keeps the view up to date by reading and watching a source."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from fighinge.errors import ErrorKind, Failure
from fighinge.router.cancellable_call import CancellableCall
from fighinge.router.changes import HistoryLost
from fighinge.router.decision_log import describe_error

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Coroutine

    from fighinge.router.changes import ViewSource
    from fighinge.router.view import Topic, View

WATCH_TIMEOUT_S = 3.0  # a silent store never answers the watches that it got meanwhile
WATCH_JITTER_RATIO = 0.3  # keeps a silence from taking the watches of all routers at once
RECONNECT_WATCH_TIMEOUT_S = 0.4  # shows soon that the source answers again
MIN_BACKOFF_S = 0.1  # a watch after a closed connection usually succeeds at once
MAX_BACKOFF_S = 0.8  # well below the 3 s within which a configuration has to be active
BACKOFF_JITTER_RATIO = 0.5  # avoids simultaneous retries by all routers after an outage
MAX_RESTORED_READ_DELAY_S = 0.2  # spreads the reads of all routers after the store's return
ROLE_CHECK_INTERVAL_S = 0.1
CHANGE_BATCH_S = 0.4  # one watch returns all changes of this time; a seventh of the 3 s above


class Follower:
    """Reads a source once, then watches it; reads again if the source has lost its history."""

    __slots__ = (
        "_answered_s",
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
        self._answered_s = float("-inf")
        self._backoff_s = MIN_BACKOFF_S
        self._call = CancellableCall()

    def restart(self) -> None:
        """Cancel a watch that has missed changes, and read everything again."""
        self._call.cancel()

    async def run(self) -> None:
        """Follow the source until the task is cancelled."""
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
        snapshot = await self._guard(self._source.read_all())
        now_s = self._clock()
        if isinstance(snapshot, Failure):
            await self._handle_failure(snapshot, now_s)
            return
        self._record_success(now_s)
        self._view.replace(self._topic, snapshot.changes, now_s, revision=snapshot.revision)
        self._view.advance(self._topic, snapshot.revision, snapshot.last_change)
        self._revision = snapshot.revision

    async def _watch(self, revision: int) -> None:
        watch = self._source.watch(revision, self._watch_timeout_s())
        changes = await self._call.wait(self._guard(watch))
        if changes is None:
            self._revision = None
            return
        now_s = self._clock()
        if isinstance(changes, HistoryLost):
            self._revision = None
            if changes.is_restored:
                await asyncio.sleep(self._random.uniform(0, MAX_RESTORED_READ_DELAY_S))
            return
        if isinstance(changes, Failure):
            await self._handle_failure(changes, now_s)
            return
        if self._view.was_relayed_since(self._topic, self._answered_s):
            # The peer's view may be older, and this watch does not repeat what it undid.
            self._revision = None
            return
        self._record_success(now_s)
        self._view.apply(changes.changes, now_s)
        self._view.advance(self._topic, changes.revision, changes.last_change)
        self._revision = max(revision, changes.revision)
        if changes.changes:
            await asyncio.sleep(CHANGE_BATCH_S)

    async def _guard(self, call: Coroutine):
        """Return the result of a call, or a failure for an unexpected error.

        What a source sends must not end the process. Nothing of it has been applied at this point,
        and the next call reads everything anew.
        """
        try:
            return await call
        except Exception as error:
            self._revision = None
            reason = describe_error(error)
            self._view.log.write(
                "source failed unexpectedly", topic=self._topic.value, error=reason
            )
            return Failure(ErrorKind.INTERNAL, reason, "source")

    def _watch_timeout_s(self) -> float:
        if not self._view.is_source_reachable(self._topic):
            return RECONNECT_WATCH_TIMEOUT_S
        return WATCH_TIMEOUT_S * self._random.uniform(1 - WATCH_JITTER_RATIO, 1)

    def _record_success(self, now_s: float) -> None:
        self._backoff_s = MIN_BACKOFF_S
        self._answered_s = now_s
        self._view.record_source_answer(self._topic, now_s)

    async def _handle_failure(self, failure: Failure, now_s: float) -> None:
        self._view.record_source_failure(self._topic, failure.reason, now_s)
        await asyncio.sleep(
            self._backoff_s
            * self._random.uniform(1 - BACKOFF_JITTER_RATIO, 1 + BACKOFF_JITTER_RATIO)
        )
        self._backoff_s = min(MAX_BACKOFF_S, 2 * self._backoff_s)
