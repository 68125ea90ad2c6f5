"""Datagrams between routers that concern requests, apart from those of the membership.

They have a port of their own, so that routers of builds without it are not disturbed: nothing
listens there, and their membership datagrams stay as they are.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from fighinge.decoding import UNREADABLE_ERRORS
from fighinge.membership.member import GossipAddress
from fighinge.membership.transport import UdpTransport

if TYPE_CHECKING:
    from collections.abc import Callable

    from fighinge.membership.transport import Transport

MAX_DATAGRAM_BYTES = 1400  # fits in one Ethernet frame


class PeerChannel:
    """Sends messages to other routers, and passes received ones to the handlers of their types.

    Messages are tagged :class:`msgspec.Struct` types; fields added later need defaults. A datagram
    of an unknown type, of an unknown sender or with invalid content is ignored. Any message may be
    lost, duplicated, late or out of order.
    """

    __slots__ = ("_decoder", "_encoder", "_handlers", "_is_known", "_port", "_transport")

    def __init__(self, transport: Transport, port: int, is_known: Callable[[str], bool]) -> None:
        """Initialise a channel without handlers.

        :param port: the port of all routers, the same on every host
        :param is_known: whether a host address is that of a router
        """
        self._transport = transport
        self._port = port
        self._is_known = is_known
        self._handlers: dict[type, Callable[[object, str], None]] = {}
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder: msgspec.msgpack.Decoder | None = None

    @classmethod
    def from_address(cls, host: str, port: int, is_known: Callable[[str], bool]) -> PeerChannel:
        """Return a channel over UDP, bound to an address of this host."""
        return cls(UdpTransport(GossipAddress(host, port)), port, is_known)

    def handle(self, message_type: type, handler: Callable[[object, str], None]) -> None:
        """Call a handler with each message of a type and the host that sent it."""
        self._handlers[message_type] = handler
        self._decoder = msgspec.msgpack.Decoder(_union(self._handlers))

    async def open(self) -> None:
        """Start receiving.

        :raises OSError: if the address is in use
        """
        await self._transport.open(self._receive)

    def close(self) -> None:
        """Stop receiving."""
        self._transport.close()

    def send(self, host: str, message: msgspec.Struct) -> bool:
        """Send a message without waiting, and return whether it fits in a datagram."""
        data = self._encoder.encode(message)
        if len(data) > MAX_DATAGRAM_BYTES:
            return False
        self._transport.send(data, GossipAddress(host, self._port))
        return True

    def _receive(self, data: bytes, host: str) -> None:
        if self._decoder is None or not self._is_known(host):
            return
        try:
            message = self._decoder.decode(data)
        except UNREADABLE_ERRORS:
            return
        self._handlers[type(message)](message, host)


def _union(types: dict[type, object]) -> object:
    members = list(types)
    union = members[0]
    for member in members[1:]:
        union = union | member
    return union
