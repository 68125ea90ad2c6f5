"""The command that runs an entry, which answers queries and assigns entries to callers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import defopt
import logbook

from fighinge.entry.at_most_once import AtMostOnceExecutor
from fighinge.entry.http_server import create_server
from fighinge.entry.peer_entries import HttpRequestForwarder
from fighinge.entry.query_admission import AdmissionControlledExecutor, CountingExecutor
from fighinge.entry.query_service import QueryService
from fighinge.entry.snapshots import SnapshotChooser
from fighinge.entry.stream_link import StreamLinks
from fighinge.entry.tickets import TicketRegistry
from fighinge.errors import ErrorKind, Failure
from fighinge.metrics import QueryLabels
from fighinge.process import Node, run_process
from fighinge.settings import with_settings_help

if TYPE_CHECKING:
    from fighinge.queries import EntriesAnswer, EntryAddress
    from fighinge.settings import Settings

logger = logbook.Logger(__name__)

TICKETS_IN_ANSWER = 4
LEAVE_PROPAGATION_S = 1.0
DRAIN_TIMEOUT_S = 65.0
FLUSH_WAIT_S = 0.1


@with_settings_help
def entry(settings_file: str, *, check_settings: bool = False) -> None:
    """Run an entry until SIGTERM or SIGINT.

    :param settings_file: INI file with the settings of the host
    :param check_settings: only check the settings file and exit
    """
    run_process(settings_file, serve, check_settings=check_settings)


async def serve(settings: Settings) -> None:
    """Serve callers until a shutdown is requested, then drain."""
    node = Node(settings, "entry")
    clock = asyncio.get_running_loop().time
    snapshots = SnapshotChooser(clock)
    links = StreamLinks(node.fleet.aggregator_address, snapshots)
    service = QueryService(settings.address, node.fleet, links, snapshots, clock)
    node.store.listen(lambda accepted: service.configure(accepted.version, accepted.document))

    tickets = TicketRegistry.create(settings.address)
    peers = HttpRequestForwarder.create(node.fleet)

    def entries(caller: str, zone: str) -> EntriesAnswer | Failure:
        if node.store.active is None:
            return Failure(ErrorKind.NOT_READY, "no configuration is known yet")
        answer = node.fleet.entries(node.store.active.document, caller, zone)
        if not node.membership.table.local_member.leaving:
            answer.tickets = tickets.mint(TICKETS_IN_ANSWER, clock())
        return answer

    def labels_of(service_name: str) -> QueryLabels:
        accepted = node.store.active
        return QueryLabels.from_document(accepted.document if accepted else None, service_name)

    def entries_elsewhere() -> list[EntryAddress]:
        return node.fleet.entries(node.store.active.document, "", settings.zone).entries

    admitted = AdmissionControlledExecutor(service, node.admission, entries_elsewhere)
    queries = CountingExecutor(AtMostOnceExecutor(admitted, tickets, peers, clock))
    server = create_server(queries, entries, labels_of)
    node.start()
    node.spawn(links.run_departed_cleanup(lambda: {peer.name for peer in node.fleet.aggregators()}))
    server.listen(settings.entry_port, settings.address)
    logger.info("entry listening on {}:{}", settings.address, settings.entry_port)
    await node.stop_request.wait()
    logger.notice("entry is shutting down; callers may use it for another {} s", settings.keep_s)
    node.membership.announce_leaving()
    await node.stop_request.wait_for_second_signal(
        settings.keep_s + min(settings.keep_s, LEAVE_PROPAGATION_S)
    )
    server.stop()
    if not await queries.running.wait_until_idle(DRAIN_TIMEOUT_S):
        logger.error("drain timeout exceeded; aborting {} queries", len(queries.running))
    await asyncio.sleep(FLUSH_WAIT_S)
    await server.close_all_connections()
    peers.close()
    await links.close()
    await node.stop()
    logger.info("entry stopped")


def main() -> None:
    """Run the command."""
    defopt.run(entry)


if __name__ == "__main__":
    main()
