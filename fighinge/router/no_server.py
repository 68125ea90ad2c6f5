"""Why no backend server of a service could be called."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fighinge.errors import ErrorKind, Failure

if TYPE_CHECKING:
    from fighinge.router.pool import BackendPool, Service


def no_server_failure(
    pool: BackendPool, service: Service, now_s: float, *, is_urgent: bool
) -> Failure:
    """Return why a request was sent to no server; it has not run.

    :param is_urgent: whether no more urgent requests want what a limit has left
    """
    if any(backend.limit.is_reached(now_s, is_urgent=is_urgent) for backend in service.backends):
        return Failure(ErrorKind.OVERLOADED, "backend servers are at the limit that they name")
    if pool.wait_s(service, now_s):
        return Failure(ErrorKind.OVERLOADED, "all backend servers want a pause")
    return Failure(ErrorKind.NO_REPLICA, "no backend server is in service")
