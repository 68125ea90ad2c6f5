"""Tests of the authentication of callers by the keys of client accounts."""

from __future__ import annotations

import msgspec
import pytest

from fighinge.platform.headers import PlatformCodec
from fighinge.router.accounts import AccountIndex
from fighinge.router.call_limits import CallLimitsRule
from fighinge.router.changes import TablePublished
from fighinge.router.exchange import Answer
from fighinge.router.routing import RequestRouting
from fighinge.router.typical_latency import TypicalLatencies
from fighinge.router.view import Topic
from tests.router.builders import (
    LOST,
    RouterFixture,
    backend_record,
    client_account,
    gather_route,
    request,
    route,
    shard_backend_records,
    table,
)
from tests.virtual_time import run

DESK = client_account("desk", "desk-key", "desk-key-2", priority=0)
FLOOR = client_account("floor")
PUBLIC = route("open", is_public=True)
TABLE = table(route(), PUBLIC, gather_route(), accounts=(DESK, FLOOR))
CODEC = PlatformCodec()


def _headers(key: str = "", **headers: str) -> tuple[tuple[str, str], ...]:
    """Return a caller's headers, with a key if there is one."""
    own = (("Authorization", f"Token {key}"),) if key else ()
    return (*own, *((name.replace("_", "-"), value) for name, value in headers.items()))


async def _send(router: RouterFixture, path: str, headers) -> Answer:
    """Send a request as the codec decodes it from a caller's connection."""
    wire = (("Host", "search.example"), ("X-Request-Id", "r1"), ("X-Deadline-Ms", "500"), *headers)
    decoded = CODEC.decode_request("GET", path, wire, b"", router.clock())
    return await router.service.answer(decoded)


def _router(published=TABLE) -> RouterFixture:
    router = RouterFixture(uses_accounts=True)
    router.publish(published, *shard_backend_records())
    return router


def _assert_no_key_was_sent(router: RouterFixture) -> None:
    for headers in router.calls.sent_headers:
        assert "authorization" not in {name.lower() for name, _ in headers}
        assert not any("desk-key" in value for _, value in headers)
    assert "desk-key" not in msgspec.json.encode(router.log.lines, enc_hook=str).decode()


def _sent_accounts(router: RouterFixture) -> list[list[str]]:
    return [
        [value for name, value in headers if name.lower() == "x-tenant"]
        for headers in router.calls.sent_headers
    ]


@pytest.mark.parametrize("path", ["/single/a", "/all/a"])
@pytest.mark.parametrize("key", ["desk-key", "desk-key-2"])
def test_servers_get_the_name_of_the_account_and_not_the_key(path, key):
    """Guards against a key that is passed on, and an account that the caller has named itself."""

    async def check():
        router = _router()
        router.calls.next_results = [LOST]  # the second call of a shard is a retry
        headers = _headers(key, x_tenant="floor", X_Tenant="admin", X_Other="1")
        answered = await _send(router, path, headers)
        assert answered.status == 200
        assert len(router.calls.sent) > 1
        assert _sent_accounts(router) == [["desk"]] * len(router.calls.sent)
        assert all(("X-Other", "1") in headers for headers in router.calls.sent_headers)
        _assert_no_key_was_sent(router)

    run(check())


@pytest.mark.parametrize(
    "headers",
    [
        (),
        _headers("unknown-key"),
        (("Authorization", "Basic desk-key"),),
        (("Authorization", "desk-key"),),
        (("Authorization", "Token"),),
        (*_headers("desk-key"), *_headers("floor-key")),
    ],
)
def test_request_without_a_valid_key_is_refused(headers):
    async def check():
        router = _router()
        answered = await _send(router, "/single/a", headers)
        assert answered.status == 401
        assert answered.is_not_run
        assert ("WWW-Authenticate", "Token") in answered.headers
        assert router.calls.sent == []

    run(check())


@pytest.mark.parametrize(("key", "account"), [("", []), ("unknown", []), ("desk-key", ["desk"])])
def test_public_route_needs_no_key(key, account):
    async def check():
        router = _router()
        answered = await _send(router, "/open/a", _headers(key, X_Tenant="floor"))
        assert answered.status == 200
        assert _sent_accounts(router) == [account]
        _assert_no_key_was_sent(router)

    run(check())


def test_headers_pass_through_without_accounts():
    """Guards the deployments without accounts, where both headers are ordinary ones."""

    async def check():
        router = RouterFixture()
        router.publish(table(route()), backend_record("i1"))
        headers = _headers("desk-key", X_Tenant="floor")
        assert (await _send(router, "/single/a", headers)).status == 200
        assert all(pair in router.calls.sent_headers[0] for pair in headers)

    run(check())


