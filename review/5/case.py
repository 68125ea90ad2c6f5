"""An answer with a wrong byte in its load header leaves the client without any answer."""

import asyncio
import os
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from harness import ZONES, Backend, Fleet, config, encode, play, route

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUTERS = 3
TIMEOUT_MS = 1000
DEADLINE_MS = 3000
SHARDS = ["shard0", "shard1", "shard2", "shard3"]
SHARE, SPOILED = 0.6, 0.05  # of the backends, and of their answers
TROUBLE_S = 5.5
WATCHED_S = 25.0
PER_S = 7.0  # of each kind of request, to each router


class SpoilingBackend(Backend):
    """Sends some answers with the high bit of one byte set."""

    spoils = False

    async def respond(self, path: str, request_id: str, writer) -> bool:
        await asyncio.sleep(self.work_s)
        headers = self.answer_headers(request_id) | {"X-Server-Load": "2,0,4"}
        answer = encode(200, headers, random.randbytes(96))
        if self.spoils and random.random() < SPOILED:
            answer = answer.replace(b"X-Server-Load: 2", b"X-Server-Load: \xb2")
            self.record.write("spoiled", request_id, "by", self.instance_id)
        writer.write(answer)
        return True


async def case(record) -> bool:
    fleet = Fleet(record, ROUTERS)
    try:
        fields = {"timeout-ms": TIMEOUT_MS}
        gather = {"gather": SHARDS, "top-k": 5, "min-coverage": 0.75}
        routes = [
            route("all", "/all/", **gather, **fields),
            route("one", "/one/", service="single", **fields),
            route("once", "/once/", "non_idempotent", service="single", **fields),
        ]
        for service in [*SHARDS, "single"]:
            for zone in ZONES:
                await fleet.add_backend(service, zone, SpoilingBackend)
        await fleet.start(config(7, routes, [*SHARDS, "single"], max_conns=36))
        await asyncio.sleep(2.0)
        replies = []

        async def client(number: int, method: str, path: str) -> None:
            at_s = record.now_s()
            reply = await fleet.ask(number, path, method=method, deadline_ms=DEADLINE_MS)
            replies.append((at_s, reply))

        def set_trouble(is_on: bool) -> None:
            for backend in fleet.backends:
                backend.spoils = is_on and random.random() < SHARE
            record.write("answers are spoiled" if is_on else "no answer is spoiled any more")

        if HAS_TROUBLE:
            set_trouble(True)
            asyncio.get_running_loop().call_later(TROUBLE_S, set_trouble, False)
        started_s = record.now_s()
        async with asyncio.TaskGroup() as group:
            for turn in range(int(WATCHED_S * PER_S)):
                for number in range(ROUTERS):
                    group.create_task(client(number, "GET", f"/all/{turn}-{number}"))
                    group.create_task(client(number, "GET", f"/one/{turn}-{number}"))
                    group.create_task(client(number, "POST", f"/once/{turn}-{number}"))
                await asyncio.sleep(1 / PER_S)
        late = [reply for _, reply in replies if reply.took_s > TIMEOUT_MS / 1000]
        unanswered = [reply for reply in late if reply.took_s > TIMEOUT_MS / 1000 + 0.5]
        none = sum(reply.status == 0 for _, reply in replies)
        after = [reply for at_s, reply in replies if at_s > started_s + TROUBLE_S + 1]
        lost_after = sum(reply.status == 0 for reply in after)
        ok_after = sum(reply.status == 200 for reply in after)
        record.write(
            "after the trouble: sent", len(after), "served", ok_after, "no answer", lost_after
        )
        record.write(
            "sent", len(replies), "without an answer at the timeout", len(late),
            "half a second later", len(unanswered), "never answered", none,
        )  # fmt: skip
        return len(unanswered) > len(late) / 2
    finally:
        await fleet.stop()


sys.exit(play(__file__, case, has_trouble=HAS_TROUBLE))
