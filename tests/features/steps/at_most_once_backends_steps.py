"""Steps about requests whose connections to backend servers drop, over real sockets."""

from __future__ import annotations

import asyncio
from collections import Counter

import msgspec
from behave import given, then, when

from fighinge.aggregator.http_client import HttpBackendClient
from fighinge.aggregator.service import AggregatorService
from fighinge.model import decode_document
from tests.backend_builders import run_sub_query
from tests.builders import raw_document
from tests.raw_server import RawServer

SAVED_CALLS = 40
LISTENERS = {"no listener": 0, "one listener": 1}


def _document(servers):
    raw = raw_document(servers=len(servers), shards=1)
    for entry, server in zip(raw["backend_servers"].values(), servers, strict=True):
        entry["port"] = server.port
    return decode_document(msgspec.json.encode(raw))


async def _run(context, repeatable):
    executions = Counter()
    servers = [RawServer(executions) for _number in range(2)]
    for server in servers:
        await server.start()
    document = _document(servers)
    client = HttpBackendClient.create()
    service = AggregatorService(client, asyncio.get_running_loop().time, seed=1)
    service.configure(document)
    if context.reused:
        for number in range(SAVED_CALLS):
            await run_sub_query(service, document, f"before-{number}", repeatable=True)
    for server in servers:
        server.drop_at = context.point
    for server in servers[LISTENERS.get(context.point, len(servers)) :]:
        server.stop()
    outcome = await run_sub_query(service, document, "asked", repeatable=repeatable)
    for server in servers:
        server.stop()
    client.close()
    return executions["asked"], outcome


@given("two raw backend servers reached by {connection} connections")
def two_servers(context, connection):
    context.reused = connection == "reused"


@given('the raw backend servers drop searches at "{point}"')
def drop(context, point):
    context.point = point


@when("a request that is {kind} goes to the raw backend servers")
def send(context, kind):
    context.executions, context.outcome = asyncio.run(_run(context, kind == "repeatable"))


@then("it ran {executions:d} times at the raw backend servers")
def ran(context, executions):
    assert context.executions == executions, context.executions


@then('the outcome of the raw backend servers is "{expected}", which says sent is {sent}')
def told(context, expected, sent):
    missing = context.outcome.missing
    result = missing[0].kind.value if missing else "answered"
    assert result == expected, context.outcome
    assert context.outcome.sent is (sent == "true")
