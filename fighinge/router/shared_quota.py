"""The quota gate over all routers, by grants of the router that owns an account.

The load addressed is an account whose callers arrive at any routers, few or many, and move. See
docs/design/account-quotas.md.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from fighinge.router.metrics import QUOTA_TIMEOUTS, QuotaMetrics
from fighinge.router.owned_quotas import IDLE_S, OwnedQuotas, QuotaGrant, QuotaRequest
from fighinge.router.quota import Lease, LocalAllowance, QuotaBounds, QuotaLimits
from fighinge.router.quota_owners import QuotaOwners

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from fighinge.router.decision_log import DecisionLog
    from fighinge.router.exchange import CallerRequest
    from fighinge.router.model import ClientAccount
    from fighinge.router.peer_channel import PeerChannel
    from fighinge.router.quota_owners import RouterSet
    from fighinge.router.settings import RouterSettings

RESEND_S = 0.01  # five times the usual round trip
TIMEOUT_S = 0.025  # a caller waits no longer for an owner
SILENCE_S = 0.1  # how often an owner that does not answer is asked again, without waiting for it
MIN_LOG_INTERVAL_S = 0.1  # between refusals of an account; each request has its own line as well


class _Ask(msgspec.Struct):
    """A request to an owner in flight, with the callers' requests that wait for it."""

    number: int
    owner: str
    sent_s: float
    waiting: list[asyncio.Future]
    timer: asyncio.TimerHandle | None = None
    is_redirected: bool = False


class _AccountState:
    """What this router knows of an account whose requests it receives."""

    __slots__ = (
        "account",
        "allowance",
        "ask",
        "lease",
        "logged_s",
        "moved_s",
        "owner",
        "takeovers",
        "used_s",
        "waiting",
    )

    def __init__(self, account: ClientAccount, owner: str | None, now_s: float) -> None:
        self.account = account
        self.owner = owner
        self.takeovers = 0
        self.moved_s = now_s
        self.used_s = now_s
        self.logged_s = float("-inf")
        self.lease = Lease(now_s)
        self.allowance = LocalAllowance()
        self.waiting: list[asyncio.Future] = []
        self.ask: _Ask | None = None


