"""Builders of calls and crashes for tests of requests that crash backend servers."""

from __future__ import annotations

from fighinge.facts import FactBoard
from fighinge.router.crash_evidence import SentCall
from fighinge.router.crash_suspects import CrashSuspects, request_fingerprint
from tests.router.builders import MemoryLog, request

NOW_S = 100.0
FINGERPRINT = request_fingerprint(request())


def crash_suspects(board=None):
    """Return the records of a router without evidence."""
    return CrashSuspects(board or FactBoard(), MemoryLog())


def start_call(suspects, server, *, request_id="r1", service="s0", now_s=NOW_S):
    """Return a call of the request to a server, as it was sent."""
    is_probe = service in suspects.suspect_services(FINGERPRINT, now_s)
    return SentCall(FINGERPRINT, request_id, service, server, now_s, is_probe)


def start_other_call(server, now_s):
    """Return a call of another request."""
    return SentCall("other", "r", "s0", server, now_s, False)


def lose(suspects, *calls, now_s=NOW_S):
    """Lose the connections of calls."""
    for call in calls:
        suspects.record_lost_connection(call, now_s + 0.01)


def crash(suspects, server, **changes):
    """Send a call to a server, which ends under it."""
    now_s = changes.get("now_s", NOW_S)
    lose(suspects, start_call(suspects, server, **changes), now_s=now_s)
    suspects.record_end(server, now_s + 0.02)


def linked_routers(**changes):
    """Return two routers that tell each other facts at once, the second one with changes."""
    boards = [FactBoard(), FactBoard()]
    for board, other in zip(boards, reversed(boards), strict=True):
        board.listen(lambda fact, other=other: other.add(fact, NOW_S))
    return crash_suspects(boards[0]), CrashSuspects(boards[1], MemoryLog(), **changes)
