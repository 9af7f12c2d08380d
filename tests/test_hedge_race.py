"""Races between two copies of a call."""

import asyncio
from collections.abc import Coroutine

import pytest
from gentianmill.outcome import Outcome
from gentianmill_mesh.guard_call import GuardReply
from gentianmill_mesh.hedge_race import Hedge
from gentianmill_mesh.http_message import HttpAnswer

DELAY_S = 0.01
LONG_S = 5.0
FIRST = GuardReply(Outcome.answered, HttpAnswer(200, [], b'first'))
SECOND = GuardReply(Outcome.answered, HttpAnswer(200, [], b'second'))
LOST = GuardReply.unknown('upstream_lost')
REFUSED = GuardReply.not_run('draining')


async def _reply(reply: GuardReply, after_s: float) -> GuardReply:
    await asyncio.sleep(after_s)
    return reply


async def _slow(stopped: list[bool]) -> GuardReply:
    """Reply late, and note if that is cancelled."""
    try:
        return await _reply(FIRST, LONG_S)
    except asyncio.CancelledError:
        stopped.append(True)
        raise


def _race(
    first: Coroutine, second: Coroutine | None
) -> Coroutine[None, None, GuardReply]:
    return Hedge(DELAY_S, lambda: second).race(first)


def test_a_quick_first_copy_needs_no_second():
    """A second copy of each call would double the load."""
    started: list[str] = []

    async def scenario() -> GuardReply:
        hedge = Hedge(DELAY_S, lambda: started.append('second'))
        reply = await hedge.race(_reply(FIRST, 0))
        await asyncio.sleep(DELAY_S * 3)
        return reply

    assert asyncio.run(scenario()) is FIRST
    assert not started


def test_a_slow_first_copy_is_overtaken_and_stopped():
    """The work of the copy that lost the race would go on for nobody."""
    stopped: list[bool] = []

    async def scenario() -> GuardReply:
        return await _race(_slow(stopped), _reply(SECOND, 0))

    assert asyncio.run(scenario()) is SECOND
    assert stopped == [True]


@pytest.mark.parametrize('turns', range(8))
def test_no_cancellation_is_left_behind(turns: int):
    """A cancellation that comes with the answer would end the caller's next wait."""

    async def scenario() -> GuardReply:
        release = asyncio.Event()

        async def both(reply: GuardReply, own_turns: int) -> GuardReply:
            await release.wait()
            for _ in range(own_turns):
                await asyncio.sleep(0)
            return reply

        asyncio.get_running_loop().call_later(DELAY_S * 3, release.set)
        reply = await _race(both(FIRST, turns), both(SECOND, 2))
        for _ in range(10):
            await asyncio.sleep(0)
        assert not asyncio.current_task().cancelling()
        return reply

    assert asyncio.run(scenario()) in (FIRST, SECOND)


def test_a_caller_who_leaves_stops_both_copies():
    """Two copies would run on for a caller who has left."""
    stopped: list[bool] = []

    async def scenario() -> None:
        race = asyncio.ensure_future(_race(_slow(stopped), _slow(stopped)))
        await asyncio.sleep(DELAY_S * 3)
        race.cancel()
        with pytest.raises(asyncio.CancelledError):
            await race
        await asyncio.sleep(0)

    asyncio.run(scenario())
    assert stopped == [True, True]


def test_a_failed_first_copy_waits_for_the_second():
    """The caller would be told of a failure while its answer is under way."""

    async def scenario() -> GuardReply:
        return await _race(_reply(LOST, DELAY_S * 2), _reply(SECOND, DELAY_S * 4))

    assert asyncio.run(scenario()) is SECOND


def test_that_a_call_may_have_run_is_told():
    """A refusal by the second copy must not hide that the first may have run."""

    async def scenario() -> GuardReply:
        return await _race(_reply(LOST, DELAY_S * 2), _reply(REFUSED, DELAY_S * 4))

    assert asyncio.run(scenario()) is LOST
