"""Command that starts a small fleet, sends sample queries and shuts the fleet down."""

from __future__ import annotations

import asyncio
import shlex
import signal
import sys

import defopt
import msgspec

from demo.fleet import (
    BACKEND_HOST,
    ENTRY_PORT,
    FIRST_BACKEND_PORT,
    PLATFORM_HOST,
    PLATFORM_PORT,
    Fleet,
    document,
    listed_hosts,
)

MEMBERSHIP_SETTLE_S = 1.5
STOPPED_SHARD = "s0004"


def run(*, serve: bool = False) -> None:
    """Start a small fleet and send a sample query, with all shards and without some of them.

    :param serve: send only the first query and keep the fleet up until interrupted
    """
    asyncio.run(_run(serve=serve))


async def _run(*, serve: bool) -> None:
    fleet = Fleet(msgspec.json.encode(document()), listed_hosts())
    print(f"starting {len(fleet.hosts)} hosts, each with an entry and an aggregator", flush=True)
    code = 1
    try:
        await fleet.start()
        await asyncio.sleep(MEMBERSHIP_SETTLE_S)
        code = await _sample_query(fleet, "--facet", "city", "--limit", "5", "--trace")
        if serve:
            await _serve(fleet)
        elif code == 0:
            code = await _query_without(fleet, STOPPED_SHARD)
    finally:
        await fleet.stop()
    exit_codes = [process.returncode for process in fleet.processes.values()]
    print(f"stopped {len(exit_codes)} processes, exit codes {sorted(set(exit_codes))}")
    sys.exit(code or max(exit_codes))


async def _query_without(fleet: Fleet, shard: str) -> int:
    """Stop all replicas of a shard and send the sample query again."""
    shards = document()["collections"]["attendees"]["snapshots"][0]["shards"]
    replicas = shards[shard]["replicas"]
    unavailable = [name for name, shard in shards.items() if shard["replicas"] == replicas]
    print(
        f"\nstopping {', '.join(replicas)}, which alone hold {', '.join(unavailable)}", flush=True
    )
    for name in replicas:
        await fleet.stop_backend_server(name)
    return await _sample_query(fleet, "--limit", "1")


async def _sample_query(fleet: Fleet, *options: str) -> int:
    command = [
        *("-m", "fighinge.cmd.query", "desk"),
        *("--entry", f"http://{fleet.hosts[0].address}:{ENTRY_PORT}"),
        *("--filter", '{"city": "Laredo"}'),
        *options,
    ]
    print("$ fighinge-query " + shlex.join(command[2:]), flush=True)
    process = await asyncio.create_subprocess_exec(sys.executable, *command)
    return await process.wait()


async def _serve(fleet: Fleet) -> None:
    entry = f"http://{fleet.hosts[0].address}:{ENTRY_PORT}"
    platform = f"http://{PLATFORM_HOST}:{PLATFORM_PORT}"
    backend_server = f"http://{BACKEND_HOST}:{FIRST_BACKEND_PORT}"
    commands = (
        f"curl {entry}/v1/entries",
        f"curl {entry}/metrics",
        f"fighinge-query desk --entry {entry} --trace",
        f"fighinge-ctl status --platform {platform}",
        f"fighinge-ctl explain s0004 --platform {platform}",
        f"curl -X PUT {backend_server}/standin/behaviour -d '{{\"service_ms\": 300}}'",
    )
    print("try:", *commands, "stop with Ctrl-C", sep="\n  ", flush=True)
    stopped = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, stopped.set)
    await stopped.wait()


def main() -> None:
    """Run the command."""
    defopt.run(run)


if __name__ == "__main__":
    main()
