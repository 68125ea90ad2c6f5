"""Steps about connections to backend servers that fail during a request, on real sockets."""

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

BUDGET_EARNING_CALLS = 40
# The number of the two servers that listen, and the point at which they drop connections.
FAULTS = {
    "none": (2, "nowhere"),
    "no listener": (0, "nowhere"),
    "one listener": (1, "nowhere"),
    "drop at accept": (2, "accept"),
    "drop at headers": (2, "headers"),
    "drop at body": (2, "body"),
    "drop while running": (2, "running"),
    "drop in response": (2, "response"),
}


def _document(servers):
    raw = raw_document(servers=len(servers), shards=1)
    for config, server in zip(raw["backend_servers"].values(), servers, strict=True):
        config["port"] = server.port
    return decode_document(msgspec.json.encode(raw))


async def _run_request(context, is_idempotent):
    executions = Counter()
    servers = [RawServer(executions) for _number in range(2)]
    for server in servers:
        await server.start()
    document = _document(servers)
    client = HttpBackendClient.create()
    service = AggregatorService(client, asyncio.get_running_loop().time, seed=1)
    service.configure(document)
    if context.reused:
        for number in range(BUDGET_EARNING_CALLS):
            await run_sub_query(service, document, f"warm-up-{number}", is_idempotent=True)
    listening, drop_point = FAULTS[context.fault]
    for server in servers:
        server.drop_at = drop_point
    for server in servers[listening:]:
        server.stop()
    outcome = await run_sub_query(service, document, "tested", is_idempotent=is_idempotent)
    for server in servers:
        server.stop()
    client.close()
    return executions["tested"], outcome


@given("two backend servers reached over {connection} connections")
def given_servers(context, connection):
    context.reused = connection == "reused"


@given('these servers have the fault "{fault}"')
def set_fault(context, fault):
    context.fault = fault


@when("one {kind} request is sent to these servers")
def send_request(context, kind):
    context.executions, context.outcome = asyncio.run(_run_request(context, kind == "idempotent"))


@then("it runs {executions:d} times on these servers")
def check_executions(context, executions):
    assert context.executions == executions, context.executions


@then('its outcome is "{expected}" and its sent flag is {sent}')
def check_outcome(context, expected, sent):
    missing = context.outcome.missing
    result = missing[0].kind.value if missing else "answered"
    assert result == expected, context.outcome
    assert context.outcome.sent is (sent == "true")
