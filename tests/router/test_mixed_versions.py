"""Tests that routers of this build and of the one in production read each other's messages.

``messages_ca2e048.json`` has the messages of ``peer_messages`` as that commit encoded them.
"""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from fighinge.membership.messages import CHECKSUM_BYTES, MAGIC, Codec
from tests.router.peer_messages import datagrams, encoded_messages, peer_messages

PRODUCTION = {
    name: bytes.fromhex(text)
    for name, text in msgspec.json.decode(
        Path(__file__).with_name("messages_ca2e048.json").read_bytes()
    ).items()
}


def _extends(new: object, old: object) -> bool:
    """Return whether a message has all of an older one, and at most further fields at its end."""
    if isinstance(old, dict):
        return isinstance(new, dict) and all(
            name in new and _extends(new[name], value) for name, value in old.items()
        )
    if isinstance(old, list):
        return isinstance(new, list) and len(new) >= len(old) and all(map(_extends, new, old))
    return new == old


def _content(encoded: bytes) -> object:
    is_datagram = encoded.startswith(MAGIC)
    return msgspec.msgpack.decode(
        encoded[len(MAGIC) + CHECKSUM_BYTES :] if is_datagram else encoded
    )


def test_all_kinds_of_messages_are_compared():
    assert set(PRODUCTION) == set(encoded_messages())


@pytest.mark.parametrize("name", peer_messages())
def test_message_of_the_production_build_is_read(name):
    message = peer_messages()[name]
    assert msgspec.msgpack.decode(PRODUCTION[name], type=type(message)) == message


@pytest.mark.parametrize("name", datagrams())
def test_datagram_of_the_production_build_is_read(name):
    assert Codec().decode(PRODUCTION[name]) == datagrams()[name]


@pytest.mark.parametrize("name", encoded_messages())
def test_production_build_reads_a_message_of_this_build(name):
    assert _extends(_content(encoded_messages()[name]), _content(PRODUCTION[name]))
