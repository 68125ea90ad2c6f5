"""Requests that crash the backend servers that run them, recognised over all routers."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import msgspec

from fighinge.facts import Fact, FactKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from fighinge.facts import FactBoard
    from fighinge.router.exchange import CallerRequest

CRASHES_TO_QUARANTINE = 3  # a caller's own repeat after one crash of a server is not enough
CONFIRM_WINDOW_S = 3.0  # a lost connection and a refused one further apart are two events
LOSS_TTL_S = 60.0  # such a request comes again within seconds
QUARANTINE_TTL_S = 120.0  # twice as long, so that its next round finds it refused
ATTEMPT_SEPARATOR = "\t"  # request identifiers hold visible characters only
MAX_SERVERS = 10_000  # a megabyte


class _Loss(msgspec.Struct):
    """A call that was lost with its connection, not known to be a crash."""

    fingerprint: str
    request_id: str
    lost_s: float


class CrashSuspects:
    """Counts, for each fingerprint, the callers' attempts that took a server with them.

    A lost connection alone proves nothing: the server's next answer clears the request, and only
    a server that then refuses connections has crashed. Attempts are counted, since one attempt
    asks many shards at once and loses many servers when a data centre goes; servers are counted
    too, since many callers' attempts of a popular request are in flight at one that crashes.
    """

    __slots__ = ("_board", "_losses", "_on_quarantine")

    def __init__(
        self,
        board: FactBoard,
        on_quarantine: Callable[[str], None] = lambda _fingerprint: None,
    ) -> None:
        self._board = board
        self._losses: dict[str, list[_Loss]] = {}
        self._on_quarantine = on_quarantine

    def is_quarantined(self, fingerprint: str, now_s: float) -> bool:
        """Return whether a request is refused, by what any router has found."""
        return bool(self._board.values(FactKind.QUARANTINE, fingerprint, now_s))

    def record_lost_connection(
        self, server: str, fingerprint: str, request_id: str, now_s: float
    ) -> None:
        """Note that a call's connection to a server was lost while the server worked on it.

        :param server: names one run of the server's process
        """
        losses = self._losses.setdefault(server, [])
        losses.append(_Loss(fingerprint, request_id, now_s))
        if len(self._losses) > MAX_SERVERS:
            del self._losses[next(iter(self._losses))]

    def record_response(self, server: str) -> None:
        """Note that a server answers: what was lost there did not crash it."""
        self._losses.pop(server, None)

    def record_refused_connection(self, server: str, now_s: float) -> None:
        """Note that nothing listens at a server's address: it has crashed."""
        for loss in self._losses.pop(server, ()):
            if now_s - loss.lost_s <= CONFIRM_WINDOW_S:
                self._record_crash(loss, server, now_s)

    def _record_crash(self, loss: _Loss, server: str, now_s: float) -> None:
        fingerprint = loss.fingerprint
        known = self._crashes(fingerprint, now_s)
        if sum(attempt == loss.request_id for attempt, _ in known) >= CRASHES_TO_QUARANTINE:
            return
        value = f"{loss.request_id}{ATTEMPT_SEPARATOR}{server}"
        self._board.add(Fact(FactKind.LOSS, fingerprint, value, now_s + LOSS_TTL_S), now_s)
        known = self._crashes(fingerprint, now_s)
        attempts, servers = ({crash[part] for crash in known} for part in (0, 1))
        crashes = min(len(attempts), len(servers))
        if crashes >= CRASHES_TO_QUARANTINE and not self.is_quarantined(fingerprint, now_s):
            reason = f"{crashes} attempts crashed backend servers"
            expires_s = now_s + QUARANTINE_TTL_S
            self._board.add(Fact(FactKind.QUARANTINE, fingerprint, reason, expires_s), now_s)
            self._on_quarantine(fingerprint)

    def _crashes(self, fingerprint: str, now_s: float) -> list[tuple[str, str]]:
        """Return the attempts and servers of what any router has found."""
        values = self._board.values(FactKind.LOSS, fingerprint, now_s)
        return [
            (attempt, server)
            for attempt, _, server in (v.partition(ATTEMPT_SEPARATOR) for v in values)
        ]


def request_fingerprint(request: CallerRequest) -> str:
    """Return what all attempts of one request of a caller have in common."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (request.method, request.host, request.target):
        digest.update(part.encode())
        digest.update(b"\0")
    digest.update(request.body)
    return digest.hexdigest()
