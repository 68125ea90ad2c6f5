"""Steps about non-idempotent requests and their tickets, in virtual time."""

from __future__ import annotations

import asyncio

import msgspec
from behave import given, then, when

from fighinge.entry.at_most_once import AtMostOnceExecutor
from fighinge.entry.query_service import query_error
from fighinge.entry.tickets import TICKET_TTL_S, TicketRegistry
from fighinge.errors import ErrorKind, Failure
from fighinge.queries import Coverage, QueryAnswer, QueryRequest, SnapshotName
from tests import virtual_time

RUN_S = 0.2


class CountingExecutor:
    """Query executor that counts its runs, each of which takes ``RUN_S``."""

    ready = True

    def __init__(self):
        self.runs = 0

    async def query(self, _service_name, request):
        self.runs += 1
        await asyncio.sleep(RUN_S)
        return QueryAnswer(
            request_id=request.request_id,
            snapshot=SnapshotName("c", 1),
            records=[],
            total=self.runs,
            facets={},
            coverage=Coverage(1.0, [], [], ""),
        )


class EntryPair:
    """Two entries in one process that forward requests to each other."""

    def __init__(self):
        self.executor = CountingExecutor()
        self.processes = {}
        for name in ("e1", "e2"):
            self.start(name)

    def start(self, name):
        clock = asyncio.get_running_loop().time
        registry = TicketRegistry.create(name)
        self.processes[name] = (
            registry,
            AtMostOnceExecutor(self.executor, registry, self, clock),
        )

    def mint(self, name):
        return self.processes[name][0].mint(1, asyncio.get_running_loop().time())[0]

    async def send(self, name, request, *, forwarded=False):
        return await self.processes[name][1].query("s", request, forwarded=forwarded)

    async def forward(self, name, _service_name, request):
        if name not in self.processes:
            return query_error(request.request_id, Failure(ErrorKind.OUTCOME_UNKNOWN, "gone"))
        return await self.send(name, request, forwarded=True)


@given("entry e1 mints tickets")
def given_tickets(context):
    """Set the defaults; the tickets are minted when the request is sent."""
    context.first = "never arrived"
    context.event = "nothing happens"


@given("a request with a ticket of e1 that {first}")
def given_request(context, first):
    context.first = first


@when("before the retry {event}")
def set_event(context, event):
    context.event = event


@when("the caller sends the request again to {entry}")
def send_again(context, entry):
    virtual_time.run(_send_again(context, entry))


@when("a non-idempotent request is sent with {ticket}")
def send_with_ticket(context, ticket):
    virtual_time.run(_send_with_ticket(context, ticket))


@then("the caller receives {result}")
def check_result(context, result):
    if result == "the same answer":
        assert context.result.total == 1
        assert isinstance(context.result, QueryAnswer)
    elif result == "answered":
        assert isinstance(context.result, QueryAnswer)
    else:
        assert context.result.kind.value == result, context.result
        assert context.result.not_run == (result in ("bad_request", "ticket_invalid"))


@then("requests have run {runs:d} times in total")
def check_runs(context, runs):
    assert context.entries.executor.runs == runs


async def _send_again(context, entry):
    context.entries = entries = EntryPair()
    request = QueryRequest(request_id="r1", repeatable=False, ticket=entries.mint("e1"))
    first = None
    if context.first != "never arrived":
        first = asyncio.create_task(entries.send("e1", request))
        await asyncio.sleep(RUN_S * (2 if context.first == "was answered" else 0.5))
    await _trigger_event(entries, context.event, first)
    context.result = await entries.send(entry, request)


async def _trigger_event(entries, event_name, first):
    if event_name == "the caller disconnects":
        first.cancel()
    elif event_name == "e1 restarts":
        entries.start("e1")
    elif event_name == "e1 is lost":
        del entries.processes["e1"]
    elif event_name == "the ticket expires":
        await asyncio.sleep(TICKET_TTL_S + 1)


async def _send_with_ticket(context, ticket):
    context.entries = entries = EntryPair()
    valid = entries.mint("e1")
    texts = {
        "no ticket": "",
        "a malformed ticket": "x/y",
        "a ticket with a forged digest": valid[:-4] + "0000",
        "a ticket in use by another request": valid,
    }
    request = QueryRequest(request_id="r1", repeatable=False, ticket=texts[ticket])
    if texts[ticket] == valid:
        other = QueryRequest(request_id="r0", repeatable=False, ticket=valid, limit=3)
        assert msgspec.json.encode(other) != msgspec.json.encode(request)
        other_run = asyncio.create_task(entries.send("e1", other))
        await asyncio.sleep(RUN_S / 2)
        context.result = await entries.send("e1", request)
        await other_run
        return
    context.result = await entries.send("e1", request)
