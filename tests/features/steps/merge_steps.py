"""Steps about merging."""

from __future__ import annotations

from behave import given, then, when

from fighinge.entry.merge import ShardResultCollector
from fighinge.messages import Record, ShardResult
from tests.builders import document


@given("a query pinned to index version {version:d} of {shards:d} shards")
def pin(context, version, shards):
    pin_page(context, version, shards, 10)


@given(
    "a query pinned to index version {version:d} of {shards:d} shards with {limit:d} records a page"
)
def pin_page(context, version, shards, limit):
    snapshot = document(shards=shards, versions=(version,)).collections["c"].snapshots[0]
    context.collector = ShardResultCollector(snapshot, limit)


@when('a part of shard "{shard}" at index version {version:d} arrives')
def arrive(context, shard, version):
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


@then("the coverage is {share:g}")
def covered(context, share):
    assert context.collector.coverage().share == share


@then("the merged page holds {keys}")
def page(context, keys):
    context.merged = context.collector.merge()
    assert [record.key for record in context.merged.records] == keys.split(",")


@then("the merged total is {total:d}, exact {exact}")
def total(context, total, exact):
    assert (context.merged.total, context.merged.counts_exact) == (total, exact == "yes")


@then("the next page starts behind {key}")
def next_page(context, key):
    after = context.merged.next_after
    assert (after.key if after else "nothing") == key


@then('the merged sort values are "{values}"')
def sort_values(context, values):
    records = context.collector.merge().records
    shown = [f"{r.sort:g}" if isinstance(r.sort, float) else r.sort for r in records]
    assert shown == values.split(",")
