"""Command that runs a router with the platform's settings, store and headers."""

from __future__ import annotations

import asyncio
import logging
import sys
import time
from functools import partial
from pathlib import Path

from fighinge.errors import Failure
from fighinge.platform.headers import PlatformCodec
from fighinge.platform.records import OPERATOR_PREFIX, SERVERS_PREFIX
from fighinge.platform.servers import start_servers
from fighinge.platform.settings import read_settings, settings_path
from fighinge.platform.store import PlatformStore
from fighinge.router.decision_log import DecisionLog
from fighinge.router.idle_time import IdleTimeSelector
from fighinge.router.process import Router, steady_clock
from fighinge.router.settings import RouterSettings
from fighinge.router.view import Topic

METRICS_PORT_OFFSET = 1  # the first internal port is used for gossip between routers
EXIT_INVALID_SETTINGS = 2
EXIT_NOT_LISTENING = 3
SETTINGS_RETRY_INTERVAL_S = 0.1
MAX_SETTINGS_RETRIES = 20  # 2 s; writing a file of some KB takes milliseconds


def router(*, settings_file: Path | None = None, check_settings: bool = False) -> None:
    """Run a router until SIGTERM.

    :param settings_file: the platform's settings file; by default the one named in the environment
    :param check_settings: check the settings and exit
    """
    path = settings_file or settings_path()
    retries = 0 if check_settings else MAX_SETTINGS_RETRIES
    settings = path if isinstance(path, Failure) else _read_settings_at_start(path, retries)
    if isinstance(settings, Failure):
        print(f"error: {settings.field}: {settings.reason}", file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    if check_settings:
        print(f"{path}: ok")
        return
    logging.getLogger().setLevel(logging.CRITICAL)
    selector = IdleTimeSelector()
    with asyncio.Runner(loop_factory=partial(asyncio.SelectorEventLoop, selector)) as runner:
        runner.run(serve(settings, path, selector))


def _read_settings_at_start(path: Path, retries: int) -> RouterSettings | Failure:
    """Return the settings; a file that cannot be read may be about to be written."""
    settings = read_settings(path)
    for _ in range(retries):
        if not isinstance(settings, Failure):
            break
        time.sleep(SETTINGS_RETRY_INTERVAL_S)
        settings = read_settings(path)
    return settings


async def serve(settings: RouterSettings, path: Path, selector: IdleTimeSelector) -> None:
    """Serve callers until the process receives SIGTERM.

    :param path: the settings file, which is read again after a change
    :param selector: that of the event loop, which tells how busy this process is
    """
    log = DecisionLog(steady_clock, time.time)
    prefixes = {Topic.CONFIGURATION: OPERATOR_PREFIX, Topic.BACKENDS: SERVERS_PREFIX}
    sources = {
        topic: PlatformStore.from_address(settings.platform_address, prefix, settings.address)
        for topic, prefix in prefixes.items()
    }
    process = Router(
        settings,
        PlatformCodec(),
        sources,
        log,
        partial(read_settings, path),
        lambda: selector.idle_s,
    )
    starting = asyncio.create_task(_start(process))
    stopping = asyncio.create_task(process.stop_request.wait())
    await asyncio.wait((starting, stopping), return_when=asyncio.FIRST_COMPLETED)
    if starting.done():
        _exit_if_failed(starting)
        await stopping
    starting.cancel()
    await process.stop()


def _exit_if_failed(starting: asyncio.Task[None]) -> None:
    try:
        starting.result()
    except OSError as error:
        print(f"error: {error}", file=sys.stderr)
        sys.exit(EXIT_NOT_LISTENING)


async def _start(process: Router) -> None:
    await process.start()
    await start_servers(process, process.settings.gossip_port + METRICS_PORT_OFFSET)


def main() -> None:
    """Run the command, without loading the option parser if there are no options.

    The platform passes none, and importing the parser takes a third of the start-up time.
    """
    if len(sys.argv) == 1:
        router()
        return
    import defopt

    defopt.run(router)
