"""Gossip queue with a limited number of transmissions, and datagrams of limited size."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from fighinge.facts import Fact
from fighinge.membership.member import Member
from fighinge.membership.messages import (
    MAX_DATAGRAM_BYTES,
    MAX_FACT_TEXT_CHARS,
    MAX_FACT_TTL_S,
    MAX_ITEMS,
    Datagram,
    FactRecord,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fighinge.membership.messages import Codec, ConfigurationSummary, Message

TRANSMISSION_MULTIPLIER = 3
ENVELOPE_RESERVE_BYTES = 24  # the array headers grow with the items


class QueuedItem:
    """A gossip item and the number of transmissions left."""

    __slots__ = ("item", "transmissions_left")

    def __init__(self, item: Member | Fact, transmissions_left: int) -> None:
        self.item = item
        self.transmissions_left = transmissions_left


class GossipQueue:
    """Items that this process still sends to other members, least sent first."""

    __slots__ = ("_items",)

    def __init__(self) -> None:
        self._items: dict[object, QueuedItem] = {}

    def __len__(self) -> int:
        return len(self._items)

    def enqueue(self, item: Member | Fact, members: int) -> None:
        """Add an item, replacing a queued one about the same subject.

        :param members: size of the fleet; the number of transmissions grows with its logarithm
        """
        transmissions = TRANSMISSION_MULTIPLIER * math.ceil(math.log10(members + 2))
        self._items[_key(item)] = QueuedItem(item, transmissions)

    def next_items(self) -> list[Member | Fact]:
        """Return the items for one datagram, least sent first."""
        ordered = sorted(self._items.values(), key=lambda queued: -queued.transmissions_left)
        return [queued.item for queued in ordered[:MAX_ITEMS]]

    def record_sent(self, items: Iterable[Member | Fact]) -> None:
        """Count a transmission of each item and drop those that have none left."""
        for item in items:
            queued = self._items.get(_key(item))
            if queued is None or queued.item is not item:
                continue
            queued.transmissions_left -= 1
            if queued.transmissions_left <= 0:
                del self._items[_key(item)]


class DatagramBuilder:
    """Builds datagrams within the size limit."""

    __slots__ = ("_codec",)

    def __init__(self, codec: Codec) -> None:
        self._codec = codec

    def build(
        self,
        sender: Member,
        summary: ConfigurationSummary,
        message: Message,
        items: list[Member | Fact],
        now_s: float,
    ) -> tuple[bytes, list[Member | Fact]]:
        """Return an encoded datagram and the items to count as sent.

        Items that do not fit are left out. Facts that have expired or are too long count as
        sent, so that they leave the queue.
        """
        header_bytes = len(self._codec.encode(Datagram(sender, summary, message)))
        free_bytes = MAX_DATAGRAM_BYTES - ENVELOPE_RESERVE_BYTES - header_bytes
        members: list[Member] = []
        facts: list[FactRecord] = []
        packed: list[Member | Fact] = []
        for item in items:
            record = item if isinstance(item, Member) else to_fact_record(item, now_s)
            if record is None:
                packed.append(item)
                continue
            size_bytes = self._codec.size_bytes(record)
            if size_bytes > free_bytes:
                continue
            free_bytes -= size_bytes
            packed.append(item)
            (members if isinstance(record, Member) else facts).append(record)
        datagram = Datagram(sender, summary, message, tuple(members), tuple(facts))
        return self._codec.encode(datagram), packed


def to_fact_record(fact: Fact, now_s: float) -> FactRecord | None:
    """Return the record to send for a fact, or ``None`` if it has expired or is too long."""
    remaining_s = min(fact.expires_s - now_s, MAX_FACT_TTL_S)
    too_long = max(len(fact.key), len(fact.value)) > MAX_FACT_TEXT_CHARS
    if remaining_s <= 0 or too_long:
        return None
    return FactRecord(fact.kind, fact.key, fact.value, remaining_s)


def from_fact_record(record: FactRecord, now_s: float) -> Fact:
    """Return a received fact with its expiry on the local clock."""
    return Fact(record.kind, record.key, record.value, now_s + record.remaining_s)


def _key(item: Member | Fact) -> object:
    if isinstance(item, Member):
        return item.name
    return msgspec.structs.astuple(item)[:3]
