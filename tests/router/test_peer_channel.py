"""Tests of the datagrams between routers that concern requests."""

from __future__ import annotations

import asyncio

import msgspec

from fighinge.membership.member import GossipAddress
from fighinge.router.peer_channel import MAX_DATAGRAM_BYTES, PeerChannel

PORT = 7742
PEER = "10.0.0.2"


class Greeting(msgspec.Struct, frozen=True, array_like=True, tag="greeting"):
    text: str


class Farewell(msgspec.Struct, frozen=True, array_like=True, tag="farewell"):
    text: str


class MemoryTransport:
    """A transport that records what is sent."""

    def __init__(self):
        self.sent = []
        self.receive = None

    async def open(self, receive):
        self.receive = receive

    def send(self, data, address):
        self.sent.append((data, address))

    def close(self):
        self.receive = None


def _channel(transport, handled=(Greeting, Farewell)):
    received = []
    channel = PeerChannel(transport, PORT, {PEER}.__contains__)
    for message_type in handled:
        channel.handle(message_type, lambda message, host: received.append((message, host)))
    return channel, received


def test_messages_reach_the_handler_of_their_type():
    sender_transport, receiver_transport = MemoryTransport(), MemoryTransport()
    sender, _ = _channel(sender_transport)
    receiver, received = _channel(receiver_transport)
    asyncio.run(receiver.open())
    assert sender.send("10.0.0.1", Greeting("hello"))
    data, address = sender_transport.sent[0]
    assert address == GossipAddress("10.0.0.1", PORT)
    receiver_transport.receive(data, PEER)
    assert received == [(Greeting("hello"), PEER)]


def test_message_that_cannot_be_read_is_ignored():
    """Guards against a peer of another build, or other traffic, ending the receiver."""
    transport = MemoryTransport()
    channel, received = _channel(transport, handled=(Greeting,))
    asyncio.run(channel.open())
    transport.receive(msgspec.msgpack.encode(Farewell("bye")), PEER)
    transport.receive(b"\xc1 no message", PEER)
    transport.receive(msgspec.msgpack.encode(Greeting("hello")), "10.0.0.9")
    assert received == []


def test_message_that_exceeds_a_datagram_is_not_sent():
    transport = MemoryTransport()
    channel, _ = _channel(transport)
    assert not channel.send(PEER, Greeting("x" * MAX_DATAGRAM_BYTES))
    assert transport.sent == []
