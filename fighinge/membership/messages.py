"""Gossip messages and their encoding as datagrams."""

from __future__ import annotations

import hashlib
import hmac
from typing import Annotated

import msgspec

from fighinge.errors import ErrorKind, Failure
from fighinge.facts import FactKind
from fighinge.membership.member import Member

MAX_DATAGRAM_BYTES = 1400  # fits in one Ethernet frame
MAGIC = b"fg1"
CHECKSUM_BYTES = 8
MAX_ITEMS = 64
BUCKETS = 64
BUCKET_DIGEST_BYTES = 4
MAX_CHUNK_BYTES = 1000
MAX_FACT_TEXT_CHARS = 256
MAX_FACT_TTL_S = 3600.0

NonNegativeInt = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
FactText = Annotated[str, msgspec.Meta(max_length=MAX_FACT_TEXT_CHARS)]
Digest = Annotated[bytes, msgspec.Meta(max_length=16)]


class ConfigurationSummary(msgspec.Struct, frozen=True, array_like=True):
    """The active configuration version of a member.

    ``confirmed`` is whether the member has confirmed the version with its peers or the
    platform. ``eras`` are those of the revisions in the digest of a router.
    """

    version: NonNegativeInt = 0
    digest: Digest = b""
    confirmed: bool = False
    eras: Annotated[tuple[NonNegativeInt, ...], msgspec.Meta(max_length=2)] = ()


class FactRecord(msgspec.Struct, frozen=True, array_like=True):
    """A fact with its remaining lifetime at the time of sending."""

    kind: FactKind
    key: FactText
    value: FactText
    remaining_s: Annotated[float, msgspec.Meta(gt=0, le=MAX_FACT_TTL_S)]


class Gossip(msgspec.Struct, frozen=True, array_like=True, tag=0):
    """Carries queued items and needs no reply."""


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Requests an acknowledgement."""

    sequence: NonNegativeInt


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Acknowledges a ping."""

    sequence: NonNegativeInt


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Requests an indirect probe: ping the target and forward its acknowledgement."""

    sequence: NonNegativeInt
    target: Member


class DigestExchange(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Anti-entropy: the digest of each bucket of the sender's member table.

    The receiver replies with its members in the buckets whose digests differ and, if
    ``wants_reply`` is set, with its own digests.
    """

    digests: Annotated[bytes, msgspec.Meta(max_length=BUCKETS * BUCKET_DIGEST_BYTES)]
    wants_reply: bool


class ConfigurationRequest(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Requests chunks of the transfer from a version to the receiver's active one.

    ``digest`` identifies the transfer of the chunks received so far; it is empty at first.
    """

    after_version: NonNegativeInt
    digest: Digest
    first_chunk: NonNegativeInt


class ConfigurationChunk(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """One chunk of a configuration transfer: ``chunk`` is its index, ``chunks`` their number."""

    digest: Digest
    chunk: NonNegativeInt
    chunks: Annotated[int, msgspec.Meta(ge=1, le=16_384)]
    content: Annotated[bytes, msgspec.Meta(max_length=MAX_CHUNK_BYTES)]


Message = (
    Gossip | Ping | Ack | PingRequest | DigestExchange | ConfigurationRequest | ConfigurationChunk
)


class Datagram(msgspec.Struct, frozen=True, array_like=True):
    """Contents of one datagram, with its sender and the sender's configuration summary."""

    sender: Member
    configuration: ConfigurationSummary
    message: Message
    members: Annotated[tuple[Member, ...], msgspec.Meta(max_length=MAX_ITEMS)] = ()
    facts: Annotated[tuple[FactRecord, ...], msgspec.Meta(max_length=MAX_ITEMS)] = ()


class Codec:
    """Encodes datagrams with a BLAKE2 checksum, keyed if the settings have a gossip key."""

    __slots__ = ("_decoder", "_encoder", "_key")

    def __init__(self, key: str = "") -> None:
        self._key = hashlib.blake2b(key.encode()).digest() if key else b""
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Datagram)

    def encode(self, datagram: Datagram) -> bytes:
        """Return the encoded datagram with its checksum."""
        body = self._encoder.encode(datagram)
        return MAGIC + self._checksum(body) + body

    def size_bytes(self, item: Member | FactRecord) -> int:
        """Return the encoded size of an item."""
        return len(self._encoder.encode(item))

    def decode(self, data: bytes) -> Datagram | Failure:
        """Return the decoded datagram, or the reason why it is invalid."""
        if len(data) > MAX_DATAGRAM_BYTES or not data.startswith(MAGIC):
            return Failure(ErrorKind.BAD_REQUEST, "not a gossip datagram", "format")
        start = len(MAGIC) + CHECKSUM_BYTES
        checksum, body = data[len(MAGIC) : start], data[start:]
        if not hmac.compare_digest(checksum, self._checksum(body)):
            return Failure(ErrorKind.BAD_REQUEST, "datagram checksum mismatch", "check")
        try:
            return self._decoder.decode(body)
        except (msgspec.DecodeError, RecursionError) as error:
            return Failure(ErrorKind.BAD_REQUEST, str(error), "content")

    def _checksum(self, body: bytes) -> bytes:
        return hashlib.blake2b(body, digest_size=CHECKSUM_BYTES, key=self._key).digest()