def test_key_is_dropped_where_the_settings_say_that_there_are_accounts():
    """Guards against a key that reaches servers while a configuration names no account."""

    async def check():
        router = _router(table(route(), accounts=()))
        answered = await _send(router, "/single/a", _headers("desk-key", X_Tenant="floor"))
        assert answered.status == 200
        assert _sent_accounts(router) == [[]]
        _assert_no_key_was_sent(router)

    run(check())


def test_withdrawn_key_ends_with_the_version_that_withdraws_it():
    async def check():
        router = _router()
        assert (await _send(router, "/single/a", _headers("desk-key"))).status == 200
        remaining = client_account("desk", "desk-key-2")
        successor = table(route(), version=2, accounts=(remaining,))
        router.view.apply([TablePublished(successor)], router.clock())
        assert (await _send(router, "/single/a", _headers("desk-key"))).status == 401
        assert (await _send(router, "/single/a", _headers("desk-key-2"))).status == 200

    run(check())


def test_unknown_key_is_not_denied_while_the_configuration_may_be_stale():
    """Guards against a 401 for a key that was added while this router was cut off."""

    async def check():
        router = _router()
        router.view.record_source_failure(Topic.CONFIGURATION, "cut", router.clock())
        answered = await _send(router, "/single/a", _headers("new-key"))
        assert answered.status == 503
        assert "Retry-After" in dict(answered.headers)
        assert (await _send(router, "/single/a", _headers("desk-key"))).status == 200

    run(check())


def test_table_of_a_peer_that_does_not_know_accounts_serves_nobody():
    """Guards against keys that are passed on after an upgrade has begun."""

    async def check():
        router = _router(table(route(), accounts=None))
        answered = await _send(router, "/single/a", _headers("desk-key"))
        assert answered.status == 503
        assert router.calls.sent == []

    run(check())


@pytest.mark.parametrize(
    ("account", "status", "sent"), [("desk", 200, [["desk"]]), ("", 503, []), ("gone", 503, [])]
)
def test_request_that_a_peer_forwarded_has_been_authenticated_there(account, status, sent):
    """A peer of a build without accounts names none, and passes the key on."""

    async def check():
        router = _router()
        headers = _headers("desk-key", X_Tenant=account or "floor")
        answered = await router.send(headers=headers, is_forwarded=True, account=account)
        assert answered.status == status
        assert _sent_accounts(router) == sent
        _assert_no_key_was_sent(router)

    run(check())


def test_forwarded_request_names_the_account_in_its_headers():
    """A peer of any build passes the headers on, and none gets the key."""

    async def check():
        router = _router()
        router.forwarder.answer = Answer(200, (), b"")
        router.calls.is_cut_off = True
        assert await router.reachability.causes_refusal()
        await _send(router, "/single/a", _headers("desk-key", X_Tenant="floor"))
        forwarded, _ = router.forwarder.forwarded[0]
        assert ("X-Tenant", "desk") in forwarded.headers
        assert b"desk-key" not in msgspec.msgpack.encode(forwarded)

    run(check())


class RefusingQuota:
    """A quota gate that has no room for a time, and records who asks."""

    def __init__(self, wait_s: float) -> None:
        self.wait_s = wait_s
        self.asked: list[str] = []

    async def acquire(self, account, request, now_s):
        self.asked.append(account.name)
        return self.wait_s


def test_request_beyond_the_quota_is_refused_with_the_time_of_its_return():
    async def check():
        gate = RefusingQuota(0.7)
        router = RouterFixture(uses_accounts=True, quota_gate=gate)
        router.publish(TABLE, *shard_backend_records())
        answered = await _send(router, "/single/a", _headers("desk-key"))
        assert (answered.status, answered.is_not_run) == (429, True)
        assert dict(answered.headers)["Retry-After"] == "0.70"
        await router.send(is_forwarded=True, account="desk")
        assert gate.asked == ["desk"], "the router that forwards a request has counted it"
        assert len(router.calls.sent) == 1

    run(check())


@pytest.mark.parametrize(("account", "priority"), [(DESK, 0), (FLOOR, 1), (None, 1)])
def test_priority_of_the_account_precedes_that_of_the_route(account, priority):
    limits = CallLimitsRule(TypicalLatencies()).limits(route(), account, request(), 0.0)
    assert limits.priority == priority


def test_lookup_among_thousands_of_accounts():
    accounts = [client_account(f"a{n}", *(f"key-{n}-{k}" for k in range(4))) for n in range(5000)]
    index = AccountIndex.from_accounts(accounts)
    assert index.find("key-4999-3") is accounts[4999]
    assert index.find("key-5000-0") is None
    assert index.find("") is None


def test_table_without_accounts_has_none():
    async def check():
        router = RouterFixture()
        router.publish(table(route(), accounts=None), backend_record("i1"))
        assert not RequestRouting(router.view).has_accounts()
        assert (await _send(router, "/single/a", ())).status == 200

    run(check())
