"""The topics of a view, and what is known of the source of each."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from fighinge.router.changes import BackendListed, BackendUnlisted

if TYPE_CHECKING:
    from fighinge.router.changes import Change


class Topic(enum.Enum):
    """The part of the view that a source provides."""

    CONFIGURATION = "configuration"
    BACKENDS = "backends"


def topic_of(change: Change) -> Topic:
    """Return the topic that a change belongs to."""
    is_of_backends = isinstance(change, BackendListed | BackendUnlisted)
    return Topic.BACKENDS if is_of_backends else Topic.CONFIGURATION


class SourceState:
    """Reachability of a source, and the peer that is followed instead."""

    __slots__ = (
        "answering_since_s",
        "last_answer_s",
        "reachable_since_s",
        "relay_answer_s",
        "relay_host",
        "unreachable_since_s",
    )

    def __init__(self) -> None:
        self.last_answer_s = float("-inf")
        self.unreachable_since_s: float | None = None
        self.answering_since_s: float | None = None  # by a peer's word, while unreachable here
        self.reachable_since_s = float("-inf")
        self.relay_answer_s = float("-inf")
        self.relay_host = ""
