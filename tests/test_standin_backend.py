"""Tests of the limits and faults of the stand-in backend server, in virtual time."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from fighinge.errors import Failure
from fighinge.messages import BackendAnswer, BackendRefusal, BackendRequest, Search
from standins.backend import ConnectionDropped, NotListening, StandinServer
from standins.behaviour import Behaviour, replace_fields
from tests import virtual_time
from tests.builders import document


def _server(**behaviour) -> StandinServer:
    server = StandinServer("b0", document(), seed=1)
    server.behaviour = msgspec.structs.replace(server.behaviour, **behaviour)
    return server


def _request(call_id="1", raw_filter=b"{}", remaining_ms=1000.0, shards=("s0000",)):
    return BackendRequest(
        call_id=call_id,
        request_id=f"r{call_id}",
        collection="c",
        index_version=1,
        shards=shards,
        search=Search(filter=msgspec.Raw(raw_filter)),
        remaining_ms=remaining_ms,
    )


async def _search_concurrently(server, count, **changes):
    calls = (server.search(_request(str(number), **changes)) for number in range(count))
    return await asyncio.gather(*calls, return_exceptions=True)


def test_cold_server_refuses_calls_above_its_limit_and_warms_up_with_completed_calls():
    async def run():
        server = _server()
        server.begin_cold_start()
        assert server.state().state == "ready"
        results = await _search_concurrently(server, 2)
        assert isinstance(results[1], BackendRefusal)
        await asyncio.sleep(2)
        for _ in range(server.behaviour.warm_calls):
            await _search_concurrently(server, 1)
        assert not server.is_cold
        assert server.counters.overloaded_moments == 1
        assert all(
            isinstance(result, BackendAnswer) for result in await _search_concurrently(server, 4)
        )

    virtual_time.run(run())


def test_crash_drops_calls_in_flight_and_changes_the_process_identity():
    async def run():
        server = _server()
        before = server.process_id
        crashing = server.search(_request("x", b'{"crash": "mark"}'))
        results = await asyncio.gather(
            crashing, *(server.search(_request(str(n))) for n in range(2)), return_exceptions=True
        )
        assert [type(result) for result in results] == [ConnectionDropped] * 3
        assert server.counters.crashes == {"mark": 1}
        with pytest.raises(NotListening):
            await server.search(_request())
        await asyncio.sleep(server.behaviour.crash_outage_s)
        assert isinstance(await server.search(_request()), BackendAnswer)
        assert server.process_id != before

    virtual_time.run(run())


@pytest.mark.parametrize(
    ("point", "executions"),
    [("accept", 0), ("before_run", 0), ("running", 1), ("before_answer", 1)],
)
def test_connection_drops_at_each_point_of_a_request(point, executions):
    async def run():
        server = _server(drop_at=point, drops_left=1)
        with pytest.raises(ConnectionDropped):
            await server.search(_request())
        assert server.executions.get("r1", 0) == executions
        assert isinstance(await server.search(_request("2")), BackendAnswer)

    virtual_time.run(run())


def test_call_queued_past_its_deadline_is_not_run():
    async def run():
        server = _server(service_ms=100.0)
        results = await _search_concurrently(server, 5, remaining_ms=50.0)
        assert isinstance(results[4], BackendRefusal)
        assert results[4].reason == "deadline"
        assert "r4" not in server.executions

    virtual_time.run(run())


def test_cancelled_call_stops_at_once():
    async def run():
        server = _server(service_ms=1000.0)
        call = asyncio.create_task(server.search(_request()))
        await asyncio.sleep(0.1)
        server.cancel("1")
        result = await call
        assert result.reason == "cancelled"
        assert server.in_flight == 0

    virtual_time.run(run())


@pytest.mark.parametrize(("report", "in_flight"), [("true", 1), ("zero", 0), ("stuck", 0)])
def test_load_report_may_be_wrong(report, in_flight):
    async def run():
        server = _server(service_ms=1000.0)
        server.state()
        server.behaviour.report = report
        call = asyncio.create_task(server.search(_request()))
        await asyncio.sleep(0.1)
        assert server.state().in_flight == in_flight
        await call

    virtual_time.run(run())


def test_index_version_removed_during_a_call_is_not_served():
    async def run():
        server = _server(service_ms=100.0)
        call = asyncio.create_task(server.search(_request()))
        await asyncio.sleep(0.01)
        server.behaviour.index_versions = {"c": [2]}
        assert [missing.shard for missing in (await call).missing] == ["s0000"]
        assert (await server.search(_request("2"))).reason == "index_version"

    virtual_time.run(run())


def test_answers_contain_misplaced_and_doubled_records():
    async def run():
        server = _server(misplaced_records=2, doubled_records=1)
        (result,) = (await server.search(_request())).parts
        keys = [record.key for record in result.records]
        assert len(keys) == 13
        assert len(set(keys)) == 12
        assert sum(key.startswith("0001") for key in keys) == 2

    virtual_time.run(run())


@pytest.mark.parametrize("raw", [b'{"slots": 1}', b'{"drop_at": "x"}', b'{"service_ms": -1}', b"["])
def test_invalid_behaviour_changes_are_rejected(raw):
    assert isinstance(replace_fields(Behaviour(), raw), Failure)
