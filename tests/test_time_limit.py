"""Tests of the time limit of a coroutine."""

import asyncio

import pytest
from gentianmill_mesh.time_limit import within


def test_no_cancellation_is_left_behind():
    """Guards against work that ends at its limit and cancels the caller's next wait."""

    async def scenario() -> str:
        loop = asyncio.get_running_loop()
        done: asyncio.Future[str] = loop.create_future()

        async def wait() -> str:
            return await done

        loop.call_later(0.01, done.set_result, 'done')
        try:
            found = await within(wait(), 0.01)
        except TimeoutError:
            found = 'late'
        await asyncio.sleep(0)
        return found

    for _ in range(50):
        assert asyncio.run(scenario()) in {'done', 'late'}


def test_late_work_is_cancelled():
    """Guards against work that continues after its limit."""

    async def scenario() -> bool:
        ended = asyncio.Event()

        async def work() -> None:
            try:
                await asyncio.sleep(10)
            finally:
                ended.set()

        with pytest.raises(TimeoutError):
            await within(work(), 0)
        await asyncio.sleep(0)
        return ended.is_set()

    assert asyncio.run(scenario())
