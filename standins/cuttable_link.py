"""TCP links that can be cut, as a partition does it, for one caller of a server."""

from __future__ import annotations

import asyncio
import enum
import socket

from standins.faulty_proxy import FaultyProxy


class Cut(enum.Enum):
    """How a cut affects connections.

    ``HANG``: open connections are silent, and new ones are not established.
    ``RESET``: open ones are reset, and new ones are refused.
    ``REFUSE``: open ones live on, and new ones are refused.
    """

    HANG = "hang"
    RESET = "reset"
    REFUSE = "refuse"


class CuttableLink:
    """A proxy to a server at an address of its own, whose listener goes during a cut."""

    def __init__(self, target_host: str, target_port: int, host: str, port: int) -> None:
        self._proxy = FaultyProxy(target_host, target_port)
        self._host, self._port = host, port
        self._blocker: socket.socket | None = None
        self._fillers: list[socket.socket] = []

    async def start(self) -> None:
        """Listen."""
        await self._proxy.start(self._host, self._port)

    async def cut(self, how: Cut) -> None:
        """Cut the link."""
        self._proxy.stop_listening()
        if how is Cut.RESET:
            self._proxy.reset_connections()
        if how is Cut.HANG:
            self._proxy.mode = "silent"
            self._block()

    async def heal(self) -> None:
        """End the cut; connections that were silent are reset."""
        for item in (*self._fillers, *([self._blocker] if self._blocker else [])):
            item.close()
        if self._blocker is not None:
            self._proxy.reset_connections()
        self._blocker, self._fillers = None, []
        self._proxy.mode = ""
        await self._proxy.start(self._host, self._port)

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        for item in (*self._fillers, *([self._blocker] if self._blocker else [])):
            item.close()
        self._proxy.stop()

    def _block(self) -> None:
        """Listen with a full queue of connections, so that the kernel drops further ones."""
        self._blocker = socket.socket()
        self._blocker.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._blocker.bind((self._host, self._port))
        self._blocker.listen(0)
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self._host, self._port))
            self._fillers.append(filler)


async def cut_all(links: list[CuttableLink], how: Cut) -> None:
    """Cut several links."""
    await asyncio.gather(*(link.cut(how) for link in links))


async def heal_all(links: list[CuttableLink]) -> None:
    """End the cut of several links."""
    await asyncio.gather(*(link.heal() for link in links))
