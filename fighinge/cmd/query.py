"""The command that sends one query and prints the answer."""

from __future__ import annotations

import asyncio
import sys

import defopt
import msgspec

from fighinge.client import Client
from fighinge.queries import QueryAnswer, QueryError, QueryRequest

EXIT_ERROR = 1


def query(
    service: str,
    *,
    entry: list[str],
    filter: str = "{}",
    sort: str = "key",
    descending: bool = False,
    limit: int = 10,
    cursor: str = "",
    facet: list[str] = [],  # noqa: B006
    deadline_ms: float | None = None,
    trace: bool = False,
    json: bool = False,
) -> None:
    """Send one query and print the answer as text or JSON.

    :param service: name of the query service
    :param entry: one or more URLs of entries that are asked for addresses
    :param filter: filter as JSON, which is passed to the backend servers unchanged
    :param sort: field to sort by
    :param descending: sort in descending order
    :param limit: maximum number of records, up to 10000
    :param cursor: cursor from the answer with the previous page
    :param facet: one or more fields whose values are counted
    :param deadline_ms: deadline of the query in milliseconds; default: that of the service
    :param trace: show the calls that the query made
    :param json: print the complete answer as JSON
    """
    request = QueryRequest(
        filter=msgspec.Raw(filter.encode()),
        sort=sort,
        descending=descending,
        limit=limit,
        cursor=cursor,
        facets=tuple(facet),
        deadline_ms=deadline_ms,
        trace=trace,
    )
    result = asyncio.run(_send(entry, service, request))
    if json:
        print(msgspec.json.format(msgspec.json.encode(result)).decode())
    elif isinstance(result, QueryAnswer):
        _print_answer(result)
    else:
        _print_error(result)
    if isinstance(result, QueryError):
        sys.exit(EXIT_ERROR)


async def _send(entries: list[str], service: str, request: QueryRequest):
    client = Client(entries, caller="fighinge-query")
    try:
        return await client.query(service, request)
    finally:
        client.close()


def _print_answer(answer: QueryAnswer) -> None:
    snapshot = answer.snapshot
    print(f"snapshot   {snapshot.collection} at index version {snapshot.index_version}")
    print(f"coverage   {answer.coverage.share:.1%}: {answer.coverage.summary}")
    print(f"total      {answer.total}")
    for facet, counts in answer.facets.items():
        print(f"facet      {facet}: {counts}")
    for record in answer.records:
        print(f"record     {record.key}  {bytes(record.fields).decode()}")
    if answer.cursor:
        print(f"cursor     {answer.cursor}")
    if answer.trace is not None:
        _print_trace(answer)


def _print_trace(answer: QueryAnswer) -> None:
    trace = answer.trace
    print(
        f"trace      entry {trace.entry}, configuration version "
        f"{trace.configuration_version}, {trace.took_ms:.1f} ms"
    )
    for group in trace.groups:
        takeover = " (takeover)" if group.takeover else ""
        print(f"  group {group.group} at aggregator {group.owner}{takeover}")
        for attempt in group.attempts:
            print(
                f"    {attempt.reason}: {attempt.backend_server} {attempt.result} "
                f"({attempt.shards} shards, {attempt.took_ms:.1f} ms)"
            )


def _print_error(error: QueryError) -> None:
    not_run = "not run" if error.not_run else "may have run"
    print(f"error      {error.kind.value} ({not_run}): {error.reason}", file=sys.stderr)


def main() -> None:
    """Run the command."""
    defopt.run(query)


if __name__ == "__main__":
    main()
