"""Carries datagrams between members."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

import logbook

if TYPE_CHECKING:
    from collections.abc import Callable

    from fighinge.membership.member import GossipAddress

logger = logbook.Logger(__name__)


class Transport(Protocol):
    """Sends and receives datagrams, which may be lost, doubled or late."""

    async def open(self, receive: Callable[[bytes, str], None]) -> None:
        """Start to receive.

        :param receive: called with each datagram and the host that it came from
        :raises OSError: if the address is taken
        """

    def send(self, data: bytes, address: GossipAddress) -> None:
        """Send a datagram without waiting."""

    def close(self) -> None:
        """Stop to receive."""


class UdpTransport(asyncio.DatagramProtocol):
    """Datagrams over UDP, bound to the host's own address."""

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
        """Send a datagram; what the kernel cannot take now is lost."""
        if self._endpoint is not None and not self._endpoint.is_closing():
            self._endpoint.sendto(data, address)

    def close(self) -> None:
        """Close the socket."""
        if self._endpoint is not None:
            self._endpoint.close()

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Hand a datagram over."""
        if self._receive is not None:
            self._receive(data, addr[0])

    def error_received(self, exc: OSError) -> None:
        """Ignore what the network says of datagrams that did not arrive."""
        logger.debug("datagram not delivered: {}", exc)
