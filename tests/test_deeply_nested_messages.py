"""Tests that messages nested beyond the interpreter's recursion limit are failures."""

from __future__ import annotations

import asyncio
import hashlib

import msgspec
import pytest
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application, RequestHandler

from fighinge.configuration.history import PATCH_PREFIX, Evaluation, evaluate
from fighinge.configuration.platform_client import PlatformClient
from fighinge.errors import Failure
from fighinge.membership.member import Member, Role
from fighinge.membership.messages import (
    CHECKSUM_BYTES,
    MAGIC,
    Codec,
    ConfigurationSummary,
    Datagram,
    Gossip,
)
from fighinge.model import decode_document
from tests.fleets import base_values

SUMMARY = ConfigurationSummary()
_LISTS = b"[" * 2000 + b"]" * 2000
NESTED = b'{"unknown":' + _LISTS + b"}"
NESTED_PATCH = b'{"applies_to":1,"operations":' + _LISTS + b"}"


def test_nested_document_is_a_failure():
    assert isinstance(decode_document(NESTED), Failure)


def test_nested_patch_is_not_applied():
    values = dict(base_values().values)
    evaluation = evaluate(values | {f"{PATCH_PREFIX}1": msgspec.Raw(NESTED_PATCH)})
    assert isinstance(evaluation, Evaluation)
    assert evaluation.accepted.version == 1


class _NestedHandler(RequestHandler):
    def get(self):
        self.write(NESTED)


@pytest.mark.parametrize("call", ["read", "hosts"])
def test_nested_response_of_the_platform_is_a_failure(call):
    async def read():
        listener, port = bind_unused_port()
        server = HTTPServer(Application([(r"/.*", _NestedHandler)], log_function=lambda _: None))
        server.add_socket(listener)
        client = PlatformClient(f"http://127.0.0.1:{port}", "entry@127.0.0.1")
        try:
            return await (client.read("c/", 0, 0.0) if call == "read" else client.hosts())
        finally:
            client.close()
            server.stop()

    assert isinstance(asyncio.run(read()), Failure)


def test_nested_datagram_is_a_failure():
    codec, content = Codec(), b"\x91" * 1300 + b"\xc0"
    valid = codec.encode(Datagram(Member(Role.ENTRY, "10.0.0.2", "z1", 1), SUMMARY, Gossip()))
    head = len(MAGIC) + CHECKSUM_BYTES
    assert not isinstance(codec.decode(valid), Failure)
    checksum = hashlib.blake2b(content, digest_size=CHECKSUM_BYTES).digest()
    assert isinstance(codec.decode(valid[: head - CHECKSUM_BYTES] + checksum + content), Failure)
