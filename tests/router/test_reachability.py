"""Tests that a router tells a cut of its own links from servers that are down, in virtual time."""

from __future__ import annotations

import asyncio
from collections import Counter

import msgspec
import pytest

from fighinge.aggregator.base import Address
from fighinge.router.backend import MAX_DOWN_BACKOFF_S
from fighinge.router.backend_calls import CONNECT_TIMEOUT_S
from fighinge.router.reachability import (
    CHECK_INTERVAL_S,
    MAX_CHECK_S,
    MAX_TRIED_SERVERS,
    MIN_FAILED_SERVERS,
    RETURN_DELAY_S,
    SAMPLE_SERVERS,
)
from tests.router.builders import (
    LOST,
    REFUSED,
    RouterFixture,
    gather_route,
    shard_backend_records,
    table,
)
from tests.virtual_time import run


class LinkFixture(RouterFixture):
    """A router whose links are checked in the background."""

    def __init__(self, shards: int = 4, seed: int = 2, replicas: int = 3) -> None:
        super().__init__(links_seed=seed)
        records = [
            msgspec.structs.replace(record, address=Address("127.0.0.1", 9000 + number))
            for number, record in enumerate(shard_backend_records(shards, replicas))
        ]
        self.publish(table(gather_route(shards), services=shards), *records)
        self.task = asyncio.create_task(self.reachability.run())

    def backends(self):
        """Return all backend servers."""
        return [backend for service in self.pool.services() for backend in service.backends]

    def refuse(self, *backends) -> None:
        """Let servers refuse connections."""
        self.calls.ended |= {backend.record.address for backend in backends}

    def fail(self, *backends) -> None:
        """Record a failed call to each of some servers."""
        for backend in backends:
            self.reachability.record_failure(backend, self.clock())

    def evidence(self):
        """Return the logged evidence of crashes."""
        return [line["evidence"] for line in self.log.lines if line["event"] == "crash evidence"]

    def states(self):
        """Return the logged states of the links."""
        return [
            line["state"] for line in self.log.lines if line["event"] == "links to backend servers"
        ]


