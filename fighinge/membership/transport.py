"""Datagram transport between members."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

import logbook

if TYPE_CHECKING:
    from collections.abc import Callable

    from fighinge.membership.member import GossipAddress

logger = logbook.Logger(__name__)


class Transport(Protocol):
    """Interface of an unreliable transport: datagrams may be lost, duplicated or reordered."""

    async def open(self, receive: Callable[[bytes, str], None]) -> None:
        """Start receiving.

        :param receive: called with each datagram and its source host
        :raises OSError: if the address is in use
        """

    def send(self, data: bytes, address: GossipAddress) -> None:
        """Send a datagram without waiting."""

    def close(self) -> None:
        """Stop receiving."""


class UdpTransport(asyncio.DatagramProtocol):
    """UDP transport bound to the address of the host."""

    def __init__(self, address: GossipAddress) -> None:
        self._address = address
        self._receive: Callable[[bytes, str], None] | None = None
        self._endpoint: asyncio.DatagramTransport | None = None

    async def open(self, receive: Callable[[bytes, str], None]) -> None:
        """Bind the socket."""
        self._receive = receive
        loop = asyncio.get_running_loop()
        self._endpoint, _protocol = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self._address
        )

    def send(self, data: bytes, address: GossipAddress) -> None:
        """Send a datagram unless the socket is closed; delivery is not guaranteed."""
        if self._endpoint is not None and not self._endpoint.is_closing():
            self._endpoint.sendto(data, address)

    def close(self) -> None:
        """Close the socket."""
        if self._endpoint is not None:
            self._endpoint.close()

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Pass a datagram to the receiver."""
        if self._receive is not None:
            self._receive(data, addr[0])

    def error_received(self, exc: OSError) -> None:
        """Log socket errors only for debugging; the failure detector finds unreachable members."""
        logger.debug("datagram not delivered: {}", exc)
