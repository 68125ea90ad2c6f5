"""A watch that is sent while the store is silent hides all later versions for half a minute."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from harness import BOUNDS, Fleet, config, play, route

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUTERS = 3
SILENT_S = 4.5
APPLY_S = BOUNDS["config-apply-ms"] / 1000
STABLE_S = BOUNDS["stability-window-ms"] / 1000
JUDGED_S = 12.0


def version(number: int, service: str) -> dict:
    return config(number, [route("one", "/one/", service=service)], ["old", "new"])


async def case(record) -> bool:
    fleet = Fleet(record, ROUTERS)
    store = fleet.store
    try:
        for service in ("old", "new"):
            for zone in ("z1", "z2", "z3"):
                await fleet.add_backend(service, zone)
        await fleet.start(version(7, "old"))
        await asyncio.sleep(2.0)
        store.put("op/config", version(9, "old"))
        await asyncio.sleep(0.25)
        if HAS_TROUBLE:
            store.fall_silent()
        await asyncio.sleep(SILENT_S)
        if HAS_TROUBLE:
            store.speak_again()
        await asyncio.sleep(STABLE_S + 1.0)
        store.put("op/config", version(12, "new"))
        record.write("version 12 is acknowledged")
        await asyncio.sleep(APPLY_S + 0.5)
        sent = dict.fromkeys(range(ROUTERS), 0)
        to_old = dict.fromkeys(range(ROUTERS), 0)
        end_s = record.now_s() + JUDGED_S
        while record.now_s() < end_s:
            for number in range(ROUTERS):
                reply = await fleet.ask(number, "/one/a")
                sent[number] += 1
                to_old[number] += any(
                    reply.request_id == run[1]
                    for backend in fleet.backends
                    if backend.service == "old"
                    for run in backend.runs
                )
            await asyncio.sleep(0.2)
        record.write("sent", sent, "run by the old service", to_old)
        return any(to_old.values())
    finally:
        await fleet.stop()


sys.exit(play(__file__, case, has_trouble=HAS_TROUBLE))
