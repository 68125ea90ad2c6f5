"""Command that serves a stand-in platform."""

from __future__ import annotations

import asyncio
from pathlib import Path

import defopt
import msgspec

from fighinge.configuration.base import ListedHost
from fighinge.configuration.history import BASE_KEY
from standins import platform_http
from standins.platform import StandinPlatform


def serve_platform(
    address: str, *, document_file: Path | None = None, hosts_file: Path | None = None
) -> None:
    """Serve the platform until the process is stopped.

    :param address: HOST:PORT to listen on
    :param document_file: JSON file with the configuration document to publish as version 1
    :param hosts_file: JSON file with the host list
    """
    raw_document = document_file.read_bytes() if document_file else b""
    raw_hosts = hosts_file.read_bytes() if hosts_file else b"[]"
    asyncio.run(_serve(address, raw_document, raw_hosts))


async def _serve(address: str, raw_document: bytes, raw_hosts: bytes) -> None:
    platform = StandinPlatform()
    if raw_document:
        base = msgspec.json.encode({"version": 1, "document": msgspec.Raw(raw_document)})
        await platform.publish(BASE_KEY, base)
    platform.hosts = msgspec.json.decode(raw_hosts, type=list[ListedHost])
    host, _colon, port = address.rpartition(":")
    platform_http.listen(platform, host, int(port))
    await asyncio.Event().wait()


if __name__ == "__main__":
    defopt.run(serve_platform)
