"""The member table: the latest update about each member."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import logbook
import msgspec
import xxhash

from fighinge.membership.member import Member, MemberState, Role
from fighinge.membership.messages import BUCKET_DIGEST_BYTES, BUCKETS

if TYPE_CHECKING:
    from collections.abc import Callable

logger = logbook.Logger(__name__)

SUSPICION_MIN_S = 2.0
SUSPICION_MAX_S = 6.0
EXPECTED_CONFIRMATIONS = 3
DEAD_RETENTION_S = 120.0


class Suspicion:
    """Suspicion of a member; each further accuser shortens the time left to refute it."""

    __slots__ = ("accusers", "since_s")

    def __init__(self, since_s: float, accuser: str) -> None:
        self.since_s = since_s
        self.accusers = {accuser}

    def timeout_s(self, members: int) -> float:
        """Return the seconds from the first accusation until the member is declared dead.

        :param members: number of members, including the local one
        """
        expected = min(EXPECTED_CONFIRMATIONS, members - 2)
        if expected <= 0:
            return SUSPICION_MIN_S
        progress = math.log(len(self.accusers)) / math.log(expected + 1)
        return max(
            SUSPICION_MIN_S, SUSPICION_MAX_S - (SUSPICION_MAX_S - SUSPICION_MIN_S) * progress
        )


class MemberTable:
    """The current update of each member, including the local one.

    ``change_count`` grows with each change, so that derived data can be cached until the next.
    """

    __slots__ = (
        "_dead_members",
        "_digests",
        "_last_change_s",
        "_listeners",
        "_members",
        "_reachable",
        "_suspicions",
        "change_count",
        "local_member",
    )

    def __init__(self, local_member: Member) -> None:
        self.local_member = local_member
        self._members: dict[str, Member] = {local_member.name: local_member}
        self._last_change_s: dict[str, float] = {}
        self._suspicions: dict[str, Suspicion] = {}
        self._digests: list[bytes] | None = None
        self._reachable: list[Member] | None = None
        self._dead_members: list[Member] | None = None
        self.change_count = 0
        self._listeners: list[Callable[[Member], None]] = []

    def listen(self, listener: Callable[[Member], None]) -> None:
        """Register a listener that is called with each update that changes the table."""
        self._listeners.append(listener)

    def get(self, name: str) -> Member | None:
        """Return the current update of a member, or ``None`` if it is unknown."""
        return self._members.get(name)

    def members(self) -> list[Member]:
        """Return all members, including dead ones."""
        return list(self._members.values())

    def reachable(self, role: Role | None = None) -> list[Member]:
        """Return the other members that are not dead, optionally of one role."""
        if self._reachable is None:
            self._reachable = [
                member
                for member in self._members.values()
                if member.state is not MemberState.DEAD and member is not self.local_member
            ]
        if role is None:
            return self._reachable
        return [member for member in self._reachable if member.role is role]

    def dead(self) -> list[Member]:
        """Return the dead members."""
        if self._dead_members is None:
            members = self._members.values()
            self._dead_members = [member for member in members if member.state is MemberState.DEAD]
        return self._dead_members

    def update_local_member(self, **changes: object) -> None:
        """Change fields of the local member under a new incarnation."""
        incarnation = self.local_member.incarnation + 1
        self.local_member = msgspec.structs.replace(
            self.local_member, incarnation=incarnation, **changes
        )
        self._store(self.local_member)

    def apply(self, update: Member, now_s: float, cause: str) -> bool:
        """Apply an update and return whether it changed the table.

        :param cause: origin of the update, for the log
        """
        if update.name == self.local_member.name:
            return self._refute(update, cause)
        known = self._members.get(update.name)
        if known is None:
            if update.state is MemberState.DEAD:
                return False
        elif not update.supersedes(known):
            return self._add_accuser(known, update)
        self._log_transition(known, update, cause)
        self._last_change_s[update.name] = now_s
        if update.state is MemberState.SUSPECT:
            self._suspicions[update.name] = Suspicion(now_s, update.accuser)
        else:
            self._suspicions.pop(update.name, None)
        self._store(update)
        return True

    def expire(self, now_s: float) -> None:
        """Declare dead the members whose suspicion has timed out, and remove old dead members."""
        for name, suspicion in list(self._suspicions.items()):
            if now_s - suspicion.since_s >= suspicion.timeout_s(len(self.reachable()) + 1):
                accusers = ", ".join(sorted(suspicion.accusers))
                dead = self._members[name].with_state(MemberState.DEAD)
                self.apply(dead, now_s, f"no response to probes from {accusers}")
        for member in self.dead():
            if now_s - self._last_change_s[member.name] >= DEAD_RETENTION_S:
                del self._members[member.name], self._last_change_s[member.name]
                self._invalidate_caches()

    def extend_suspicions(self, now_s: float) -> None:
        """Restart the timeout of every suspicion, after a pause of this process."""
        for suspicion in self._suspicions.values():
            suspicion.since_s = now_s

    def bucket_digests(self) -> bytes:
        """Return the concatenated digests of all buckets."""
        return b"".join(self._digest_list())

    def members_in_differing_buckets(self, digests: bytes) -> list[Member]:
        """Return the members in buckets whose digests differ from those of another table."""
        local_digests = self._digest_list()
        if digests == b"".join(local_digests):
            return []
        size = BUCKET_DIGEST_BYTES
        buckets = {
            number
            for number in range(BUCKETS)
            if digests[number * size : (number + 1) * size] != local_digests[number]
        }
        return [member for name, member in self._members.items() if _bucket(name) in buckets]

    def _refute(self, update: Member, cause: str) -> bool:
        """Refute an update about the local member by a higher incarnation."""
        outdated = update.incarnation < self.local_member.incarnation
        if outdated or msgspec.structs.replace(update, accuser="") == self.local_member:
            return False
        logger.notice(
            "refuted {} update about {}: {}", update.state.name, self.local_member.name, cause
        )
        self.local_member = msgspec.structs.replace(
            self.local_member, incarnation=update.incarnation + 1
        )
        self._store(self.local_member)
        return True

    def _add_accuser(self, known: Member, update: Member) -> bool:
        """Add an accuser to an existing suspicion and return whether it is a new one."""
        suspicion = self._suspicions.get(known.name)
        if suspicion is None or update.state is not MemberState.SUSPECT:
            return False
        if update.incarnation != known.incarnation or update.accuser in suspicion.accusers:
            return False
        if len(suspicion.accusers) > EXPECTED_CONFIRMATIONS:
            return False
        suspicion.accusers.add(update.accuser)
        self._store(update)
        return True

    def _store(self, member: Member) -> None:
        self._members[member.name] = member
        self._invalidate_caches()
        for listener in self._listeners:
            listener(member)

    def _invalidate_caches(self) -> None:
        self.change_count += 1
        self._digests = None
        self._reachable = None
        self._dead_members = None

    def _digest_list(self) -> list[bytes]:
        if self._digests is None:
            hashes = [xxhash.xxh32() for _ in range(BUCKETS)]
            for name in sorted(self._members):
                member = self._members[name]
                text = f"{name}\n{member.incarnation}\n{member.state.value}\n"
                hashes[_bucket(name)].update(text.encode())
            self._digests = [bucket.digest() for bucket in hashes]
        return self._digests

    def _log_transition(self, known: Member | None, update: Member, cause: str) -> None:
        before = _describe_state(known) if known else "unknown"
        if before == _describe_state(update):
            return
        logger.info("member {}: {} -> {}: {}", update.name, before, _describe_state(update), cause)


def _describe_state(member: Member) -> str:
    flags = [flag for flag in ("leaving", "overloaded", "is_cut_off") if getattr(member, flag)]
    return " ".join([member.state.name.lower(), *flags])


def _bucket(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode()) % BUCKETS
