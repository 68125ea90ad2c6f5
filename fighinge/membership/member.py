"""A member of the fleet and which of two claims about it holds."""

from __future__ import annotations

import enum
from typing import Annotated, NamedTuple

import msgspec

MAX_INCARNATION = 2**53

ShortText = Annotated[str, msgspec.Meta(max_length=64)]
Cores = Annotated[float, msgspec.Meta(ge=0, le=4096)]
Incarnation = Annotated[int, msgspec.Meta(ge=0, le=MAX_INCARNATION)]


class Role(enum.Enum):
    """What a process does."""

    ENTRY = "entry"
    AGGREGATOR = "aggregator"


class MemberState(enum.Enum):
    """What is believed of a member; of two claims the graver one holds."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class GossipAddress(NamedTuple):
    """Where a member receives datagrams."""

    host: str
    port: int


class GossipPorts(msgspec.Struct, frozen=True):
    """The ports for datagrams, the same on every host."""

    entry: int
    aggregator: int

    def address(self, role: Role, host: str) -> GossipAddress:
        """Return where the process of a role on a host receives datagrams."""
        return GossipAddress(host, self.entry if role is Role.ENTRY else self.aggregator)


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A claim about one process.

    Only the process itself raises its ``incarnation``: whenever it changes what it says of
    itself, and to refute a claim of others. ``accuser`` names who suspects it.
    ``capacity_cores`` is the processor time that it may use.
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

    @property
    def name(self) -> str:
        """Return the name that is unique in the fleet."""
        return f"{self.role.value}@{self.host}"

    def supersedes(self, other: Member) -> bool:
        """Return whether this claim holds against another one about the same process."""
        own = (self.incarnation, self.state.value)
        return own > (other.incarnation, other.state.value)

    def with_state(self, state: MemberState, accuser: str = "") -> Member:
        """Return the same incarnation in another state."""
        return msgspec.structs.replace(self, state=state, accuser=accuser)
