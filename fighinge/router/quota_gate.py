"""Whether a client account's quota admits a further request."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from fighinge.router.exchange import CallerRequest
    from fighinge.router.model import ClientAccount


class QuotaGate(Protocol):
    """Counts the requests of client accounts against their quotas."""

    async def acquire(
        self, account: ClientAccount, request: CallerRequest, now_s: float
    ) -> float | None:
        """Count a request, and return ``None`` if it is within the quota of its account.

        :returns: otherwise the time until there is room, in seconds
        """


class UnlimitedQuota:
    """A :class:`QuotaGate` that admits every request."""

    __slots__ = ()

    async def acquire(
        self, account: ClientAccount, request: CallerRequest, now_s: float
    ) -> float | None:
        """Admit a request."""
        return None
