"""Tests of who gets a slot and who is refused."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

from fighinge.aggregator.admission import AdmissionQueue, Refused, Waiter
from fighinge.aggregator.policy import Policy
from fighinge.aggregator.replica_choice import ReplicaChooser
from fighinge.errors import ErrorKind
from fighinge.messages import BackendAnswer
from tests import virtual_time
from tests.backend_builders import warm_server
from tests.builders import document

CALL_S = 0.01


class Office:
    """One warm server with two slots behind a queue."""

    def __init__(self):
        self.clock = asyncio.get_running_loop().time
        self.server = warm_server(slots=2)
        chooser = ReplicaChooser(random.Random(1))
        self.queue = AdmissionQueue(chooser, Policy(), self.clock)
        self.queue.configure(document())
        for _number in range(50):
            self.queue.observe("desk", CALL_S)
            self.queue.observe("batch", CALL_S)
        self.served = Counter()

    async def call(self, query_class, tenant="t1", remaining_s=10.0):
        waiter = Waiter(query_class, tenant, "f", self.clock() + remaining_s, [self.server])
        server = await self.queue.acquire(waiter)
        if isinstance(server, Refused):
            return server
        await asyncio.sleep(CALL_S)
        self.served[query_class, tenant] += 1
        result = BackendAnswer(server.process_id)
        server.finished("f", query_class, result, CALL_S, self.clock())
        self.queue.dispatch()
        return server

    async def flood(self, wanted, duration_s):
        """Keep a number of calls waiting for each class and tenant."""

        async def caller(query_class, tenant):
            while True:
                await self.call(query_class, tenant)

        tasks = [
            asyncio.create_task(caller(*name))
            for name, count in wanted.items()
            for _ in range(count)
        ]
        await asyncio.sleep(duration_s)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def test_classes_share_by_weight_and_none_starves():
    async def run():
        office = Office()
        await office.flood({("desk", "t1"): 20, ("batch", "t1"): 20}, 9.0)
        return office.served

    served = virtual_time.run(run())
    assert abs(served["desk", "t1"] / served["batch", "t1"] - 8) < 0.5


def test_noisy_tenant_does_not_starve_another():
    async def run():
        office = Office()
        await office.flood({("batch", "noisy"): 60, ("batch", "quiet"): 4}, 4.0)
        return office.served

    served = virtual_time.run(run())
    assert abs(served["batch", "noisy"] - served["batch", "quiet"]) < 10


def test_urgent_class_keeps_its_latency_while_batches_fill_every_slot():
    async def run():
        office = Office()
        flood = asyncio.create_task(office.flood({("batch", "t1"): 50}, 4.0))
        waits = []
        for _number in range(100):
            started_s = office.clock()
            await office.call("desk")
            waits.append(office.clock() - started_s)
            await asyncio.sleep(0.013)
        flood.cancel()
        return max(waits)

    assert virtual_time.run(run()) <= 2 * CALL_S + 1e-6


def test_refused_at_once_what_cannot_finish():
    async def run():
        office = Office()
        waiting = [asyncio.create_task(office.call("batch")) for _number in range(20)]
        await asyncio.sleep(0)
        started_s = office.clock()
        refused = await office.call("batch", remaining_s=0.05)
        took_s = office.clock() - started_s
        fits = await office.call("batch", remaining_s=0.5)
        await asyncio.gather(*waiting)
        return refused, took_s, fits

    refused, took_s, fits = virtual_time.run(run())
    assert refused.failure.kind is ErrorKind.OVERLOADED
    assert refused.retry_after_s >= 0.05
    assert took_s == 0.0
    assert not isinstance(fits, Refused)


def test_deadline_too_short_for_any_call():
    async def run():
        return await Office().call("desk", remaining_s=0.001)

    assert virtual_time.run(run()).failure.kind is ErrorKind.DEADLINE_TOO_SHORT


def test_cancelled_waiter_leaves_no_slot_taken():
    async def run():
        office = Office()
        tasks = [asyncio.create_task(office.call("desk")) for _number in range(5)]
        await asyncio.sleep(0)
        for task in tasks[2:]:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return office.queue.size, office.server.in_flight

    assert virtual_time.run(run()) == (0, 0)
