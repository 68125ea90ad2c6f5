"""Routers each of which reaches the backend servers by links of its own, which can be cut."""

from __future__ import annotations

import base64
from typing import TYPE_CHECKING

import msgspec

from standins.cuttable_link import Cut, CuttableLink, cut_all, heal_all
from tests.platform.fleet import RouterFleet

if TYPE_CHECKING:
    from pathlib import Path

    from standins.shard_server import ShardServer

LINK_PORT = 9400


class PartitionFleet(RouterFleet):
    """A fleet whose store gives each router addresses of its own links."""

    def __init__(self, directory: Path, network: int, routers: int = 3) -> None:
        super().__init__(directory, network, routers)
        self._links: dict[int, list[CuttableLink]] = {number: [] for number in range(routers)}
        self.store.rewrite = self._rewrite

    async def list_server(self, server: ShardServer) -> None:
        """Open a link of each router to a server, and write its record to the store."""
        at = self.servers.index(server)
        await self.open_links(at, server.host, server.port)
        value = server.store_value() | {"address": f"{server.host}:{LINK_PORT + at}"}
        await self.store.put(f"servers/{server.instance_id}", value)

    async def open_links(self, at: int, target_host: str, target_port: int) -> None:
        """Open the links of all routers to a server, given by its place in the list of servers."""
        for number, links in self._links.items():
            if at == len(links):
                host = self._host(number)
                links.append(CuttableLink(target_host, target_port, host, LINK_PORT + at))
            await links[at].start()

    def close_links(self, at: int) -> None:
        """Close the links of all routers to a server that has ended."""
        for links in self._links.values():
            links[at].stop()

    async def cut(self, number: int, how: Cut) -> None:
        """Cut a router off from all backend servers."""
        await cut_all(self._links[number], how)

    async def heal(self, number: int) -> None:
        """End the cut of a router."""
        await heal_all(self._links[number])

    async def stop(self) -> None:
        """Stop the fleet and the links."""
        for links in self._links.values():
            for link in links:
                link.unblock()
                link.stop()
        await super().stop()

    def _host(self, number: int) -> str:
        return f"127.{self.network}.20.{number + 1}"

    def _rewrite(self, caller: str, item: dict) -> dict:
        """Replace the address in the record of a server by that of the caller's link."""
        numbers = [number for number in self._links if self.address(number) == caller]
        instance_id = item["key"].removeprefix("servers/")
        is_own = any(server.instance_id == instance_id for server in self.servers)
        if not numbers or not is_own or "value" not in item:
            return item
        record = msgspec.json.decode(base64.b64decode(item["value"]))
        port = record["address"].rpartition(":")[2]
        record["address"] = f"{self._host(numbers[0])}:{port}"
        return item | {"value": base64.b64encode(msgspec.json.encode(record)).decode()}
