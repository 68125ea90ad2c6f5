"""The quotas of the client accounts that this router owns, and its answers to other routers.

The load addressed is an account whose callers arrive at any routers, few or many, and move. See
docs/design/account-quotas.md.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from fighinge.router.quota import Decision, QuotaLimits, TokenBucket
from fighinge.router.quota_owners import start_level

if TYPE_CHECKING:
    from collections.abc import Mapping

    from fighinge.router.model import ClientAccount
    from fighinge.router.quota import QuotaBounds
    from fighinge.router.quota_owners import QuotaOwners

IDLE_S = 10.0  # twice the window; the state of an account without requests is then of no use
PAUSE_S = 1.0  # ten times the interval of updates; peers suspect a router after about this time


class QuotaRequest(msgspec.Struct, frozen=True, array_like=True, tag="quota-request"):
    """Asks the owner of an account for grants; one that is sent again has the same number.

    ``takeovers`` is how often the owner of the account has changed in the last window.
    """

    number: int
    account: str
    wanted: int
    ahead: int
    takeovers: int = 0


class QuotaGrant(msgspec.Struct, frozen=True, array_like=True, tag="quota-grant"):
    """The decision of an owner.

    Without one, the sender does not own the account; ``owner`` is the router that does, if known.
    """

    number: int
    account: str
    decision: Decision | None
    owner: str = ""


class _OwnedBucket:
    """The bucket of an account that this router owns, and the last answer to each router."""

    __slots__ = ("answers", "bucket", "takeovers", "used_s")

    def __init__(self, bucket: TokenBucket, takeovers: int) -> None:
        self.bucket = bucket
        self.takeovers = takeovers
        self.answers: dict[str, QuotaGrant] = {}
        self.used_s = float("-inf")


class OwnedQuotas:
    """The buckets of the accounts that this router owns."""

    __slots__ = ("_accounts", "_bounds", "_buckets", "_own_host", "_owners", "_updated_s")

    def __init__(
        self, bounds: QuotaBounds, own_host: str, owners: QuotaOwners, now_s: float
    ) -> None:
        self._bounds = bounds
        self._own_host = own_host
        self._owners = owners
        self._accounts: Mapping[str, ClientAccount] = {}
        self._buckets: dict[str, _OwnedBucket] = {}
        self._updated_s = now_s

    def __len__(self) -> int:
        return len(self._buckets)

    def set_accounts(self, accounts: Mapping[str, ClientAccount], now_s: float) -> None:
        """Apply the accounts with a quota of the active configuration."""
        self._accounts = accounts
        for name, owned in self._buckets.items():
            if name in accounts:
                owned.bucket.set_limits(self._limits(name, now_s), now_s)

    def update(self, now_s: float) -> None:
        """Detect a pause, and forget accounts without requests."""
        self._detect_pause(now_s)
        self._buckets = {
            name: owned for name, owned in self._buckets.items() if now_s - owned.used_s < IDLE_S
        }

    def drop_moved(self, now_s: float) -> None:
        """Drop the buckets of accounts that others own now."""
        self._buckets = {
            name: owned for name, owned in self._buckets.items() if self._owners.owns(name, now_s)
        }

    def answer(self, message: QuotaRequest, host: str, now_s: float) -> QuotaGrant:
        """Answer a router that takes this one for the owner of an account."""
        name = message.account
        if not self._owners.owns(name, now_s) or name not in self._accounts:
            owner = self._owners.owner(name)
            hint = owner if owner is not None and owner != self._own_host else ""
            return QuotaGrant(message.number, name, None, hint)
        owned = self._buckets.get(name)
        answer = owned.answers.get(host) if owned is not None else None
        if answer is not None and answer.number == message.number:
            return answer
        decision = self.decide(name, message.wanted, message.ahead, now_s, message.takeovers)
        answer = QuotaGrant(message.number, name, decision)
        self._buckets[name].answers[host] = answer
        return answer

    def _new_bucket(self, name: str, limits: QuotaLimits, asked: int, now_s: float) -> _OwnedBucket:
        takeovers = self._owners.takeovers_here(name, asked, limits.window_s, now_s)
        if not takeovers:
            return _OwnedBucket(TokenBucket(limits, now_s), 0)
        level = start_level(limits, takeovers)
        earns_from_s = self._owners.earns_from_s(name, limits.window_s, now_s)
        return _OwnedBucket(TokenBucket(limits, earns_from_s, level), takeovers)

    def decide(
        self, name: str, wanted: int, ahead: int, now_s: float, takeovers: int = 0
    ) -> Decision:
        """Take grants from the bucket of an account that this router owns."""
        self._detect_pause(now_s)
        limits = self._limits(name, now_s)
        owned = self._buckets.get(name)
        if owned is None:
            owned = self._buckets[name] = self._new_bucket(name, limits, takeovers, now_s)
        elif 0 < owned.takeovers < takeovers:
            granted = start_level(limits, owned.takeovers) - start_level(limits, takeovers)
            owned.bucket.lower(granted)
            owned.takeovers = takeovers
        owned.used_s = now_s
        owned.bucket.set_limits(limits, now_s)
        return owned.bucket.take(wanted, ahead, now_s)

    def _limits(self, name: str, now_s: float) -> QuotaLimits:
        limits = QuotaLimits.from_account(self._accounts[name], self._bounds)
        return limits.scaled(self._owners.scale(limits, now_s))

    def _detect_pause(self, now_s: float) -> None:
        """Start anew after a pause, in which other routers may have owned the accounts."""
        if now_s - self._updated_s > PAUSE_S:
            self._owners.record_pause(now_s)
            self._buckets.clear()
        self._updated_s = now_s
