"""Steps about the callers' client, over real connections."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from fighinge.client import Client
from fighinge.queries import QueryAnswer, QueryRequest
from tests.entries import StandinEntry


@given("a client that knows two entries")
def two_entries(context):
    context.client_fault = "answers"


@given("the client's first entry {fault}")
def fault(context, fault):
    context.client_fault = fault


@when("the client sends a {kind} query")
def send(context, kind):
    send_many(context, 1, kind)


@when("the client sends {count:d} {kind} queries")
def send_many(context, count, kind):
    repeatable = kind == "repeatable"
    context.client_results = asyncio.run(_send(context, count, repeatable=repeatable))


async def _send(context, count, *, repeatable):
    first, second = context.client_entries = [StandinEntry("e1"), StandinEntry("e2")]
    first.peers = second.peers = [first, second]
    client = Client([first.url, second.url])
    try:
        await client._refresh_addresses(client._clock())
        await first.set_fault(context.client_fault)
        request = QueryRequest(request_id="r1", repeatable=repeatable)
        return [await client.query("desk", request) for _ in range(count)]
    finally:
        client.close()
        await first.close()
        await second.close()


@then("the client's query ran {first:d} times at the first entry and {second:d} at the second")
def ran(context, first, second):
    counts = [len(entry.requests) for entry in context.client_entries]
    assert counts == [first, second], counts


@then("the client gets {result}")
def gets(context, result):
    (got,) = context.client_results
    if result == "the answer":
        assert isinstance(got, QueryAnswer), got
        assert got.request_id == "r1"
    else:
        assert got.kind.value == result, got
        assert got.not_run == (result == "overloaded")


@then("the client asked which entries to use {count:d} time")
def asked(context, count):
    assert sum(entry.entries_request_count for entry in context.client_entries) == count


@then("the client used {count:d} different tickets at the entry that minted them")
def tickets(context, count):
    used = [
        (entry.name, request.ticket)
        for entry in context.client_entries
        for request in entry.requests
    ]
    assert len(set(used)) == count, used
    assert all(ticket.startswith(f"{name}/") for name, ticket in used), used
