"""Detection, across all routers, of requests that crash backend servers."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import msgspec

from fighinge.facts import Fact, FactKind
from fighinge.router.metrics import CRASH_EVIDENCE

if TYPE_CHECKING:
    from collections.abc import Callable

    from fighinge.facts import FactBoard
    from fighinge.router.decision_log import DecisionLog
    from fighinge.router.exchange import CallerRequest

CRASHES_TO_QUARANTINE = 3  # more than a caller's own retry after one crash
CONFIRM_WINDOW_S = 3.0  # a later refused connection is a separate event
LOSS_TTL_S = 60.0  # such a request is repeated within seconds
QUARANTINE_TTL_S = 120.0  # twice LOSS_TTL_S, so that the next round of retries is refused
FIELD_SEPARATOR = "\t"  # request IDs contain only visible characters
MAX_SERVERS = 10_000  # about a megabyte


class _Loss(msgspec.Struct):
    """A call whose connection was lost; not yet confirmed as a crash."""

    fingerprint: str
    request_id: str
    lost_s: float


class CrashSuspects:
    """Counts the crashes of backend servers by request fingerprint.

    A lost connection alone proves no crash: the next answer of the server clears the request, and
    only a server that then refuses connections has crashed. A request is quarantined once both
    the callers' attempts (request IDs) with a crash and the crashed servers reach the threshold.
    Neither count is enough: one attempt calls many shards and loses many servers when a data
    centre fails, and many attempts of a popular request are in flight at a single server that
    crashes.
    """

    __slots__ = ("_board", "_log", "_losses", "_on_quarantine")

    def __init__(
        self,
        board: FactBoard,
        log: DecisionLog,
        on_quarantine: Callable[[str], None] = lambda _fingerprint: None,
    ) -> None:
        self._log = log
        self._board = board
        self._losses: dict[str, list[_Loss]] = {}
        self._on_quarantine = on_quarantine

    def is_quarantined(self, fingerprint: str, now_s: float) -> bool:
        """Return whether any router has quarantined the request."""
        return bool(self._board.values(FactKind.QUARANTINE, fingerprint, now_s))

    def record_lost_connection(
        self, server: str, fingerprint: str, request_id: str, now_s: float
    ) -> None:
        """Record that the connection of a call was lost before its response.

        :param server: identifies one run of the server's process
        """
        losses = self._losses.setdefault(server, [])
        losses.append(_Loss(fingerprint, request_id, now_s))
        self._write("connection lost", losses[-1], server, now_s)
        if len(self._losses) > MAX_SERVERS:
            del self._losses[next(iter(self._losses))]

    def record_response(self, server: str, now_s: float) -> None:
        """Record that a server has answered, so calls lost there are not counted as crashes."""
        for loss in self._losses.pop(server, ()):
            self._write("withdrawn, the server answered", loss, server, now_s)

    def record_refused_connection(self, server: str, now_s: float) -> None:
        """Record a refused connection, which confirms that the server has crashed."""
        for loss in self._losses.pop(server, ()):
            if now_s - loss.lost_s <= CONFIRM_WINDOW_S:
                self._write("confirmed, the server refused a connection", loss, server, now_s)
                self._record_crash(loss, server, now_s)
            else:
                self._write("expired before a confirmation", loss, server, now_s)

    def _record_crash(self, loss: _Loss, server: str, now_s: float) -> None:
        fingerprint = loss.fingerprint
        recorded = self._crashes(fingerprint, now_s)
        if sum(attempt == loss.request_id for attempt, _ in recorded) >= CRASHES_TO_QUARANTINE:
            return
        value = f"{loss.request_id}{FIELD_SEPARATOR}{server}"
        self._board.add(Fact(FactKind.LOSS, fingerprint, value, now_s + LOSS_TTL_S), now_s)
        recorded = self._crashes(fingerprint, now_s)
        attempts, servers = ({crash[index] for crash in recorded} for index in (0, 1))
        crashes = min(len(attempts), len(servers))
        if crashes >= CRASHES_TO_QUARANTINE and not self.is_quarantined(fingerprint, now_s):
            reason = f"{crashes} attempts crashed backend servers"
            expires_s = now_s + QUARANTINE_TTL_S
            self._board.add(Fact(FactKind.QUARANTINE, fingerprint, reason, expires_s), now_s)
            self._on_quarantine(fingerprint)

    def _write(self, evidence: str, loss: _Loss, server: str, now_s: float) -> None:
        CRASH_EVIDENCE.labels(evidence).inc()
        self._log.write(
            "crash evidence",
            evidence=evidence,
            fingerprint=loss.fingerprint,
            request=loss.request_id,
            server=server,
            age_s=round(now_s - loss.lost_s, 3),
            crashes=len(self._crashes(loss.fingerprint, now_s)),
        )

    def _crashes(self, fingerprint: str, now_s: float) -> list[tuple[str, str]]:
        """Return the request ID and server of each crash that any router has recorded."""
        values = self._board.values(FactKind.LOSS, fingerprint, now_s)
        return [
            (attempt, server)
            for attempt, _, server in (v.partition(FIELD_SEPARATOR) for v in values)
        ]


def request_fingerprint(request: CallerRequest) -> str:
    """Return a hash that is equal for all callers' attempts of the same request."""
    digest = hashlib.blake2b(digest_size=12)
    for field in (request.method, request.host, request.target):
        digest.update(field.encode())
        digest.update(b"\0")
    digest.update(request.body)
    return digest.hexdigest()
