"""Synchronisation of configuration versions between processes."""

from __future__ import annotations

import asyncio
import hashlib
import zlib
from typing import TYPE_CHECKING, Protocol

import logbook
import msgspec

from fighinge.configuration.confirmation import Confirmation
from fighinge.configuration.store import ConfigurationStore, Transfer
from fighinge.decoding import UNREADABLE_ERRORS
from fighinge.errors import Failure
from fighinge.membership.messages import (
    MAX_CHUNK_BYTES,
    ConfigurationChunk,
    ConfigurationRequest,
    ConfigurationSummary,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from fighinge.membership.member import Member

logger = logbook.Logger(__name__)

CHUNKS_PER_REQUEST = 8
CHUNKS_PER_S = 200.0
PULL_INTERVAL_S = 0.2
SOURCE_TTL_S = 5.0
TRANSFER_DIGEST_BYTES = 8
MAX_TRANSFER_BYTES = 64 * 1024 * 1024


class PeerSender(Protocol):
    """Interface for sending configuration messages to members."""

    def send(self, member: Member, message: ConfigurationRequest | ConfigurationChunk) -> None:
        """Send a message to a member."""


class VersionSource(msgspec.Struct, frozen=True):
    """A peer with a version that this process needs."""

    member: Member
    version: int
    last_seen_s: float


class Download:
    """The received chunks of one transfer."""

    __slots__ = ("_chunks", "_count", "digest")

    def __init__(self, digest: bytes, count: int) -> None:
        self.digest = digest
        self._count = count
        self._chunks: dict[int, bytes] = {}

    def add(self, chunk: ConfigurationChunk) -> None:
        """Store a chunk of this transfer."""
        if chunk.chunks == self._count and chunk.chunk < self._count:
            self._chunks[chunk.chunk] = chunk.content

    @property
    def first_missing(self) -> int:
        """Return the index of the first missing chunk, or the count if none is missing."""
        number = 0
        while number in self._chunks:
            number += 1
        return number

    @property
    def is_complete(self) -> bool:
        """Return whether all chunks have been received."""
        return len(self._chunks) == self._count

    def decode(self) -> Transfer | None:
        """Return the decoded transfer, or ``None`` if it is invalid."""
        encoded = b"".join(self._chunks[number] for number in range(self._count))
        if _digest(encoded) != self.digest:
            return None
        try:
            raw = zlib.decompressobj().decompress(encoded, MAX_TRANSFER_BYTES)
            return msgspec.msgpack.decode(raw, type=Transfer)
        except (zlib.error, *UNREADABLE_ERRORS):
            return None


class ConfigurationSync:
    """Advertises the active version, pulls newer ones and serves peers with older ones."""

    __slots__ = (
        "_clock",
        "_download",
        "_encoded_transfer",
        "_is_resolving_conflict",
        "_send_tokens",
        "_sender",
        "_sources",
        "_store",
        "_tokens_updated_s",
        "confirmation",
    )

    def __init__(
        self, store: ConfigurationStore, sender: PeerSender, clock: Callable[[], float]
    ) -> None:
        self.confirmation = Confirmation()
        self._store = store
        self._sender = sender
        self._clock = clock
        self._sources: dict[str, VersionSource] = {}
        self._download: Download | None = None
        self._is_resolving_conflict = False
        self._encoded_transfer: tuple[int, bytes, bytes] | None = None
        self._send_tokens = CHUNKS_PER_S
        self._tokens_updated_s = clock()

    @property
    def confirmed(self) -> bool:
        """Return whether the active version is confirmed."""
        return self.confirmation.is_confirmed(self._store.version, self._clock())

    def handle_pause(self, now_s: float) -> None:
        """Revoke the confirmation after a pause of this process."""
        self.confirmation.handle_pause(now_s)

    def summary(self) -> ConfigurationSummary:
        """Return the summary of the active version for peers."""
        return ConfigurationSummary(self._store.version, self._store.digest, self.confirmed)

    def handle_summary(self, member: Member, summary: ConfigurationSummary) -> None:
        """Handle the summary of a peer and start to pull its version if it is newer."""
        is_conflict = (
            summary.version == self._store.version and summary.digest != self._store.digest
        )
        if is_conflict:
            self._resolve_conflict(member, summary)
            return
        self.confirmation.record_peer_version(
            summary.version, self._clock(), confirmed=summary.confirmed
        )
        if summary.version > self._store.version:
            self._add_source(member, summary.version)

    def _resolve_conflict(self, member: Member, summary: ConfigurationSummary) -> None:
        """Resolve a conflict between two documents with the same version.

        Such a conflict arises only if published keys are rewritten or the platform is
        restored. A confirmed document takes precedence over an unconfirmed one. Between two
        confirmed documents the lower digest wins, so that all processes choose the same.
        """
        keeps_own = self.confirmed and (
            not summary.confirmed or self._store.digest < summary.digest
        )
        self.confirmation.record_conflict(self._clock())
        if summary.version > 0 and summary.confirmed and not keeps_own:
            logger.warning("{} has another document as version {}", member.name, summary.version)
            self._is_resolving_conflict = True
            self._add_source(member, summary.version)

    def _add_source(self, member: Member, version: int) -> None:
        is_first = not self._sources
        self._sources[member.name] = VersionSource(member, version, self._clock())
        if is_first:
            self._pull(member)

    def handle_request(self, member: Member, request: ConfigurationRequest) -> None:
        """Send chunks to a peer within the rate limit of this process."""
        encoded = self._encode_transfer(request.after_version)
        if encoded is None:
            return
        digest = _digest(encoded)
        first = request.first_chunk if request.digest == digest else 0
        count = max(1, -(-len(encoded) // MAX_CHUNK_BYTES))
        for number in range(first, min(first + CHUNKS_PER_REQUEST, count)):
            if not self._acquire_token():
                return
            start = number * MAX_CHUNK_BYTES
            content = encoded[start : start + MAX_CHUNK_BYTES]
            self._sender.send(member, ConfigurationChunk(digest, number, count, content))

    def handle_chunk(self, member: Member, chunk: ConfigurationChunk) -> None:
        """Store a chunk, and apply the transfer once it is complete."""
        if member.name not in self._sources:
            return
        if self._download is None or self._download.digest != chunk.digest:
            self._download = Download(chunk.digest, chunk.chunks)
        self._download.add(chunk)
        if self._download.is_complete:
            self._complete_download(member, self._download)
        elif (chunk.chunk + 1) % CHUNKS_PER_REQUEST == 0:
            self._pull(member)

    async def run(self) -> None:
        """Repeat unanswered requests, rotating through the sources, until cancelled."""
        while True:
            await asyncio.sleep(PULL_INTERVAL_S)
            self._drop_expired_sources()
            if self._sources:
                name = next(iter(self._sources))
                source = self._sources.pop(name)
                self._sources[name] = source
                self._pull(source.member)

    def _pull(self, member: Member) -> None:
        digest, first = b"", 0
        if self._download is not None:
            digest, first = self._download.digest, self._download.first_missing
        after_version = 0 if self._is_resolving_conflict else self._store.version
        request = ConfigurationRequest(after_version, digest, first)
        self._sender.send(member, request)

    def _complete_download(self, member: Member, download: Download) -> None:
        self._download = None
        transfer = download.decode()
        failure = None
        if transfer is not None:
            replaces, self._is_resolving_conflict = self._is_resolving_conflict, False
            failure = self._store.apply_transfer(transfer, member.name, replaces=replaces)
        if transfer is None or isinstance(failure, Failure):
            reason = failure.reason if failure else "invalid transfer"
            logger.warning("configuration from {} ignored: {}", member.name, reason)
            self._sources.pop(member.name, None)
        self._drop_expired_sources()

    def _drop_expired_sources(self) -> None:
        min_version = self._store.version + (not self._is_resolving_conflict)
        min_last_seen_s = self._clock() - SOURCE_TTL_S
        self._sources = {
            name: source
            for name, source in self._sources.items()
            if source.version >= min_version and source.last_seen_s >= min_last_seen_s
        }
        if not self._sources:
            self._download = None
            self._is_resolving_conflict = False

    def _encode_transfer(self, after_version: int) -> bytes | None:
        """Return the encoded transfer, which is cached while peers request the same one."""
        if self._encoded_transfer and self._encoded_transfer[:2] == (
            after_version,
            self._store.digest,
        ):
            return self._encoded_transfer[2]
        transfer = self._store.transfer(after_version)
        if transfer is None:
            return None
        encoded = zlib.compress(msgspec.msgpack.encode(transfer))
        self._encoded_transfer = (after_version, self._store.digest, encoded)
        return encoded

    def _acquire_token(self) -> bool:
        now_s = self._clock()
        self._send_tokens = min(
            CHUNKS_PER_S, self._send_tokens + (now_s - self._tokens_updated_s) * CHUNKS_PER_S
        )
        self._tokens_updated_s = now_s
        if self._send_tokens < 1:
            return False
        self._send_tokens -= 1
        return True


def _digest(encoded: bytes) -> bytes:
    return hashlib.blake2b(encoded, digest_size=TRANSFER_DIGEST_BYTES).digest()
