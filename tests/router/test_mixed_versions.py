"""Tests that routers of this build and of those in production read each other's messages.

``messages_COMMIT.json`` has the messages of ``peer_messages`` as that commit encoded them. Routers
of ca2e048 do not know the store's eras, those of 3f186fd do, and none knows client accounts.
"""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from fighinge.membership.messages import CHECKSUM_BYTES, MAGIC, Codec
from tests.router.peer_messages import datagrams, encoded_messages, peer_messages

HAS_ERAS = {"ca2e048": False, "3f186fd": True, "a7cfcc9": True}


def _read_messages(build: str) -> dict[str, bytes]:
    path = Path(__file__).with_name(f"messages_{build}.json")
    texts = msgspec.json.decode(path.read_bytes())
    return {name: bytes.fromhex(text) for name, text in texts.items()}


PRODUCTION = {build: _read_messages(build) for build in HAS_ERAS}
BUILDS = pytest.mark.parametrize("build", HAS_ERAS)


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


@BUILDS
def test_all_kinds_of_messages_are_compared(build):
    assert set(PRODUCTION[build]) == set(encoded_messages())


@BUILDS
@pytest.mark.parametrize("name", peer_messages())
def test_message_of_a_production_build_is_read(build, name):
    message = peer_messages(has_eras=HAS_ERAS[build])[name]
    assert msgspec.msgpack.decode(PRODUCTION[build][name], type=type(message)) == message


@BUILDS
@pytest.mark.parametrize("name", datagrams())
def test_datagram_of_a_production_build_is_read(build, name):
    assert Codec().decode(PRODUCTION[build][name]) == datagrams(has_eras=HAS_ERAS[build])[name]


@BUILDS
@pytest.mark.parametrize("name", encoded_messages())
def test_production_build_reads_a_message_of_this_build(build, name):
    sent = encoded_messages(has_eras=HAS_ERAS[build])[name]
    assert _extends(_content(sent), _content(PRODUCTION[build][name]))
