"""Steps about requests that are not repeatable."""

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


class CountingQueries:
    """Counts the runs of a request and takes a while over each."""

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


class Entries:
    """Two entries in one process that forward to each other."""

    def __init__(self):
        self.backend = CountingQueries()
        self.processes = {}
        for name in ("e1", "e2"):
            self.start(name)

    def start(self, name):
        clock = asyncio.get_running_loop().time
        registry = TicketRegistry.create(name)
        self.processes[name] = (
            registry,
            AtMostOnceExecutor(self.backend, registry, self, clock),
        )

    def mint(self, name):
        return self.processes[name][0].mint(1, asyncio.get_running_loop().time())[0]

    async def send(self, name, request, *, forwarded=False):
        return await self.processes[name][1].query("s", request, forwarded=forwarded)

    async def forward(self, name, _service_name, request):
        if name not in self.processes:
            return query_error(request.request_id, Failure(ErrorKind.OUTCOME_UNKNOWN, "gone"))
        return await self.send(name, request, forwarded=True)


@given("tickets are minted by entry e1")
def minted(context):
    context.first = "never came"
    context.event = "nothing happens"


@given("a request with a ticket sent to e1 that {first}")
def first_request(context, first):
    context.first = first


@when("for the ticket {event}")
def event(context, event):
    context.event = event


@when("the caller sends the request again to {entry}")
def again(context, entry):
    virtual_time.run(_resend(context, entry))


@when("a request that is not repeatable comes with {ticket}")
def bad_ticket(context, ticket):
    virtual_time.run(_send_bad(context, ticket))


@then("the caller's second result is {result}")
def second_result(context, result):
    if result == "the same answer":
        assert context.second.total == 1
        assert isinstance(context.second, QueryAnswer)
    elif result == "answered":
        assert isinstance(context.second, QueryAnswer)
    else:
        assert context.second.kind.value == result, context.second
        assert context.second.not_run == (result in ("bad_request", "ticket_invalid"))


@then("the request ran {runs:d} times")
def ran(context, runs):
    assert context.entries.backend.runs == runs


async def _resend(context, entry):
    context.entries = entries = Entries()
    request = QueryRequest(request_id="r1", repeatable=False, ticket=entries.mint("e1"))
    first = None
    if context.first != "never came":
        first = asyncio.create_task(entries.send("e1", request))
        await asyncio.sleep(RUN_S * (2 if context.first == "is answered" else 0.5))
    await _happen(entries, context.event, first)
    context.second = await entries.send(entry, request)


async def _happen(entries, event_name, first):
    if event_name == "the caller hangs up":
        first.cancel()
    elif event_name == "e1 is restarted":
        entries.start("e1")
    elif event_name == "e1 is lost":
        del entries.processes["e1"]
    elif event_name in ("the ticket expires", "e1 pauses beyond the expiry"):
        await asyncio.sleep(TICKET_TTL_S + 1)


async def _send_bad(context, ticket):
    context.entries = entries = Entries()
    good = entries.mint("e1")
    texts = {
        "no ticket": "",
        "a broken ticket": "x/y",
        "a forged digest": good[:-4] + "0000",
        "a ticket in use by another request": good,
    }
    request = QueryRequest(request_id="r1", repeatable=False, ticket=texts[ticket])
    if texts[ticket] == good:
        other = QueryRequest(request_id="r0", repeatable=False, ticket=good, limit=3)
        assert msgspec.json.encode(other) != msgspec.json.encode(request)
        other_run = asyncio.create_task(entries.send("e1", other))
        await asyncio.sleep(RUN_S / 2)
        context.second = await entries.send("e1", request)
        await other_run
        return
    context.second = await entries.send("e1", request)
