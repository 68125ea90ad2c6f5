"""Case 10: the backends of a service crash and come back cold under the ids that they had."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import harness_2 as harness

ROUTERS = 8
PER_S = 180.0  # of all routers together
DOWN_S = (1.15, 2.8, 1.15, 2.8, 1.15, 2.8)  # of each crash; about as long as a restart takes
COLD_PER_S = 4
COLD_S = 6.0
BOUND = COLD_PER_S * harness.BOUNDS["cold-overage"] + harness.BOUNDS["cold-slack"]
WINDOW_S = 1.0


async def case(record: harness.Record) -> int:
    """Crash all backends of a service and start them again."""
    fleet = harness.Fleet(record, ROUTERS)
    try:
        routes = [
            {"name": "desk", "prefix": "/desk/", "service": "desk"},
            {"name": "find", "prefix": "/find/", "service": "find"},
        ]
        cold = {"cold-start-s": COLD_S, "cold-per-s": COLD_PER_S}
        fleet.store.put("op/config", harness.configuration(3, routes, **cold))
        desks = []
        for zone in harness.ZONES:
            name = f"desk-{zone}"
            desks.append(await fleet.add_backend(name, "desk", zone, cold_s=COLD_S, work_s=0.02))
            for number in range(10):
                await fleet.add_backend(f"find-{zone}{number}", "find", zone)
        await fleet.start()
        await asyncio.sleep(4)
        statuses: dict[int, int] = {}
        sent: dict[str, float] = {}

        async def ask(number: int, route: str) -> None:
            at_s = time.monotonic()
            reply = await fleet.ask(number, f"/{route}/{random.getrandbits(40):x}")
            sent[reply.request_id] = at_s
            if route == "desk":
                statuses[reply.status] = statuses.get(reply.status, 0) + 1

        async def client(number: int, route: str, per_s: float, end_s: float) -> None:
            tasks = []
            while time.monotonic() < end_s:
                await asyncio.sleep(random.expovariate(per_s))
                tasks.append(asyncio.ensure_future(ask(number, route)))
            await asyncio.gather(*tasks)

        end_s = time.monotonic() + 3 + sum(down_s + COLD_S + 2 for down_s in DOWN_S)
        clients = [
            asyncio.ensure_future(client(number, route, per_s, end_s))
            for number in range(ROUTERS)
            for route, per_s in (("desk", PER_S / ROUTERS), ("find", 3.0))
        ]
        await asyncio.sleep(3)
        starts: list[tuple[str, float]] = []
        for down_s in DOWN_S if harness.TROUBLE else ():
            for desk in desks:
                desk.crash()
            record.write("all backends of desk crash")
            await asyncio.sleep(down_s)
            for desk in desks:
                await desk.start(desk.host, desk.port, is_cold=True)
                starts.append((desk.name, desk.started_s))
            record.write("the backends of desk are back under their ids, cold")
            await asyncio.sleep(COLD_S + 2)
        await asyncio.gather(*clients)
        fleet.write_runs(lambda entry: entry[1].startswith("desk"))
        if not statuses.get(200):
            raise harness.CouldNotRun("no request was served")
        record.write(f"answers of desk by status: {statuses}")
        return judge(record, fleet, starts, sent)
    finally:
        fleet.stop()


def judge(
    record: harness.Record,
    fleet: harness.Fleet,
    starts: list[tuple[str, float]],
    sent: dict[str, float],
) -> int:
    """Count the requests of each second at each backend while it was cold.

    Only requests that were sent and arrived inside that second count.
    """
    worst = 0
    for name, started_s in starts:
        arrived = [
            (entry[0], sent.get(entry[2], 0.0))
            for entry in fleet.log
            if entry[1] == name and entry[5] != "421" and started_s <= entry[0] < started_s + COLD_S
        ]
        most, most_at_s = 0, started_s
        for _, first_sent_s in arrived:
            inside = sum(
                first_sent_s <= sent_s and at_s < first_sent_s + WINDOW_S
                for at_s, sent_s in arrived
            )
            if inside > most:
                most, most_at_s = inside, first_sent_s
        worst = max(worst, most)
        record.write(
            f"FAILBACK: cold backend {name} got {most} requests in one second, from"
            f" {most_at_s - started_s:.3f} s after its start on; the bound is {BOUND:g}"
        )
    return harness.BROKEN if worst > BOUND else harness.HELD


if __name__ == "__main__":
    harness.run_case(str(Path(__file__).resolve().parent), case)
