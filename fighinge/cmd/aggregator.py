"""The command that runs an aggregator, which calls the backend servers of its replica groups."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import defopt
import logbook

from fighinge.aggregator.admitted_sub_queries import AdmittedSubQueries
from fighinge.aggregator.http_client import HttpBackendClient
from fighinge.aggregator.policy import Policy
from fighinge.aggregator.service import AggregatorService
from fighinge.aggregator.stream_server import StreamServer
from fighinge.process import Node, run_process
from fighinge.settings import with_settings_help

if TYPE_CHECKING:
    from fighinge.settings import Settings

logger = logbook.Logger(__name__)

LEAVE_PROPAGATION_S = 1.0
DRAIN_TIMEOUT_S = 65.0
FLUSH_WAIT_S = 0.5
STOP_GRACE_S = 0.2


@with_settings_help
def aggregator(settings_file: str, *, check_settings: bool = False) -> None:
    """Run an aggregator until SIGTERM or SIGINT.

    :param settings_file: INI file with the settings of the host
    :param check_settings: only check the settings file and exit
    """
    run_process(settings_file, serve, check_settings=check_settings)


async def serve(settings: Settings) -> None:
    """Serve entries until a shutdown is requested, then drain."""
    node = Node(settings, "aggregator")
    client = HttpBackendClient.create()
    service = AggregatorService(
        client,
        asyncio.get_running_loop().time,
        name=settings.address,
        zone=settings.zone,
        fleet=node.fleet,
        facts=node.board,
        policy=Policy.from_name(settings.aggregator_policy),
    )
    node.store.listen(lambda accepted: service.configure(accepted.document))
    node.status.set_cold_source(lambda: _cold_servers(service))
    admitted = AdmittedSubQueries(service, node.admission)
    server = StreamServer(admitted)
    node.start()
    node.spawn(service.poll_states())
    await server.start(settings.address, settings.aggregator_port)
    logger.info("aggregator listening on {}:{}", settings.address, settings.aggregator_port)
    await node.stop_request.wait()
    logger.notice("aggregator is shutting down")
    node.membership.announce_leaving()
    await node.stop_request.wait_for_second_signal(min(settings.keep_s, LEAVE_PROPAGATION_S))
    service.stop()
    if not await admitted.running.wait_until_idle(DRAIN_TIMEOUT_S):
        logger.error("drain timeout exceeded; aborting {} sub-queries", len(admitted.running))
    await asyncio.sleep(FLUSH_WAIT_S)
    await server.stop(STOP_GRACE_S)
    await node.stop()
    client.close()
    logger.info("aggregator stopped")


def _cold_servers(service: AggregatorService) -> list[str]:
    servers = {name: server for group in service.groups() for name, server in group.servers.items()}
    return [name for name, server in servers.items() if server.cold_start.is_cold]


def main() -> None:
    """Run the command."""
    defopt.run(aggregator)


if __name__ == "__main__":
    main()
