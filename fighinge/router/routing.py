"""The route and the client account of a request, by the active configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fighinge.errors import ErrorKind, Failure
from fighinge.router.source_state import Topic

if TYPE_CHECKING:
    from fighinge.router.exchange import CallerRequest
    from fighinge.router.model import ClientAccount, Route
    from fighinge.router.view import View


class RequestRouting:
    """Finds the route and the client account of requests.

    With a stale configuration, the router cannot know the current routes and keys. For a route or
    key that it does not know, it then reports that it is not ready, so that the caller tries
    another router.

    :param uses_accounts: whether the configuration names client accounts
    """

    __slots__ = ("_view", "uses_accounts")

    def __init__(self, view: View, *, uses_accounts: bool = False) -> None:
        self._view = view
        self.uses_accounts = uses_accounts

    def find_route(self, request: CallerRequest) -> Route | Failure:
        """Return the route of a request, or why there is none."""
        table = self._view.table
        if table is None:
            return Failure(ErrorKind.NOT_READY, "no configuration is known yet")
        if self.uses_accounts and table.accounts is None:
            return Failure(ErrorKind.NOT_READY, "the client accounts are not known yet")
        host = request.host.lower()
        route = self._view.routes.find(host, request.path)
        if route is None:
            route = self._view.routes.find(host.partition(":")[0], request.path)
        if route is None:
            return self._unknown(ErrorKind.UNKNOWN_PATH, "no route has this host and path")
        if len(request.body) > table.limits.max_body_bytes:
            return Failure(ErrorKind.TOO_LARGE, "the body is larger than the limit", "body")
        return route

    def find_account(self, request: CallerRequest, route: Route) -> ClientAccount | Failure | None:
        """Return the client account of a request, ``None`` if a public route needs none.

        A peer that forwarded the request has verified its key and removed it, unless it has a
        build without client accounts.
        """
        accounts = self._view.accounts
        if request.is_forwarded:
            account = accounts.find_by_name(request.account)
        else:
            account = accounts.find(request.credential)
        if account is not None or route.is_public:
            return account
        if request.is_forwarded:
            return Failure(ErrorKind.NOT_READY, "no client account was verified by the peer")
        return self._unknown(ErrorKind.UNAUTHENTICATED, "no client account has this key")

    def has_accounts(self) -> bool:
        """Return whether the active configuration names client accounts."""
        return len(self._view.accounts) > 0

    def _unknown(self, kind: ErrorKind, reason: str) -> Failure:
        if self._view.is_fresh(Topic.CONFIGURATION):
            return Failure(kind, reason)
        return Failure(ErrorKind.NOT_READY, f"{reason}, and the configuration may be stale")
