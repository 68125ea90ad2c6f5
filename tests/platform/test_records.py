"""Tests of decoding records of the platform's store."""

from __future__ import annotations

import re

import msgspec
import pytest

from fighinge.aggregator.base import Address
from fighinge.platform.records import decode_delete, decode_put
from fighinge.router.accounts import key_digest
from fighinge.router.changes import (
    BackendListed,
    BackendUnlisted,
    TablePublished,
    Unreadable,
    ZoneEvacuated,
    ZoneReturned,
)
from tests.platform.odd_records import DEEPLY_NESTED, SERVER, UNUSABLE_SERVER_RECORDS, server_record

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-all",
            "host": "Leno12.example",
            "prefix": "/nono601/",
            "kind": "idempotent",
            "timeout-ms": 400,
            "latency-target-ms": 71,
            "priority": 2,
            "gather": ["a", "b"],
            "max-attempts": 2,
            "top-k": 5,
            "min-coverage": 0.75,
        },
        {
            "name": "r-split",
            "host": "h",
            "prefix": "/x/",
            "kind": "non_idempotent",
            "split": [{"service": "a", "weight": 3}, {"service": "b", "weight": 1}],
        },
    ],
    "services": [{"name": "a", "health-path": "/health", "max-conns": 36, "cold-per-s": 2.0}],
    "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144, "idle-timeout-ms": 15000},
}


def test_backend_server_record_is_decoded():
    change = decode_put("servers/i-1", server_record())
    assert isinstance(change, BackendListed)
    assert change.record.instance_id == "i-1"
    assert change.record.address == Address("10.128.0.9", 8080)
    assert change.record.cold_left_s == 1.5
    assert change.record.started_ms == SERVER["born"]
    assert not change.record.is_draining


def test_draining_backend_server_is_recognised():
    assert decode_put("servers/i-1", server_record(state="draining")).record.is_draining


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xff\x00",
        b"[]",
        b"null",
        server_record(service=None),
        server_record(service=5),
        server_record(address="nowhere"),
        server_record(address=":80"),
        server_record(state="asleep"),
        server_record(slots="many"),
        server_record(slots=0),
        server_record(zone=None),
        server_record(**{"cold-left-ms": "soon"}),
        *UNUSABLE_SERVER_RECORDS,
    ],
)
def test_invalid_server_record_counts_as_removed(value):
    change = decode_put("servers/i-1", value)
    assert isinstance(change, BackendUnlisted)
    assert change.instance_id == "i-1" and change.reason


@pytest.mark.parametrize("instance_id", ["", "i 1", "i-\r\nX-Other: 1", "ü", "i" * 201])
def test_server_record_whose_key_cannot_be_sent_names_noserver_record(instance_id):
    change = decode_put(f"servers/{instance_id}", server_record())
    assert change == BackendUnlisted(instance_id, change.reason) and change.reason


@pytest.mark.parametrize("version", [DEEPLY_NESTED, b"1" + b"0" * 30, b"1e999", b"-1"])
def test_unusable_configuration_is_reported(version):
    raw = msgspec.json.encode(CONFIG).replace(b'"version":7', b'"version":' + version, 1)
    assert isinstance(decode_put("op/config", raw), Unreadable)


def test_configuration_is_decoded():
    change = decode_put("op/config", msgspec.json.encode(CONFIG))
    assert isinstance(change, TablePublished)
    gathered, split = change.table.routes
    assert gathered.host == "leno12.example"
    assert gathered.gather.shards == ("a", "b")
    assert (gathered.timeout_s, gathered.latency_target_s) == (0.4, 0.071)
    assert gathered.is_idempotent and not split.is_idempotent
    assert [(target.service, target.weight) for target in split.targets] == [("a", 3), ("b", 1)]
    assert change.table.services["a"].max_connections == 36
    assert change.table.limits.idle_timeout_s == 15.0


def test_invalid_configuration_is_reported_with_the_reason():
    change = decode_put("op/config", b'{"version": "seven"}')
    assert isinstance(change, Unreadable)
    assert "version" in change.reason


