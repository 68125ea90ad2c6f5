"""Simulated datagram network between members in one process."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from fighinge.membership.member import GossipAddress

MEAN_LATENCY_S = 0.0015


class DatagramNetwork:
    """Deliver datagrams after a random latency; some are lost.

    ``is_blocked`` takes the hosts of sender and receiver, so it can block one direction alone;
    ``loss_ratio`` is the fraction of datagrams that are lost at random.
    """

    def __init__(self, seed: int) -> None:
        self.loss_ratio = 0.0
        self.is_blocked: Callable[[str, str], bool] = lambda _sender, _receiver: False
        self.receivers: dict[GossipAddress, Callable[[bytes, str], None]] = {}
        self.delivered_datagrams = 0
        self.max_datagram_bytes = 0
        self._random = random.Random(seed)

    def send(self, data: bytes, sender: GossipAddress, receiver: GossipAddress) -> None:
        """Deliver a datagram after a latency, unless it is blocked or lost."""
        self.max_datagram_bytes = max(self.max_datagram_bytes, len(data))
        if self.is_blocked(sender.host, receiver.host) or self._random.random() < self.loss_ratio:
            return
        latency_s = MEAN_LATENCY_S * (0.5 + self._random.random())
        asyncio.get_running_loop().call_later(latency_s, self._deliver, data, sender, receiver)

    def _deliver(self, data: bytes, sender: GossipAddress, receiver: GossipAddress) -> None:
        receive = self.receivers.get(receiver)
        if receive is not None:
            self.delivered_datagrams += 1
            receive(data, sender.host)


class NetworkTransport:
    """Transport of one member over the simulated network."""

    def __init__(self, network: DatagramNetwork, address: GossipAddress) -> None:
        self._network = network
        self._address = address
        self._receive: Callable[[bytes, str], None] | None = None

    async def open(self, receive: Callable[[bytes, str], None]) -> None:
        """Register a callback that gets each datagram and the host of its sender."""
        self._receive = receive
        self._network.receivers[self._address] = receive

    def send(self, data: bytes, address: GossipAddress) -> None:
        """Send a datagram to an address."""
        self._network.send(data, self._address, address)

    def close(self) -> None:
        """Stop receiving datagrams."""
        if self._network.receivers.get(self._address) is self._receive:
            del self._network.receivers[self._address]
