"""Speaks to the backend servers of the replica groups that it owns."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import defopt
import logbook

from fighinge.aggregator.http_client import HttpBackendClient
from fighinge.aggregator.policy import Policy
from fighinge.aggregator.service import AggregatorService
from fighinge.aggregator.stream_server import StreamServer
from fighinge.process import Node, run_process, wait_for_stop

if TYPE_CHECKING:
    from fighinge.settings import Settings

logger = logbook.Logger(__name__)

STOP_GRACE_S = 5.0


def aggregator(settings_file: str, *, check_settings: bool = False) -> None:
    """Run an aggregator until SIGTERM.

    :param settings_file: INI file with the settings of the host
    :param check_settings: check the settings and exit
    """
    run_process(settings_file, serve, check_settings=check_settings)


async def serve(settings: Settings) -> None:
    """Serve entries until the process is told to stop."""
    node = Node(settings, "aggregator")
    client = HttpBackendClient.create()
    service = AggregatorService(
        client,
        asyncio.get_running_loop().time,
        name=settings.address,
        zone=settings.zone,
        fleet=node.fleet,
        policy=Policy.named(settings.aggregator_policy),
    )
    node.store.listen(lambda accepted: service.configure(accepted.document))
    server = StreamServer(service)
    node.start()
    node.spawn(service.poll_states())
    await server.start(settings.address, settings.aggregator_port)
    logger.info("aggregator listens on {}:{}", settings.address, settings.aggregator_port)
    await wait_for_stop()
    service.stop()
    await server.stop(STOP_GRACE_S)
    await node.stop()
    client.close()
    logger.info("aggregator stopped")


def main() -> None:
    """Run the command."""
    defopt.run(aggregator)


if __name__ == "__main__":
    main()