def test_evacuation_and_deletions_are_decoded():
    assert decode_put("op/evacuate/z", b"{}") == ZoneEvacuated("z")
    assert decode_delete("op/evacuate/z") == ZoneReturned("z")
    assert decode_delete("servers/i-1") == BackendUnlisted("i-1")
    assert decode_delete("op/other") is None


# A number that msgpack cannot hold kept the version from all routers that follow another one.
@pytest.mark.parametrize("value", [b"1" + b"0" * 30, b"-1" + b"0" * 30])
@pytest.mark.parametrize(
    "field",
    ["priority", "max-attempts", "top-k", "max-conns", "max-body-bytes", "max-header-bytes"],
)
def test_configuration_with_a_number_that_cannot_be_passed_on_is_reported(field, value):
    raw = msgspec.json.encode(CONFIG)
    raw = re.sub(rb'("%b":)[0-9]+' % field.encode(), lambda match: match[1] + value, raw, count=1)
    change = decode_put("op/config", raw)
    assert isinstance(change, Unreadable) and field in change.reason


# The sum of such weights is infinite, and a share of it is no number.
@pytest.mark.parametrize(
    ("field", "value"), [("weight", b"1e308"), ("timeout-ms", b"1e308"), ("weight", b"-1")]
)
def test_configuration_with_a_number_beyond_its_bound_is_reported(field, value):
    raw = msgspec.json.encode(CONFIG)
    raw = re.sub(rb'("%b":)[0-9]+' % field.encode(), lambda match: match[1] + value, raw, count=1)
    change = decode_put("op/config", raw)
    assert isinstance(change, Unreadable) and field in change.reason


def test_configuration_with_the_largest_numbers_can_be_passed_on():
    raw = msgspec.json.encode(CONFIG)
    for field in ("priority", "max-attempts", "top-k", "max-conns", "max-body-bytes"):
        raw = re.sub(rb'("%b":)[0-9]+' % field.encode(), rb"\g<1>%d" % (2**63 - 1), raw, count=1)
    change = decode_put("op/config", raw)
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(change), type=TablePublished) == change


ACCOUNT = {
    "name": "kami770",
    "api-keys": ["key-a", "key-b"],
    "priority": 0,
    "rate-per-s": 11,
    "burst": 12.5,
}


def _configuration(**changes) -> bytes:
    return msgspec.json.encode(CONFIG | changes)


def test_client_accounts_are_decoded_with_digests_of_their_keys():
    """Guards against keys in what routers pass to each other and log."""
    value = _configuration(tenants=[ACCOUNT, {"name": "plain"}])
    table = decode_put("op/config", value).table
    desk, plain = table.accounts
    assert (desk.name, desk.priority, desk.rate_per_s, desk.burst) == ("kami770", 0, 11.0, 12.5)
    assert desk.key_digests == (key_digest("key-a"), key_digest("key-b"))
    assert (plain.key_digests, plain.priority, plain.rate_per_s) == ((), None, 0.0)
    assert b"key-a" not in msgspec.msgpack.encode(table)


def test_configuration_without_accounts_has_none():
    assert decode_put("op/config", _configuration()).table.accounts == ()


def test_public_routes_are_decoded():
    routes = [CONFIG["routes"][0] | {"public": True}, CONFIG["routes"][1]]
    table = decode_put("op/config", _configuration(routes=routes)).table
    assert [route.is_public for route in table.routes] == [True, False]


@pytest.mark.parametrize(
    ("field", "value"),
    [
        *(("name", value) for value in ("", "two words", "x\r\ny: z", 5, None)),
        *(("api-keys", value) for value in ("key", [""], [5])),
        *(("priority", value) for value in ("high", 1.5, 2**64)),
        *(("rate-per-s", value) for value in (-1, "many", 1e300)),
        *(("burst", value) for value in (-1, "many", 1e300)),
    ],
)
def test_invalid_client_account_is_refused_by_its_field(field, value):
    change = decode_put("op/config", _configuration(tenants=[ACCOUNT | {field: value}]))
    assert isinstance(change, Unreadable)
    assert f"tenants[0].{field}" in change.reason
