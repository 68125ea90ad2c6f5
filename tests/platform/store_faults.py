"""Faults of the store for the soak, and the check that servers which leave later are heeded."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tests.platform.odd_records import UNUSABLE_SERVER_RECORDS

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from standins.server_events import Arrival
    from standins.store import StoreCopy
    from tests.platform.fleet import RouterFleet
    from tests.platform.guarantees import RecordedExchange
    from tests.platform.soak_fleet import SoakFleet

NEXT_WATCH_S = 0.3  # routers send their next watch 0.4 s after a change
DRAIN_S = 3.0
AWAY_S = 0.2
REPEAT_S = 0.5  # servers and operators need some time to write again


async def silence_after_change(fleet: RouterFleet, length_s: float) -> None:
    """Let the store be silent when all routers are about to send their next watch."""
    await fleet.configure()
    await asyncio.sleep(NEXT_WATCH_S)
    fleet.store.fault, fleet.store.affected_callers = "silent", set()
    await asyncio.sleep(length_s)
    fleet.store.fault = ""


async def restore_older_copy(fleet: RouterFleet, length_s: float) -> None:
    """Let the store come back from a copy that lacks the last version.

    :param length_s: age of the copy in seconds
    """
    copied = fleet.store.copy()
    await fleet.configure()
    await asyncio.sleep(length_s)
    await return_from_copy(fleet, copied)


async def return_from_copy(fleet: RouterFleet, copied: StoreCopy) -> None:
    """Let the store be away for a moment, come back from a copy, and get what that lacks again."""
    store = fleet.store
    store.fault, store.affected_callers = "reset", set()
    await asyncio.sleep(AWAY_S)
    lost = store.copy()
    await store.restore(copied)
    store.fault = ""
    await asyncio.sleep(REPEAT_S)
    await store.write_again(lost, copied)


async def write_odd_record(fleet: SoakFleet, random_source: random.Random) -> None:
    """Leave an unusable record of another writer among those of the servers."""
    index = random_source.randrange(len(UNUSABLE_SERVER_RECORDS))
    await fleet.store.put(f"servers/odd-{index}", UNUSABLE_SERVER_RECORDS[index])


class LateLeaving:
    """Lets servers leave while the store is stable, and finds requests that reach them too late."""

    def __init__(self, fleet: SoakFleet, random_source: random.Random) -> None:
        self._fleet = fleet
        self._random = random_source
        self._left: set[tuple[str, int]] = set()
        self._due_s = float("inf")

    async def start(self, now_s: float) -> None:
        """Let one server of a service say that it leaves, and remove the record of another one."""
        services = sorted({server.service for server in self._fleet.servers})
        for service, is_draining in zip(
            self._random.sample(services, 2), (True, False), strict=True
        ):
            server = next(server for server in self._fleet.servers if server.service == service)
            self._left.add((server.instance_id, server.started_ms))
            key, proxy = f"servers/{server.instance_id}", self._fleet.proxy_of(server)
            if is_draining:
                value = self._fleet.store_value(server, proxy, "draining")
                await self._fleet.store.put(key, value)
            else:
                await self._fleet.store.delete(key)
        self._due_s = now_s + DRAIN_S

    def violations(
        self, exchanges: Iterable[RecordedExchange], arrivals: Iterable[Arrival]
    ) -> list[str]:
        """Return a description of each server that requests reached too late."""
        sent_s = {item.request_id: item.sent_s for item in exchanges}
        late = {
            item.instance_id
            for item in arrivals
            if (item.instance_id, item.started_ms) in self._left
            and sent_s.get(item.request_id, 0.0) > self._due_s
        }
        return [f"{name}: requests after its leaving was acknowledged" for name in sorted(late)]
