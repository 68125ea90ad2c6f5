"""What a process believes of each member."""

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
CONFIRMERS = 3
KEEP_DEAD_S = 120.0


class Suspicion:
    """How long a suspected member has to refute; each accuser shortens it."""

    __slots__ = ("accusers", "since_s")

    def __init__(self, since_s: float, accuser: str) -> None:
        self.since_s = since_s
        self.accusers = {accuser}

    def timeout_s(self, members: int) -> float:
        """Return the time from the first accusation until the member counts as dead.

        :param members: how many members there are, with this process
        """
        wanted = min(CONFIRMERS, members - 2)
        if wanted <= 0:
            return SUSPICION_MIN_S
        share = math.log(len(self.accusers)) / math.log(wanted + 1)
        return max(SUSPICION_MIN_S, SUSPICION_MAX_S - (SUSPICION_MAX_S - SUSPICION_MIN_S) * share)


class MemberTable:
    """The claims that hold, with this process's own among them.

    ``changes`` counts them, so that what is derived from the table can be kept until the next.
    """

    __slots__ = (
        "_changed_s",
        "_dead",
        "_digests",
        "_listeners",
        "_members",
        "_reachable",
        "_suspicions",
        "changes",
        "me",
    )

    def __init__(self, me: Member) -> None:
        self.me = me
        self._members: dict[str, Member] = {me.name: me}
        self._changed_s: dict[str, float] = {}
        self._suspicions: dict[str, Suspicion] = {}
        self._digests: list[bytes] | None = None
        self._reachable: list[Member] | None = None
        self._dead: list[Member] | None = None
        self.changes = 0
        self._listeners: list[Callable[[Member], None]] = []

    def listen(self, listener: Callable[[Member], None]) -> None:
        """Call a listener with each claim that is news."""
        self._listeners.append(listener)

    def get(self, name: str) -> Member | None:
        """Return what is believed of a member."""
        return self._members.get(name)

    def members(self) -> list[Member]:
        """Return every member, dead ones too."""
        return list(self._members.values())

    def reachable(self, role: Role | None = None) -> list[Member]:
        """Return the members other than this one that are not dead."""
        if self._reachable is None:
            self._reachable = [
                member
                for member in self._members.values()
                if member.state is not MemberState.DEAD and member is not self.me
            ]
        if role is None:
            return self._reachable
        return [member for member in self._reachable if member.role is role]

    def dead(self) -> list[Member]:
        """Return the members that are held dead."""
        if self._dead is None:
            members = self._members.values()
            self._dead = [member for member in members if member.state is MemberState.DEAD]
        return self._dead

    def change_me(self, **changes: object) -> None:
        """Say something new of this process."""
        incarnation = self.me.incarnation + 1
        self.me = msgspec.structs.replace(self.me, incarnation=incarnation, **changes)
        self._store(self.me)

    def apply(self, claim: Member, now_s: float, cause: str) -> bool:
        """Take a claim and return whether it is news.

        :param cause: who claims it, for the log
        """
        if claim.name == self.me.name:
            return self._refute(claim, cause)
        known = self._members.get(claim.name)
        if known is None:
            if claim.state is MemberState.DEAD:
                return False
        elif not claim.supersedes(known):
            return self._confirm(known, claim)
        self._log(known, claim, cause)
        self._changed_s[claim.name] = now_s
        if claim.state is MemberState.SUSPECT:
            self._suspicions[claim.name] = Suspicion(now_s, claim.accuser)
        else:
            self._suspicions.pop(claim.name, None)
        self._store(claim)
        return True

    def expire(self, now_s: float) -> None:
        """Declare dead who did not refute in time and forget who is long dead."""
        for name, suspicion in list(self._suspicions.items()):
            if now_s - suspicion.since_s >= suspicion.timeout_s(len(self.reachable()) + 1):
                accusers = ", ".join(sorted(suspicion.accusers))
                dead = self._members[name].with_state(MemberState.DEAD)
                self.apply(dead, now_s, f"no answer to {accusers}")
        for member in self.dead():
            if now_s - self._changed_s[member.name] >= KEEP_DEAD_S:
                del self._members[member.name], self._changed_s[member.name]
                self._forget_derived()

    def extend_suspicions(self, now_s: float) -> None:
        """Give every suspected member its whole time again, after this process was paused."""
        for suspicion in self._suspicions.values():
            suspicion.since_s = now_s

    def digests(self) -> bytes:
        """Return a digest for each bucket of the table, one after the other."""
        return b"".join(self._bucket_digests())

    def differing(self, digests: bytes) -> list[Member]:
        """Return the members in buckets whose digest differs from another table's."""
        mine = self._bucket_digests()
        if digests == b"".join(mine):
            return []
        size = BUCKET_DIGEST_BYTES
        buckets = {
            number
            for number in range(BUCKETS)
            if digests[number * size : (number + 1) * size] != mine[number]
        }
        return [member for name, member in self._members.items() if _bucket(name) in buckets]

    def _refute(self, claim: Member, cause: str) -> bool:
        """Outbid a claim about this process that differs from its own."""
        outdated = claim.incarnation < self.me.incarnation
        if outdated or msgspec.structs.replace(claim, accuser="") == self.me:
            return False
        logger.notice("refuted {} incarnation {} from {}", claim.state.name, self.me.name, cause)
        self.me = msgspec.structs.replace(self.me, incarnation=claim.incarnation + 1)
        self._store(self.me)
        return True

    def _confirm(self, known: Member, claim: Member) -> bool:
        """Count another accuser of a member that is suspected already."""
        suspicion = self._suspicions.get(known.name)
        if suspicion is None or claim.state is not MemberState.SUSPECT:
            return False
        if claim.incarnation != known.incarnation or claim.accuser in suspicion.accusers:
            return False
        if len(suspicion.accusers) > CONFIRMERS:
            return False
        suspicion.accusers.add(claim.accuser)
        self._store(claim)
        return True

    def _store(self, member: Member) -> None:
        self._members[member.name] = member
        self._forget_derived()
        for listener in self._listeners:
            listener(member)

    def _forget_derived(self) -> None:
        self.changes += 1
        self._digests = None
        self._reachable = None
        self._dead = None

    def _bucket_digests(self) -> list[bytes]:
        if self._digests is None:
            hashes = [xxhash.xxh32() for _ in range(BUCKETS)]
            for name in sorted(self._members):
                member = self._members[name]
                text = f"{name}\n{member.incarnation}\n{member.state.value}\n"
                hashes[_bucket(name)].update(text.encode())
            self._digests = [bucket.digest() for bucket in hashes]
        return self._digests

    def _log(self, known: Member | None, claim: Member, cause: str) -> None:
        before = _description(known) if known else "unknown"
        if before == _description(claim):
            return
        logger.info("member {}: {} -> {}: {}", claim.name, before, _description(claim), cause)


def _description(member: Member) -> str:
    marks = [mark for mark in ("leaving", "overloaded") if getattr(member, mark)]
    return " ".join([member.state.name.lower(), *marks])


def _bucket(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode()) % BUCKETS
