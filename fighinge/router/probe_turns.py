"""Lets a router probe each suspect request by one attempt at a time."""

from __future__ import annotations

import asyncio

import msgspec

CONFIRM_S = 0.3  # after which it is known whether a probe that was lost has ended its server


class _Turn(msgspec.Struct):
    """The lock of one request, and the attempts that hold or await it."""

    lock: asyncio.Lock
    attempts: int = 0


class ProbeTurns:
    """The turns of the attempts of each suspect request."""

    __slots__ = ("_turns",)

    def __init__(self) -> None:
        self._turns: dict[str, _Turn] = {}

    async def acquire(self, fingerprint: str, timeout_s: float) -> bool:
        """Wait for the turn of an attempt, and return whether it came in time.

        :param timeout_s: longest time to wait, in seconds
        """
        turn = self._turns.setdefault(fingerprint, _Turn(asyncio.Lock()))
        turn.attempts += 1
        is_acquired = False
        try:
            async with asyncio.timeout(timeout_s):
                is_acquired = await turn.lock.acquire()
        except TimeoutError:
            pass
        finally:
            if not is_acquired:
                self._leave(fingerprint, turn)
        return is_acquired

    def release(self, fingerprint: str, *, was_lost: bool = False) -> None:
        """End a turn; after a probe that was lost, the next one waits for the evidence."""
        if was_lost:
            asyncio.get_running_loop().call_later(CONFIRM_S, self._release, fingerprint)
        else:
            self._release(fingerprint)

    def _release(self, fingerprint: str) -> None:
        turn = self._turns[fingerprint]
        turn.lock.release()
        self._leave(fingerprint, turn)

    def _leave(self, fingerprint: str, turn: _Turn) -> None:
        turn.attempts -= 1
        if not turn.attempts:
            del self._turns[fingerprint]
