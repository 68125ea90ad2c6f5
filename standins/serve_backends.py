"""Command that serves the stand-in backend servers of a configuration document."""

from __future__ import annotations

import asyncio
from pathlib import Path

import defopt

from fighinge.errors import Failure
from fighinge.model import decode_document
from standins import backend_http
from standins.backend import StandinServer
from standins.behaviour import replace_fields


def serve_backends(
    document_file: Path,
    *,
    servers: str = "",
    behaviour: str = "{}",
    control: str = "",
    seed: int = 1,
) -> None:
    """Serve backend servers until the process is stopped.

    :param document_file: configuration document as JSON
    :param servers: comma-separated names of the servers; all servers of the document if empty
    :param behaviour: changed fields of ``Behaviour`` as a JSON object
    :param control: HOST:PORT of the fault-injection API for all servers; none if empty
    :param seed: seed of the random service times and faults
    """
    document = decode_document(document_file.read_bytes())
    if isinstance(document, Failure):
        raise SystemExit(f"{document_file}: {document.field} {document.reason}")
    names = servers.split(",") if servers else list(document.backend_servers)
    asyncio.run(_serve(document, names, behaviour, control, seed))


async def _serve(document, names: list[str], behaviour: str, control: str, seed: int) -> None:
    servers = {name: StandinServer(name, document, seed) for name in names}
    for server in servers.values():
        changed = replace_fields(server.behaviour, behaviour.encode())
        if isinstance(changed, Failure):
            raise SystemExit(f"--behaviour: {changed.reason}")
        server.behaviour = changed
        backend_http.listen(server)
    if control:
        host, _colon, port = control.rpartition(":")
        backend_http.listen_control(servers, host, int(port))
    await asyncio.Event().wait()


if __name__ == "__main__":
    defopt.run(serve_backends)