class SharedQuota:
    """A :class:`QuotaGate` over all routers, by grants of the router that owns an account."""

    __slots__ = (
        "_accounts",
        "_applied",
        "_bounds",
        "_channel",
        "_clock",
        "_log",
        "_metrics",
        "_number",
        "_own_host",
        "_owned",
        "_owners",
        "_share",
        "_silent",
        "_states",
    )

    def __init__(
        self,
        bounds: QuotaBounds,
        own_host: str,
        owners: QuotaOwners,
        channel: PeerChannel,
        log: DecisionLog,
        clock: Callable[[], float],
    ) -> None:
        """Initialise a gate that knows no account and no router yet."""
        self._bounds = bounds
        self._own_host = own_host
        self._owners = owners
        self._channel = channel
        self._log = log
        self._clock = clock
        self._metrics = QuotaMetrics()
        # The number of an earlier run of this process would be taken for a request sent again.
        self._number = int(clock() * 1e6)
        self._applied: Iterable[ClientAccount] = ()
        self._accounts: dict[str, ClientAccount] = {}
        self._states: dict[str, _AccountState] = {}
        self._owned = OwnedQuotas(bounds, own_host, owners, clock())
        self._silent: dict[str, float] = {}
        self._share = 0.0
        channel.handle(QuotaRequest, self._handle_request)
        channel.handle(QuotaGrant, self._handle_grant)

    @classmethod
    def from_settings(
        cls,
        settings: RouterSettings,
        channel: PeerChannel,
        log: DecisionLog,
        clock: Callable[[], float],
    ) -> SharedQuota:
        """Return the gate of a router with these settings."""
        bounds = QuotaBounds(settings.quota_window_s, settings.quota_overage, settings.quota_slack)
        owners = QuotaOwners(settings.address, settings.quota_window_s, clock())
        return cls(bounds, settings.address, owners, channel, log, clock)

    def set_accounts(self, accounts: Iterable[ClientAccount], now_s: float) -> None:
        """Apply the accounts of the active configuration."""
        if accounts is self._applied:
            return  # a change of the view that concerns backend servers
        self._applied = accounts
        self._accounts = {account.name: account for account in accounts if account.rate_per_s > 0}
        self._metrics.set_accounts(self._accounts.values())
        for name, state in self._states.items():
            account = self._accounts.get(name)
            if account is not None and account != state.account:
                state.account = account
                state.lease.clear()
        self._owned.set_accounts(self._accounts, now_s)

    def update(self, routers: RouterSet, now_s: float) -> None:
        """Apply the present routers, and forget accounts without requests."""
        self._owned.update(now_s)
        self._share = routers.limit_share
        if self._owners.update(routers, now_s):
            self._apply_owners(now_s)
        self._states = {
            name: state
            for name, state in self._states.items()
            if now_s - state.used_s < IDLE_S or state.ask is not None
        }

    async def acquire(
        self, account: ClientAccount, request: CallerRequest, now_s: float
    ) -> float | None:
        """Count a request, and return ``None`` if it is within the quota of its account."""
        if account.rate_per_s <= 0:
            return None
        state = self._state(account, now_s)
        state.lease.record_arrival(now_s)
        if state.owner == self._own_host:
            decision = self._owned.decide(account.name, 1, 0, now_s)
            wait_s = None if decision.granted else decision.wait_s
            return self._finish(state, wait_s, "owner", decision.level)
        if state.lease.use(now_s):
            return self._finish(state, None, "lease")
        if state.owner is None or self._is_silent(state, now_s):
            return self._use_allowance(state, now_s)
        future = asyncio.get_running_loop().create_future()
        state.waiting.append(future)
        if state.ask is None:
            self._ask(state, now_s)
        return await future

    def _state(self, account: ClientAccount, now_s: float) -> _AccountState:
        state = self._states.get(account.name)
        if state is None:
            owner = self._owners.owner(account.name)
            state = self._states[account.name] = _AccountState(account, owner, now_s)
            self._set_owner(state, owner, now_s)
        state.used_s = now_s
        return state

    def _set_owner(self, state: _AccountState, owner: str | None, now_s: float) -> None:
        state.owner = owner
        state.takeovers, state.moved_s = self._owners.takeovers(
            state.account.name, self._bounds.window_s, now_s
        )

    def _ask(self, state: _AccountState, now_s: float) -> None:
        """Ask the owner for the requests that wait."""
        self._number += 1
        state.ask = _Ask(self._number, state.owner or "", now_s, state.waiting)
        state.waiting = []
        self._send_ask(state, RESEND_S, self._resend)

    def _send_ask(
        self, state: _AccountState, after_s: float, then: Callable[[_AccountState], None]
    ) -> None:
        ask = state.ask
        limits = QuotaLimits.from_account(state.account, self._bounds)
        ahead = state.lease.expected(limits.lease_s)
        takeovers = state.takeovers if ask.sent_s - state.moved_s < limits.window_s else 0
        message = QuotaRequest(ask.number, state.account.name, len(ask.waiting), ahead, takeovers)
        self._channel.send(ask.owner, message)
        if ask.timer is not None:
            ask.timer.cancel()
        ask.timer = asyncio.get_running_loop().call_later(after_s, then, state)

    def _resend(self, state: _AccountState) -> None:
        self._send_ask(state, TIMEOUT_S - RESEND_S, self._time_out)

    def _time_out(self, state: _AccountState) -> None:
        """Admit the waiting requests by the allowance, and do not wait for the owner again."""
        now_s = self._clock()
        owner = state.ask.owner
        QUOTA_TIMEOUTS.inc()
        if owner not in self._silent:
            self._log.write("quota owner does not answer", owner=owner, account=state.account.name)
        self._silent[owner] = now_s + SILENCE_S
        self._settle_without_owner(state, now_s)

    def _settle_without_owner(self, state: _AccountState, now_s: float) -> None:
        waiting = [*state.ask.waiting, *state.waiting]
        state.ask.timer.cancel()
        state.ask, state.waiting = None, []
        for future in waiting:
            if not future.done():
                future.set_result(self._use_allowance(state, now_s))

    def _is_silent(self, state: _AccountState, now_s: float) -> bool:
        """Return whether the owner does not answer, and ask it now and then."""
        retry_s = self._silent.get(state.owner)
        if retry_s is None:
            return False
        if now_s >= retry_s:
            self._silent[state.owner] = now_s + SILENCE_S
            self._number += 1
            self._channel.send(state.owner, QuotaRequest(self._number, state.account.name, 0, 0))
        return True

    def _use_allowance(self, state: _AccountState, now_s: float) -> float | None:
        limits = QuotaLimits.from_account(state.account, self._bounds)
        allowance = limits.allowance * self._share
        wait_s = state.allowance.use(allowance, limits.window_s, now_s)
        return self._finish(state, wait_s, "allowance", allowance)

    def _handle_grant(self, grant: QuotaGrant, host: str) -> None:
        """Pass the decision of an owner on to the requests that wait for it."""
        if self._silent.pop(host, None) is not None:
            self._log.write("quota owner answers", owner=host)
        state = self._states.get(grant.account)
        ask = state.ask if state is not None else None
        if ask is None or ask.number != grant.number or ask.owner != host:
            return
        now_s = self._clock()
        if grant.decision is None:
            self._redirect(state, grant.owner, now_s)
            return
        ask.timer.cancel()
        state.ask = None
        decision = grant.decision
        for place, future in enumerate(ask.waiting):
            refused = place - decision.granted
            wait_s = decision.wait_s + refused * decision.spacing_s if refused >= 0 else None
            if not future.done():
                future.set_result(self._finish(state, wait_s, host, decision.level))
        limits = QuotaLimits.from_account(state.account, self._bounds)
        state.lease.add(decision.ahead, ask.sent_s + limits.lease_s)
        if state.waiting:
            self._ask(state, now_s)

    def _redirect(self, state: _AccountState, owner: str, now_s: float) -> None:
        """Ask the router that another one takes for the owner, once."""
        ask = state.ask
        if ask.is_redirected or owner in ("", self._own_host):
            self._settle_without_owner(state, now_s)
            return
        ask.owner, ask.is_redirected = owner, True
        self._send_ask(state, max(0.0, ask.sent_s + TIMEOUT_S - now_s), self._time_out)

    def _handle_request(self, message: QuotaRequest, host: str) -> None:
        """Answer a router that takes this one for the owner of an account."""
        self._channel.send(host, self._owned.answer(message, host, self._clock()))

    def _apply_owners(self, now_s: float) -> None:
        """Choose owners anew, and drop the buckets of accounts that others own now."""
        moved = 0
        for name, state in self._states.items():
            owner = self._owners.owner(name)
            moved += owner != state.owner
            self._set_owner(state, owner, now_s)
        self._owned.drop_moved(now_s)
        self._silent = {
            host: retry_s
            for host, retry_s in self._silent.items()
            if host in self._owners.candidates
        }
        if not self._accounts:
            return
        self._log.write(
            "quota owners changed",
            routers=len(self._owners.candidates),
            moved=moved,
            owned=len(self._owned),
        )

    def _finish(
        self, state: _AccountState, wait_s: float | None, decided_by: str, level: float = 0.0
    ) -> float | None:
        """Count a decision, log a refusal, and return the time until there is room."""
        self._metrics.observe(state.account.name, is_admitted=wait_s is None)
        now_s = self._clock()
        if wait_s is not None and now_s - state.logged_s >= MIN_LOG_INTERVAL_S:
            state.logged_s = now_s
            self._log.write(
                "quota used up",
                account=state.account.name,
                rate_per_s=state.account.rate_per_s,
                decided_by=decided_by,
                level=round(level, 2),
                wait_s=round(wait_s, 3),
            )
        return wait_s
