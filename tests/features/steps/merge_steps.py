"""Steps about merging."""

from __future__ import annotations

from behave import given, then, when

from fighinge.entry.merge import PartCollector
from fighinge.messages import ShardPart
from tests.builders import document


@given("a query pinned to index version {version:d} of {shards:d} shards")
def pin(context, version, shards):
    snapshot = document(shards=shards, versions=(version,)).collections["c"].snapshots[0]
    context.collector = PartCollector(snapshot)


@when('a part of shard "{shard}" at index version {version:d} arrives')
def arrive(context, shard, version):
    context.collector.add_part(ShardPart(shard, version, [], 0))


@then("the coverage is {share:g}")
def covered(context, share):
    assert context.collector.coverage().share == share
