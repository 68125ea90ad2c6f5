"""Routers whose backend servers are behind proxies that inject faults."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

from standins.faulty_proxy import FaultyProxy
from tests.platform.partition_fleet import LINK_PORT, PartitionFleet

if TYPE_CHECKING:
    from pathlib import Path

    from standins.shard_server import ShardServer

PROXY_PORT = LINK_PORT  # the links of a server have its proxy's port, at other addresses


class SoakFleet(PartitionFleet):
    """A fleet with a fault-injecting proxy in front of each backend server.

    :param has_links: whether each router has links of its own to the proxies
    """

    def __init__(
        self, directory: Path, network: int, routers: int, *, has_links: bool = True
    ) -> None:
        super().__init__(directory, network, routers)
        self.proxies: list[FaultyProxy] = []
        self.events.on_end = self._handle_end
        self._has_links = has_links
        if not has_links:
            self.store.rewrite = lambda _caller, item: item

    def proxy_of(self, server: ShardServer) -> FaultyProxy:
        """Return the proxy in front of a backend server."""
        return self.proxies[self.servers.index(server)]

    async def list_server(self, server: ShardServer) -> None:
        """Listen at the server's proxy and write a record with the proxy's address."""
        at = self.servers.index(server)
        if at == len(self.proxies):
            self.proxies.append(FaultyProxy(server.host, server.port))
        proxy = self.proxies[at]
        await proxy.start(f"127.{self.network}.7.1", PROXY_PORT + at)
        if self._has_links:
            await self.open_links(at, f"127.{self.network}.7.1", proxy.port)
        await self.store.put(f"servers/{server.instance_id}", self.store_value(server, proxy))

    def _handle_end(self, server: ShardServer) -> None:
        self.proxy_of(server).stop()
        if self._has_links:
            self.close_links(self.servers.index(server))

    async def stop(self) -> None:
        """Stop the fleet and the proxies."""
        for number in self.processes:
            self.signal(number, signal.SIGCONT)
        for proxy in self.proxies:
            proxy.stop()
        await super().stop()

    @staticmethod
    def store_value(server: ShardServer, proxy: FaultyProxy, state: str = "ready") -> dict:
        """Return a backend server's record with its proxy's address."""
        host = server.host.replace(".8.1", ".7.1")
        return server.store_value(state) | {"address": f"{host}:{proxy.port}"}
