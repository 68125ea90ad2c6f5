"""The datagrams between members and their encoding."""

from __future__ import annotations

import hashlib
import hmac
from typing import Annotated

import msgspec

from fighinge.errors import ErrorKind, Failure
from fighinge.facts import FactKind
from fighinge.membership.member import Member

MAX_DATAGRAM_BYTES = 1400
MAGIC = b"fg1"
CHECKSUM_BYTES = 8
MAX_ITEMS = 64
BUCKETS = 64
BUCKET_DIGEST_BYTES = 4
MAX_CHUNK_BYTES = 1000
MAX_FACT_TEXT_CHARS = 256
MAX_FACT_TTL_S = 3600.0

Sequence = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
FactText = Annotated[str, msgspec.Meta(max_length=MAX_FACT_TEXT_CHARS)]
Digest = Annotated[bytes, msgspec.Meta(max_length=16)]


class ConfigurationSummary(msgspec.Struct, frozen=True, array_like=True):
    """Which configuration version a member has in force.

    ``confirmed`` tells whether the member itself relies on it.
    """

    version: Sequence = 0
    digest: Digest = b""
    confirmed: bool = False


class FactRecord(msgspec.Struct, frozen=True, array_like=True):
    """A fact with the time that it has left when it is sent."""

    kind: FactKind
    key: FactText
    value: FactText
    remaining_s: Annotated[float, msgspec.Meta(gt=0, le=MAX_FACT_TTL_S)]


class Gossip(msgspec.Struct, frozen=True, array_like=True, tag=0):
    """Carries news and expects no answer."""


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks for an acknowledgement."""

    sequence: Sequence


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answers a ping."""

    sequence: Sequence


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Asks to ping a member and to pass its acknowledgement on."""

    sequence: Sequence
    target: Member


class DigestExchange(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Compares tables by the digests of their buckets.

    The receiver sends its members of the buckets that differ; if ``wants_reply`` is set it
    also sends its own digests.
    """

    digests: Annotated[bytes, msgspec.Meta(max_length=BUCKETS * BUCKET_DIGEST_BYTES)]
    wants_reply: bool


class ConfigurationRequest(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Asks for chunks of what leads from one version to the one in force.

    ``digest`` names the transfer that earlier chunks came from, empty for the first.
    """

    after_version: Sequence
    digest: Digest
    first_chunk: Sequence


class ConfigurationChunk(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """One chunk of a transfer."""

    digest: Digest
    chunk: Sequence
    chunks: Annotated[int, msgspec.Meta(ge=1, le=16_384)]
    content: Annotated[bytes, msgspec.Meta(max_length=MAX_CHUNK_BYTES)]


Message = (
    Gossip | Ping | Ack | PingRequest | DigestExchange | ConfigurationRequest | ConfigurationChunk
)


class Datagram(msgspec.Struct, frozen=True, array_like=True):
    """What one datagram carries; each one tells who sent it and the sender's configuration."""

    sender: Member
    configuration: ConfigurationSummary
    message: Message
    members: Annotated[tuple[Member, ...], msgspec.Meta(max_length=MAX_ITEMS)] = ()
    facts: Annotated[tuple[FactRecord, ...], msgspec.Meta(max_length=MAX_ITEMS)] = ()


class Codec:
    """Encodes datagrams with a check, keyed where the operators have set a key."""

    __slots__ = ("_decoder", "_encoder", "_key")

    def __init__(self, key: str = "") -> None:
        self._key = hashlib.blake2b(key.encode()).digest() if key else b""
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Datagram)

    def encode(self, datagram: Datagram) -> bytes:
        """Return the bytes to send."""
        body = self._encoder.encode(datagram)
        return MAGIC + self._checksum(body) + body

    def size_bytes(self, item: Member | FactRecord) -> int:
        """Return how much an item adds to a datagram."""
        return len(self._encoder.encode(item))

    def decode(self, data: bytes) -> Datagram | Failure:
        """Return what was sent, or why the bytes are none of ours."""
        if len(data) > MAX_DATAGRAM_BYTES or not data.startswith(MAGIC):
            return Failure(ErrorKind.BAD_REQUEST, "not a datagram of this protocol", "format")
        start = len(MAGIC) + CHECKSUM_BYTES
        checksum, body = data[len(MAGIC) : start], data[start:]
        if not hmac.compare_digest(checksum, self._checksum(body)):
            return Failure(ErrorKind.BAD_REQUEST, "the check does not match", "check")
        try:
            return self._decoder.decode(body)
        except (msgspec.DecodeError, RecursionError) as error:
            return Failure(ErrorKind.BAD_REQUEST, str(error), "content")

    def _checksum(self, body: bytes) -> bytes:
        return hashlib.blake2b(body, digest_size=CHECKSUM_BYTES, key=self._key).digest()
