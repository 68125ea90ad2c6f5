"""Members of the fleet and the precedence of updates about them."""

from __future__ import annotations

import enum
from typing import Annotated, NamedTuple

import msgspec

MAX_INCARNATION = 2**53

ShortText = Annotated[str, msgspec.Meta(max_length=64)]
Cores = Annotated[float, msgspec.Meta(ge=0, le=4096)]
Utilisation = Annotated[float, msgspec.Meta(ge=0, le=64)]
Incarnation = Annotated[int, msgspec.Meta(ge=0, le=MAX_INCARNATION)]


class Role(enum.Enum):
    """Role of a process."""

    ENTRY = "entry"
    AGGREGATOR = "aggregator"


class MemberState(enum.Enum):
    """State of a member; within an incarnation the higher value takes precedence."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class GossipAddress(NamedTuple):
    """Host and UDP port of a member."""

    host: str
    port: int


class GossipPorts(msgspec.Struct, frozen=True):
    """The gossip port of each role, the same on every host."""

    entry: int
    aggregator: int

    def address(self, role: Role, host: str) -> GossipAddress:
        """Return the gossip address of the process with a role on a host."""
        return GossipAddress(host, self.entry if role is Role.ENTRY else self.aggregator)


class Member(msgspec.Struct, frozen=True, array_like=True):
    """An update about one member.

    Only the member itself increments its ``incarnation``: when its own state changes, and to
    refute an update from another member. ``accuser`` is the name of the member that suspects
    it. ``capacity_cores`` is its CPU quota in cores. ``is_cut_off`` says that it reaches no backend
    server. ``utilisation`` is the part of the host's scarcest resource that is in use, in steps.
    """

    role: Role
    host: ShortText
    zone: ShortText
    incarnation: Incarnation
    state: MemberState = MemberState.ALIVE
    leaving: bool = False
    overloaded: bool = False
    accuser: ShortText = ""
    capacity_cores: Cores = 1.0
    is_cut_off: bool = False
    utilisation: Utilisation = 0.0

    @property
    def name(self) -> str:
        """Return the unique name of the member, ``role@host``."""
        return f"{self.role.value}@{self.host}"

    def supersedes(self, other: Member) -> bool:
        """Return whether this update takes precedence over another about the same member."""
        own = (self.incarnation, self.state.value)
        return own > (other.incarnation, other.state.value)

    def with_state(self, state: MemberState, accuser: str = "") -> Member:
        """Return a copy of the same incarnation with another state."""
        return msgspec.structs.replace(self, state=state, accuser=accuser)
