"""Steps about merging the results of shards."""

from __future__ import annotations

from behave import given, then, when

from fighinge.entry.merge import ShardResultCollector
from fighinge.messages import Record, ShardResult
from tests.builders import document


@given("a query pinned to index version {version:d} with {shards:d} shards")
def given_query(context, version, shards):
    given_query_with_limit(context, version, shards, 10)


@given(
    "a query pinned to index version {version:d} with {shards:d} shards"
    " and {limit:d} records per page"
)
def given_query_with_limit(context, version, shards, limit):
    snapshot = document(shards=shards, versions=(version,)).collections["c"].snapshots[0]
    context.collector = ShardResultCollector(snapshot, limit)


@when('a result of shard "{shard}" at index version {version:d} arrives')
def add_result(context, shard, version):
    context.collector.add_result(ShardResult(shard, version, [], 0))


@when('shard "{shard}" returns records {keys} of {total:d}')
def return_records(context, shard, keys, total):
    records = [Record(key, key) for key in keys.split(",")]
    context.collector.add_result(ShardResult(shard, 1, records, total))


@when('shard "{shard}" returns sort values "{values}"')
def return_sort_values(context, shard, values):
    records = [
        Record(f"{shard[1:]}-{value}", float(value) if value.isdecimal() else value)
        for value in values.split(",")
    ]
    context.collector.add_result(ShardResult(shard, 1, records, len(records)))


@then("the coverage is {coverage:g}")
def check_coverage(context, coverage):
    assert context.collector.coverage().share == coverage


@then("the merged page contains {keys}")
def check_page(context, keys):
    context.merged = context.collector.merge()
    assert [record.key for record in context.merged.records] == keys.split(",")


@then("the merged total is {total:d}, exact: {exact}")
def check_total(context, total, exact):
    assert (context.merged.total, context.merged.counts_exact) == (total, exact == "yes")


@then("the position of the next page is {key}")
def check_next_page(context, key):
    after = context.merged.next_after
    assert (after.key if after else "none") == key


@then('the merged sort values are "{values}"')
def check_sort_values(context, values):
    records = context.collector.merge().records
    shown = [f"{r.sort:g}" if isinstance(r.sort, float) else r.sort for r in records]
    assert shown == values.split(",")
