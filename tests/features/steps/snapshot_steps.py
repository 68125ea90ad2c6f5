"""Steps about the choice of the snapshot that a query is pinned to."""

from __future__ import annotations

import msgspec
from behave import given, then, when

from fighinge.entry.query_plan import QueryPlanner
from fighinge.entry.snapshots import SnapshotChooser
from fighinge.groups import GroupMap
from fighinge.messages import GroupStatus
from fighinge.model import decode_document
from fighinge.ownership import Candidate
from tests.builders import raw_document


@given("a collection in two groups with index versions 1 and 2")
def given_collection(context):
    context.raw = raw_document(servers=2, shards=2, versions=(1, 2))
    for snapshot in context.raw["collections"]["c"]["snapshots"]:
        for number, shard in enumerate(snapshot["shards"].values()):
            shard["replicas"] = [f"b{number}"]
    context.raw["zones"]["z9"] = {}
    context.now_s = 100.0
    context.chooser = SnapshotChooser(lambda: context.now_s)
    decoded = decode_document(msgspec.json.encode(context.raw))
    group_map = GroupMap.from_document(decoded)
    context.groups = {"first": group_map.group_of("b0"), "second": group_map.group_of("b1")}


@given("the operators set {field} to {version:d}")
def set_version(context, field, version):
    context.raw["collections"]["c"][field] = version


@given('aggregator "{aggregator}" announces for the {which} group the versions {versions}')
def announce_versions(context, aggregator, which, versions):
    versions, _separator, unserved = versions.partition(" without shard ")
    served = [] if versions == "none" else [int(version) for version in versions.split(",")]
    status = GroupStatus(context.groups[which], {"c": served})
    if unserved:
        shard, _separator, version = unserved.replace('"', "").partition(" of version ")
        status.unserved_shards = {"c": {int(version): [shard]}}
    context.chooser.on_group_statuses(aggregator, [status])


@when('all statuses are 151 s old and "a2" announces version 1 of both groups')
def age_statuses(context):
    context.now_s += 151.0
    for which in context.groups:
        announce_versions(context, "a2", which, "1")


@then("a new query is pinned to version {version:d}")
def check_pinned(context, version):
    document = decode_document(msgspec.json.encode(context.raw))
    planner = QueryPlanner(document)
    planner.set_candidates([Candidate("a1", "z1"), Candidate("a2", "z9")])
    chosen = context.chooser.choose("c", document.collections["c"], planner, context.now_s)
    assert chosen.index_version == version, chosen.index_version