def test_router_that_no_server_accepts_connections_of_is_cut_off():
    async def work():
        router = LinkFixture()
        router.calls.is_cut_off = True
        router.fail(*router.backends()[:: len(router.backends()) // MIN_FAILED_SERVERS])
        await asyncio.sleep(0.1)
        return router.reachability.is_cut_off

    assert run(work())


@pytest.mark.parametrize("result", [LOST, REFUSED])
def test_failing_requests_reveal_the_cut(result):
    async def work():
        router = LinkFixture()
        router.calls.is_cut_off = True
        for backend in router.backends():
            router.calls.script(backend.record.instance_id, (0.01, result))
        await router.send("/all/a")
        await asyncio.sleep(0.1)
        return router.states()

    assert run(work()) == ["cut off"]


def test_check_that_this_process_delays_does_not_find_a_cut():
    async def work():
        router = LinkFixture()

        async def accepts(_address):
            await asyncio.sleep(2 * MAX_CHECK_S)
            return False

        router.calls.accepts_connections = accepts
        router.fail(*router.backends())
        await asyncio.sleep(3.0)
        return router.states()

    assert run(work()) == []


def test_servers_that_are_down_do_not_count_as_a_cut():
    async def work():
        router = LinkFixture()
        router.fail(*router.backends()[:8])
        await asyncio.sleep(1.0)
        return router.reachability.is_cut_off, router.states()

    assert run(work()) == (False, [])


@pytest.mark.parametrize("seed", range(20))
def test_end_of_the_servers_of_most_services_is_no_cut(seed):
    async def work():
        router = LinkFixture(shards=12, seed=seed)
        ended = [item for item in router.backends() if item.record.service not in ("s0", "s7")]
        router.refuse(*ended)
        for _ in range(5):
            router.fail(*ended)
            await asyncio.sleep(CHECK_INTERVAL_S)
        return router.states()

    assert run(work()) == []


def _states_after_ends(seeds: int, has_ended, **fixture) -> list[str]:
    """Let servers end, and two calls to them fail, with each of some seeds; return all states."""

    async def work():
        found = []
        for seed in range(seeds):
            router = LinkFixture(seed=seed, **fixture)
            ended = [item for at, item in enumerate(router.backends()) if has_ended(at, item)]
            router.refuse(*ended)
            router.fail(*ended[:MIN_FAILED_SERVERS])
            await asyncio.sleep(0.1)
            found += router.states()
            router.task.cancel()
        return found

    return run(work())


# A sample by chance held none that runs, and a router handed its requests on.
def test_sample_of_servers_that_have_ended_is_no_cut():
    """All servers of a service and of a data centre have ended."""

    def has_ended(_at, backend):
        return backend.record.zone == "z1" or backend.record.service == "s0"

    assert _states_after_ends(400, has_ended, shards=5) == []


def test_end_of_most_servers_of_the_only_service_is_no_cut():
    assert _states_after_ends(50, lambda at, _backend: at < 25, shards=1, replicas=30) == []


def test_check_tries_a_bounded_number_of_servers_at_a_time():
    """A cut that refuses connections is found in a moment, also where there are many servers."""

    async def work():
        router = LinkFixture(shards=40)
        tried, open_tries, most_open = 0, 0, 0

        async def accepts(_address):
            nonlocal tried, open_tries, most_open
            tried, open_tries = tried + 1, open_tries + 1
            most_open = max(most_open, open_tries)
            await asyncio.sleep(0.005)
            open_tries -= 1
            return False

        router.calls.accepts_connections = accepts
        router.fail(*router.backends()[:MIN_FAILED_SERVERS])
        await asyncio.sleep(0.1)
        return tried, most_open, router.states()

    assert run(work()) == (MAX_TRIED_SERVERS, SAMPLE_SERVERS, ["cut off"])


def test_cut_whose_connections_time_out_is_found_by_one_sample():
    async def work():
        router = LinkFixture(shards=40)
        tried = 0

        async def accepts(_address):
            nonlocal tried
            tried += 1
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            return False

        router.calls.accepts_connections = accepts
        router.fail(*router.backends()[:MIN_FAILED_SERVERS])
        await asyncio.sleep(CONNECT_TIMEOUT_S + 0.1)
        return tried, router.states()

    assert run(work()) == (SAMPLE_SERVERS, ["cut off"])


def test_silent_data_centres_are_no_cut_while_a_server_has_responded():
    """Connections to most servers time out, which no further tries could tell from a cut."""

    async def work():
        found = []
        for seed in range(50):
            router = LinkFixture(shards=1, replicas=30, seed=seed)
            silent = {item.record.address for item in router.backends()[:25]}
            for backend in router.backends():
                router.reachability.record_response(backend)
            for backend in router.backends()[25:]:
                router.reachability.record_response(backend)

            async def accepts(address, silent=silent):
                if address in silent:
                    await asyncio.sleep(CONNECT_TIMEOUT_S)
                return address not in silent

            router.calls.accepts_connections = accepts
            router.fail(*router.backends()[:MIN_FAILED_SERVERS])
            await asyncio.sleep(CONNECT_TIMEOUT_S + 0.1)
            found += router.states()
            router.task.cancel()
        return found

    assert run(work()) == []


def test_cut_is_found_by_calls_to_one_service():
    """Calls to the others may go on, on connections that were opened before the cut."""

    async def work():
        router = LinkFixture()
        router.calls.is_cut_off = True
        router.fail(*[item for item in router.backends() if item.record.service == "s0"])
        await asyncio.sleep(1.0)
        return router.reachability.is_cut_off

    assert run(work())


def test_checks_are_bounded_while_a_service_is_down():
    async def work():
        router = LinkFixture()
        checks = 0

        async def accepts(_address):
            nonlocal checks
            checks += 1
            return True

        router.calls.accepts_connections = accepts
        down = [item for item in router.backends() if item.record.service == "s0"]
        for _ in range(500):
            router.fail(*down)
            await asyncio.sleep(0.01)
        return checks, router.states()

    checks, states = run(work())
    assert states == []
    assert checks <= SAMPLE_SERVERS * (5.0 / CHECK_INTERVAL_S + 1)


def test_return_takes_two_checks_and_forgets_the_failures():
    async def work():
        router = LinkFixture()
        router.calls.is_cut_off = True
        for backend in router.backends():
            backend.record_refused_connection(router.clock())
        router.fail(*router.backends())
        await asyncio.sleep(5.0)
        router.calls.is_cut_off = False
        await asyncio.sleep(CHECK_INTERVAL_S + 0.1)
        usable = sum(item.is_usable(router.clock()) for item in router.backends())
        between = router.reachability.is_cut_off
        await asyncio.sleep(RETURN_DELAY_S + CHECK_INTERVAL_S)
        return usable, between, router.reachability.is_cut_off, router.states()

    assert run(work()) == (12, True, False, ["cut off", "returning", "reaching"])


def test_router_returns_though_the_servers_that_responded_last_have_ended():
    async def work():
        router = LinkFixture(shards=1, replicas=30)
        for backend in router.backends():
            router.reachability.record_response(backend)
        router.calls.is_cut_off = True
        router.fail(*router.backends()[:MIN_FAILED_SERVERS])
        await asyncio.sleep(CHECK_INTERVAL_S)
        router.refuse(*router.backends()[-SAMPLE_SERVERS:])
        router.calls.is_cut_off = False
        await asyncio.sleep(RETURN_DELAY_S + 6 * CHECK_INTERVAL_S)
        return router.states()[-1]

    assert run(work()) == "reaching"


def test_cut_confirms_no_crash_of_requests_in_flight():
    async def work():
        router = LinkFixture()
        router.calls.is_cut_off = True
        router.calls.refusing |= {item.record.address for item in router.backends()}
        for backend in router.backends():
            router.calls.script(backend.record.instance_id, (0.01, LOST), (0.01, REFUSED))
        await asyncio.gather(*(router.send("/all/popular") for _ in range(5)))
        await asyncio.sleep(1.0)
        return router.evidence()

    assert "confirmed, the server has ended" not in run(work())


def test_crash_of_servers_is_confirmed_while_others_accept_connections():
    async def work():
        router = LinkFixture()
        router.calls.refusing |= {item.record.address for item in router.backends()}
        for backend in router.backends():
            router.calls.script(backend.record.instance_id, (0.01, LOST), (0.01, REFUSED))
        await router.send("/all/crash")
        await asyncio.sleep(1.0)
        return router.evidence()

    assert "confirmed, the server has ended" in run(work())


@pytest.mark.parametrize("answers_first", [True, False])
@pytest.mark.parametrize("keeps_name", [True, False])
def test_servers_that_start_again_after_all_have_ended_confirm_the_crashes(
    keeps_name, answers_first
):
    """No server accepts connections between, as in a cut of this router.

    The new run may answer calls before it is listed, if it keeps its name.
    """

    async def work():
        router = LinkFixture()
        router.refuse(*router.backends())
        router.calls.refusing |= {item.record.address for item in router.backends()}
        records = [item.record for item in router.backends()]
        for record in records:
            router.calls.script(record.instance_id, (0.01, LOST), (0.01, REFUSED))
        await router.send("/all/crash")
        await asyncio.sleep(4.0)
        before = Counter(router.evidence())
        if answers_first and keeps_name:
            router.calls.ended.clear()
            for record in records:
                router.calls.script(record.instance_id, (0.01, None))
            await asyncio.sleep(MAX_DOWN_BACKOFF_S + RETURN_DELAY_S)
            await asyncio.gather(*(router.send(f"/all/{number}") for number in range(30)))
            assert len({name for name, _ in router.calls.sent[-120:]}) == len(records)
        router.publish(
            table(gather_route(4)),
            *(
                msgspec.structs.replace(
                    record,
                    instance_id=record.instance_id if keeps_name else f"new-{record.instance_id}",
                    started_ms=record.started_ms + 1,
                )
                for record in records
            ),
        )
        return before, Counter(router.evidence())

    before, after = run(work())
    assert before["confirmed, the server has ended"] == 0
    assert after["confirmed, the server was replaced"] == before["connection lost"] > 0
