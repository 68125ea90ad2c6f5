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
    """A proxy to a server at an address of its own, which listens while server and link are up."""

    def __init__(self, target_host: str, target_port: int, host: str, port: int) -> None:
        self._proxy = FaultyProxy(target_host, target_port)
        self._host, self._port = host, port
        self._is_up = False
        self._is_listening = False
        self._settling = asyncio.Lock()
        self._how: Cut | None = None
        self._blockers: list[socket.socket] = []

    async def start(self) -> None:
        """Listen, unless the link is cut; the server has started."""
        self._is_up = True
        await self._settle()

    def stop(self) -> None:
        """Refuse new connections and reset the open ones; the server has ended."""
        self._is_up = False
        self._stop_listening()
        self._proxy.reset_connections()

    async def cut(self, how: Cut) -> None:
        """Cut the link, unless it is cut already."""
        if self._how is not None:
            return
        self._how = how
        if how is Cut.RESET:
            self._proxy.reset_connections()
        if how is Cut.HANG:
            self._proxy.mode = "silent"
        await self._settle()
        if how is Cut.HANG and self._how is how and not self._blockers:
            self._block()

    async def heal(self) -> None:
        """End the cut, if there is one; connections that were silent are reset."""
        if self._how is None:
            return
        if self._how is Cut.HANG:
            self._proxy.reset_connections()
        self._how = None
        self.unblock()
        self._proxy.mode = ""
        await self._settle()

    async def _settle(self) -> None:
        """Listen if server and link are up, which may change while the listener opens."""
        async with self._settling:
            while (self._is_up and self._how is None) != self._is_listening:
                if self._is_listening:
                    self._stop_listening()
                    continue
                await self._proxy.start(self._host, self._port)
                self._is_listening = True

    def _stop_listening(self) -> None:
        if self._is_listening:
            self._is_listening = False
            self._proxy.stop_listening()

    def unblock(self) -> None:
        """Close the sockets that keep connections from being established."""
        for item in self._blockers:
            item.close()
        self._blockers = []

    def _block(self) -> None:
        """Listen with a full queue of connections, so that the kernel drops further ones."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self._host, self._port))
        listener.listen(0)
        self._blockers.append(listener)
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self._host, self._port))
            self._blockers.append(filler)


async def cut_all(links: list[CuttableLink], how: Cut) -> None:
    """Cut several links."""
    await asyncio.gather(*(link.cut(how) for link in links))


async def heal_all(links: list[CuttableLink]) -> None:
    """End the cut of several links."""
    await asyncio.gather(*(link.heal() for link in links))
