"""Runs the demo: a small fleet, a sample query, a graceful end."""

from __future__ import annotations

import asyncio
import signal
import sys

import defopt
import msgspec

from demo.fleet import ENTRY_PORT, Fleet, document, host_entries

SETTLE_S = 1.5


def run(*, serve: bool = False) -> None:
    """Start a small fleet and send a sample query.

    :param serve: keep the fleet up until interrupted
    """
    asyncio.run(_run(serve=serve))


async def _run(*, serve: bool) -> None:
    fleet = Fleet(msgspec.json.encode(document()), host_entries())
    print(f"starting {len(fleet.hosts)} hosts, each with an entry and an aggregator")
    code = 1
    try:
        await fleet.start()
        await asyncio.sleep(SETTLE_S)
        code = await _sample_query(fleet)
        if serve:
            await _serve(fleet)
    finally:
        await fleet.stop()
    stopped = [process.returncode for process in fleet.processes.values()]
    print(f"stopped {len(stopped)} processes, exit codes {sorted(set(stopped))}")
    sys.exit(code or max(stopped))


async def _sample_query(fleet: Fleet) -> int:
    command = [
        *("-m", "fighinge.cmd.query", "desk"),
        *("--entry", f"http://{fleet.hosts[0].address}:{ENTRY_PORT}"),
        *("--filter", '{"city": "Laredo"}'),
        *("--facet", "city", "--limit", "5", "--trace"),
    ]
    print("fighinge-query " + " ".join(command[2:]))
    process = await asyncio.create_subprocess_exec(sys.executable, *command)
    return await process.wait()


async def _serve(fleet: Fleet) -> None:
    address = fleet.hosts[0].address
    print(f"try: curl http://{address}:{ENTRY_PORT}/v1/entries")
    print(f"try: fighinge-query desk --entry http://{address}:{ENTRY_PORT} --trace")
    print("stop with Ctrl-C")
    stopped = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, stopped.set)
    await stopped.wait()


def main() -> None:
    """Run the command."""
    defopt.run(run)


if __name__ == "__main__":
    main()
