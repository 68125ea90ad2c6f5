"""Tests of the start of routers: early signals, settings being written, addresses in use."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import tomllib
from pathlib import Path

import msgspec
import pytest

from fighinge.platform.run import EXIT_INVALID_SETTINGS, EXIT_NOT_LISTENING
from tests.platform.fleet import (
    ADDRESS_PORT,
    CONTROL_PORT,
    FRONT_PORT,
    GOSSIP_PORT,
    READY_PORT,
    ROUTER_COMMAND,
    START_TIMEOUT_S,
    router_settings,
    run_on_fleet,
    wait_until,
)

TAKEN_S = 1.0
STOP_S = 5.0
FORGET_S = 10.0  # a router that was killed is suspected for some seconds
SITE_CUSTOMIZATION = "open({path!r}).read()\n"


async def _wait_for_event(fleet, event: str) -> None:
    """Wait until router 0 has logged an event."""

    async def is_logged() -> bool:
        return event in [line["event"] for line in fleet.lines(0)]

    await wait_until(is_logged, START_TIMEOUT_S)


def test_fleet_starts_routers_with_the_command_of_the_deploy_file():
    deployed = tomllib.loads(Path("deploy/system.toml").read_text())["roles"]["router"]["run"]
    assert tuple(deployed.split()[1:]) == ROUTER_COMMAND[1:]


# SIGHUP ended a router in the first 50 ms, which the interpreter spends on its site module.
def test_sighup_while_the_interpreter_loads_its_site_module_ends_no_router(tmp_path):
    """A pipe that a site customization reads holds the process until the signal has been sent."""
    pipe = tmp_path / "pipe"
    os.mkfifo(pipe)
    (tmp_path / "sitecustomize.py").write_text(SITE_CUSTOMIZATION.format(path=str(pipe)))
    settings = tmp_path / "node.json"
    settings.write_bytes(msgspec.json.encode(router_settings("127.0.0.1", 0, "127.0.0.1:1")))
    process = subprocess.Popen(
        [*ROUTER_COMMAND, "--settings-file", str(settings), "--check-settings"],
        env=os.environ | {"PYTHONPATH": str(tmp_path)},
        stderr=subprocess.DEVNULL,
    )
    with open(pipe, "w"):
        process.send_signal(signal.SIGHUP)
    assert process.wait(START_TIMEOUT_S) == 0


# The platform writes the file at each start and at each change, and not in one step.
@pytest.mark.parametrize("share", [None, 0.0, 0.5])
def test_router_that_starts_while_its_settings_are_written_reads_them_whole(share, tmp_path):
    """Without a share of the file there is none at first."""

    async def work(fleet):
        fleet.signal(0, signal.SIGKILL)
        await fleet.exited(0, STOP_S)
        path = tmp_path / "node-0.json"
        whole = path.read_bytes()
        if share is None:
            path.unlink()
        else:
            path.write_bytes(whole[: int(share * len(whole))])
        fleet.start_router(0, writes_settings=False)
        await asyncio.sleep(TAKEN_S)
        is_running = fleet.processes[0].poll() is None
        path.write_bytes(whole)
        await fleet.ready(0)
        return is_running, (await fleet.ask(0, "/one/x"))[1].status

    assert run_on_fleet(tmp_path, work) == (True, 200)


def test_router_without_valid_settings_ends_with_the_reason(tmp_path):
    path = tmp_path / "node.json"
    path.write_bytes(b"{}")
    process = subprocess.run(
        [*ROUTER_COMMAND, "--settings-file", str(path)],
        stderr=subprocess.PIPE,
        timeout=START_TIMEOUT_S,
        check=False,
    )
    assert process.returncode == EXIT_INVALID_SETTINGS
    assert b"node-name" in process.stderr


# A router whose address an earlier process still held ended by itself, again at each restart.
@pytest.mark.parametrize(
    ("port", "kind"),
    [
        *((port, socket.SOCK_STREAM) for port in (FRONT_PORT, READY_PORT, ADDRESS_PORT)),
        *((port, socket.SOCK_STREAM) for port in (CONTROL_PORT, GOSSIP_PORT + 1)),
        (GOSSIP_PORT, socket.SOCK_DGRAM),
    ],
)
def test_router_waits_for_an_address_that_is_in_use(port, kind, tmp_path):
    async def work(fleet):
        fleet.signal(0, signal.SIGKILL)
        await fleet.exited(0, STOP_S)
        with socket.socket(socket.AF_INET, kind) as holder:
            holder.bind((fleet.address(0), port))
            if kind is socket.SOCK_STREAM:
                holder.listen()
            fleet.start_router(0)
            await _wait_for_event(fleet, "address in use")
            await asyncio.sleep(TAKEN_S)
            is_running = fleet.processes[0].poll() is None
        await fleet.ready(0)
        await _wait_for_event(fleet, "address opened")
        return is_running, (await fleet.ask(0, "/one/x"))[1].status

    assert run_on_fleet(tmp_path, work) == (True, 200)


def test_router_that_waits_for_an_address_can_be_stopped(tmp_path):
    async def work(fleet):
        fleet.signal(0, signal.SIGKILL)
        await fleet.exited(0, STOP_S)
        with socket.socket() as holder:
            holder.bind((fleet.address(0), FRONT_PORT))
            holder.listen()
            fleet.start_router(0)
            await _wait_for_event(fleet, "address in use")
            fleet.signal(0, signal.SIGTERM)
            return await fleet.exited(0, STOP_S)

    assert run_on_fleet(tmp_path, work) == 0


def test_router_that_waits_for_its_callers_address_is_not_named_to_callers(tmp_path):
    async def work(fleet):
        fleet.signal(0, signal.SIGKILL)
        await fleet.exited(0, STOP_S)

        async def has_addresses(routers: int) -> bool:
            return len(await fleet.addresses(1)) == routers

        with socket.socket() as holder:
            holder.bind((fleet.address(0), FRONT_PORT))
            holder.listen()
            fleet.start_router(0)
            await _wait_for_event(fleet, "address in use")
            await wait_until(lambda: has_addresses(1), FORGET_S)
            await asyncio.sleep(TAKEN_S)
            is_named = await has_addresses(2)
        await wait_until(lambda: has_addresses(2), FORGET_S)
        return is_named

    assert run_on_fleet(tmp_path, work) is False


def test_router_whose_address_cannot_be_opened_ends_with_the_reason(tmp_path):
    settings = tmp_path / "node.json"
    settings.write_bytes(msgspec.json.encode(router_settings("192.0.2.1", 0, "127.0.0.1:1")))
    process = subprocess.run(
        [*ROUTER_COMMAND, "--settings-file", str(settings)],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        timeout=START_TIMEOUT_S,
        check=False,
    )
    assert process.returncode == EXIT_NOT_LISTENING
    assert process.stderr.startswith(b"error: ")
