"""Tests that router processes authenticate client accounts and hold them to their quotas."""

from __future__ import annotations

import asyncio

import pytest

from tests.platform.fleet import (
    FRONT_PORT,
    POLL_INTERVAL_S,
    CallerConnection,
    run_on_fleet,
)

DESK_KEY, OTHER_KEY, NEW_KEY = "desk-key-1", "other-key-1", "desk-key-2"
RATE_PER_S, BURST = 4.0, 4.0
WINDOW_S, OVERAGE, SLACK = 5.0, 0.25, 20.0
BOUND = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK
SETTINGS = {
    "contracts": ["tenants"],
    "bounds": {"grace-s": 6, "quota-window-s": WINDOW_S}
    | {"quota-overage": OVERAGE, "quota-slack": SLACK},
}
CONFIG_APPLY_S = 5.0
SETTLED_S = 8.0  # a window after the routers own quotas
FLOOD = 200  # requests, more than the bound of two windows
ROUTERS = 3


def _accounts(desk_key: str = DESK_KEY) -> list[dict]:
    return [
        {"name": "desk", "api-keys": [desk_key], "rate-per-s": RATE_PER_S, "burst": BURST},
        {"name": "other", "api-keys": [OTHER_KEY], "rate-per-s": 50, "burst": 50},
    ]


def _play(directory, work):
    """Run a coroutine function on a fleet whose configuration has accounts."""
    return run_on_fleet(
        directory, work, routers=ROUTERS, accounts=_accounts(), changed_settings=SETTINGS
    )


def test_withdrawn_key_is_refused_on_a_connection_that_stays_open(tmp_path):
    """Guards against a key that is looked up once for each connection."""

    async def work(fleet):
        connection = CallerConnection(fleet.address(0), FRONT_PORT)

        async def send(key):
            return (await connection.send(fleet.request("/one/x", key=key)[1])).status

        before = await send(DESK_KEY), await send(NEW_KEY)
        await fleet.configure(accounts=_accounts(NEW_KEY))
        await asyncio.sleep(CONFIG_APPLY_S)
        after = await send(DESK_KEY), await send(NEW_KEY)
        connection.close()
        return before, after

    assert _play(tmp_path, work) == ((200, 401), (401, 200))


@pytest.mark.parametrize("path", ["/one/x", "/all/x"])
def test_servers_see_the_account_and_never_the_key(path, tmp_path):
    async def work(fleet):
        request_id, reply = await fleet.ask(1, path, key=DESK_KEY)
        runs = [run for run in fleet.runs if run.request_id == request_id]
        logs = b"".join(file.read_bytes() for file in fleet.directory.glob("router-*.log"))
        return reply.status, runs, fleet.runs, logs

    status, runs, all_runs, logs = _play(tmp_path, work)
    assert status == 200
    assert runs
    for run in runs:
        names = {name.lower(): value for name, value in run.headers}
        assert names.get("x-tenant") == "desk"
        assert "authorization" not in names
    for key in (DESK_KEY, OTHER_KEY):
        assert not any(key in value for run in all_runs for _, value in run.headers)
        assert key.encode() not in logs


def test_flood_over_the_quota_is_refused_and_another_account_is_served(tmp_path):
    """Guards against quotas that each router counts on its own."""

    async def work(fleet):
        await asyncio.sleep(SETTLED_S)
        started = len(fleet.runs)
        flood, others = [], []

        async def send(replies, number, key):
            replies.append(await fleet.ask(number % ROUTERS, "/one/x", key=key))

        for number in range(FLOOD):
            await send(flood, number, DESK_KEY)
            if number % 20 == 0:
                await send(others, number, OTHER_KEY)
            await asyncio.sleep(POLL_INTERVAL_S / 3)
        refused = [(request_id, reply) for request_id, reply in flood if reply.status == 429]
        ran = {run.request_id for run in fleet.runs[started:]}
        times = sorted(run.at_s for run in fleet.runs if ("X-Tenant", "desk") in run.headers)
        most = max(sum(at_s <= t < at_s + WINDOW_S for t in times) for at_s in times)
        return {
            "statuses": {reply.status for _, reply in flood},
            "others": {reply.status for _, reply in others},
            "waits": all(float(reply.headers["retry-after"]) > 0 for _, reply in refused),
            "refused ran": any(request_id in ran for request_id, _ in refused),
            "within the bound": most <= BOUND,
        }

    assert _play(tmp_path, work) == {
        "statuses": {200, 429},
        "others": {200},
        "waits": True,
        "refused ran": False,
        "within the bound": True,
    }
