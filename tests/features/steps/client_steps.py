"""Steps about the client that callers use, over real connections."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from fighinge.client import Client
from fighinge.queries import QueryAnswer, QueryRequest
from tests.entries import StandinEntry


@given("a client that knows two entries")
def given_entries(context):
    context.client_fault = "answers"


@given("the first entry {fault}")
def set_fault(context, fault):
    context.client_fault = fault


@when("the client sends one {kind} query")
def send_query(context, kind):
    send_queries(context, 1, kind)


@when("the client sends {count:d} {kind} queries")
def send_queries(context, count, kind):
    is_idempotent = kind == "idempotent"
    context.client_results = asyncio.run(_send_queries(context, count, is_idempotent=is_idempotent))


async def _send_queries(context, count, *, is_idempotent):
    first, second = context.client_entries = [StandinEntry("e1"), StandinEntry("e2")]
    first.peers = second.peers = [first, second]
    client = Client([first.url, second.url])
    try:
        await client._refresh_addresses(client._clock())
        await first.set_fault(context.client_fault)
        request = QueryRequest(request_id="r1", repeatable=is_idempotent)
        return [await client.query("desk", request) for _ in range(count)]
    finally:
        client.close()
        await first.close()
        await second.close()


@then("the query runs {first:d} times at the first entry and {second:d} times at the second")
def check_runs(context, first, second):
    counts = [len(entry.requests) for entry in context.client_entries]
    assert counts == [first, second], counts


@then("the client receives {result}")
def check_result(context, result):
    (received,) = context.client_results
    if result == "the answer":
        assert isinstance(received, QueryAnswer), received
        assert received.request_id == "r1"
    else:
        assert received.kind.value == result, received
        assert received.not_run == (result == "overloaded")


@then("the client fetches the list of entries {count:d} time")
def check_entry_list_fetches(context, count):
    assert sum(entry.entries_request_count for entry in context.client_entries) == count


@then("the client uses {count:d} different tickets, each at the entry that minted it")
def check_tickets(context, count):
    used = [
        (entry.name, request.ticket)
        for entry in context.client_entries
        for request in entry.requests
    ]
    assert len(set(used)) == count, used
    assert all(ticket.startswith(f"{name}/") for name, ticket in used), used
