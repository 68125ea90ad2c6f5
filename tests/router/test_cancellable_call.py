"""Tests of cancellable calls."""

from __future__ import annotations

import asyncio

import pytest

from fighinge.router.cancellable_call import CancellableCall
from tests.virtual_time import run


async def _after(delay_s):
    await asyncio.sleep(delay_s)
    return "result"


def test_cancelled_call_returns_none_and_the_next_one_its_result():
    async def work():
        call = CancellableCall()
        asyncio.get_running_loop().call_later(1.0, call.cancel)
        first = await call.wait(_after(5.0))
        return first, asyncio.get_running_loop().time(), await call.wait(_after(0.1))

    first, ended_s, second = run(work())
    assert first is None
    assert ended_s == pytest.approx(1001.0)
    assert second == "result"


def test_cancelling_without_a_pending_call_does_not_affect_the_next():
    async def work():
        call = CancellableCall()
        call.cancel()
        return await call.wait(_after(0.1))

    assert run(work()) == "result"


def test_cancelling_a_call_that_just_ended_does_not_affect_the_next():
    async def work():
        call = CancellableCall()
        loop = asyncio.get_running_loop()
        loop.call_later(1.0, loop.call_soon, call.cancel)
        await call.wait(_after(1.0))
        task = asyncio.create_task(call.wait(_after(5.0)))
        await asyncio.sleep(0.1)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    run(work())


def test_cancellation_of_the_awaiting_task_is_propagated():
    async def work():
        task = asyncio.create_task(CancellableCall().wait(_after(5.0)))
        await asyncio.sleep(0.1)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    run(work())
