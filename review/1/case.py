"""One entry of another writer, with a field of another type, ends every router process."""

import asyncio
import json
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from harness import Fleet, config, play, route

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUTERS = 3
NESTED = 2000  # levels of the list that stands where the entry's version should
WATCHED_S = 40.0
ENDS = 3  # processes that end by themselves so often, at two machines, are a fault


async def case(record) -> bool:
    fleet = Fleet(record, ROUTERS)
    try:
        for zone in ("z1", "z2", "z3"):
            await fleet.add_backend("single", zone)
        await fleet.start(config(7, [route("one", "/one/", service="single")], ["single"]))
        await asyncio.sleep(2.0)
        if HAS_TROUBLE:
            entry = json.dumps(fleet.backends[0].entry(version="VERSION"))
            nested = "[" * NESTED + "]" * NESTED
            entry = entry.replace('"VERSION"', nested).encode()
            fleet.store.put("servers/of-another-writer", entry)
        sent = served = 0
        end_s = record.now_s() + WATCHED_S
        while record.now_s() < end_s:
            replies = await asyncio.gather(
                *(fleet.ask(number, "/one/a", deadline_ms=1000) for number in range(ROUTERS))
            )
            sent += len(replies)
            served += sum(reply.status == 200 for reply in replies)
            await asyncio.sleep(0.25)
        record.write("served", served, "of", sent, "ends by themselves", fleet.own_ends)
        return sum(ends >= ENDS for ends in fleet.own_ends.values()) >= max(2, ROUTERS / 10)
    finally:
        await fleet.stop()


sys.exit(play(__file__, case, has_trouble=HAS_TROUBLE))
