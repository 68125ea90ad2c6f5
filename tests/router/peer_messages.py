"""Builders of one message of each kind that routers send each other."""

from __future__ import annotations

import msgspec

from fighinge.facts import FactKind
from fighinge.membership.member import Member, Role
from fighinge.membership.messages import (
    Ack,
    Codec,
    ConfigurationChunk,
    ConfigurationRequest,
    ConfigurationSummary,
    Datagram,
    DigestExchange,
    FactRecord,
    Gossip,
    Ping,
    PingRequest,
)
from fighinge.router.changes import (
    BackendListed,
    BackendUnlisted,
    TablePublished,
    Unreadable,
    ZoneEvacuated,
    ZoneReturned,
)
from fighinge.router.exchange import Answer, CallerRequest
from fighinge.router.relay import PeerChanges, PeerView, Watermarks
from tests.router.builders import backend_record, gather_route, route, table

ERAS = {"configuration": 3, "backends": 2}
PEER = Member(Role.ENTRY, "10.0.0.2", "z1", 7, leaving=True, is_cut_off=True)


def peer_messages(*, has_eras: bool = False) -> dict[str, msgspec.Struct]:
    """Return a message of each kind that routers send each other over HTTP, by a name.

    :param has_eras: whether it holds the store's eras, which routers of ca2e048 do not know
    """
    eras = ERAS if has_eras else {}
    watermarks = Watermarks(
        {"configuration": 40, "backends": 42}, {"configuration": 30, "backends": 41}, eras, eras
    )
    published = table(route(), gather_route(), version=9, accounts=None)
    listed = backend_record("i1", is_draining=True, started_ms=1_764_800_000_000)
    return {
        "view": PeerView("e1", 12, published, (listed,), ("z2",), watermarks),
        "changes": PeerChanges(
            13,
            (
                TablePublished(published),
                BackendListed(listed),
                BackendUnlisted("i2"),
                ZoneEvacuated("z1"),
                ZoneReturned("z2"),
                Unreadable("op/config", "truncated"),
            ),
            watermarks,
        ),
        "forwarded request": CallerRequest(
            request_id="r1",
            method="POST",
            host="search.example",
            path="/one/a",
            target="/one/a?b=c",
            headers=(("X-Other", "1"),),
            body=b"\x00body",
            caller_timeout_s=0.5,
            received_s=100.0,
            is_forwarded=True,
            reached_servers={"s0": ("i1@5",)},
            lost_peers=1,
            is_suspect=True,
        ),
        "answer to a forwarded request": Answer(
            200, (("X-Server-Stamp", "a.b"),), b"\x01", True, ("i1@5",)
        ),
    }


def datagrams(*, has_eras: bool = False) -> dict[str, Datagram]:
    """Return a datagram with each kind of gossip message, by the name of the kind."""
    messages = (
        *(Gossip(), Ping(3), Ack(3), PingRequest(4, PEER), DigestExchange(b"\x01" * 256, True)),
        *(ConfigurationRequest(8, b"d", 0), ConfigurationChunk(b"d", 0, 1, b"content")),
    )
    facts = tuple(FactRecord(kind, "key", "value", 5.0) for kind in FactKind)
    eras = tuple(ERAS.values()) if has_eras else ()
    summary = ConfigurationSummary(9, b"\x02" * 16, True, eras=eras)
    return {
        type(message).__name__: Datagram(PEER, summary, message, (PEER,), facts)
        for message in messages
    }


def encoded_messages(*, has_eras: bool = False) -> dict[str, bytes]:
    """Return the encoded form of each message, by its name."""
    messages = peer_messages(has_eras=has_eras)
    encoded = {name: msgspec.msgpack.encode(message) for name, message in messages.items()}
    codec = Codec()
    sent = datagrams(has_eras=has_eras)
    return encoded | {name: codec.encode(datagram) for name, datagram in sent.items()}
