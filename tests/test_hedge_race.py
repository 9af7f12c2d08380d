"""Tests of races between a call and its hedge."""

import asyncio
from collections.abc import Coroutine

import pytest
from gentianmill.outcome import Outcome
from gentianmill_mesh.guard_call import GuardReply
from gentianmill_mesh.hedge_race import HedgeRace
from gentianmill_mesh.http_message import HttpResponse

DELAY_S = 0.01
LONG_S = 5.0
FIRST = GuardReply(Outcome.answered, HttpResponse(200, [], b'first'))
SECOND = GuardReply(Outcome.answered, HttpResponse(200, [], b'second'))
LOST = GuardReply.unknown('upstream_lost')
REFUSED = GuardReply.not_run('draining')


async def _reply(reply: GuardReply, after_s: float) -> GuardReply:
    await asyncio.sleep(after_s)
    return reply


async def _slow(stopped: list[bool]) -> GuardReply:
    """Reply late, and record a cancellation."""
    try:
        return await _reply(FIRST, LONG_S)
    except asyncio.CancelledError:
        stopped.append(True)
        raise


def _race(
    first: Coroutine, second: Coroutine | None
) -> Coroutine[None, None, GuardReply]:
    return HedgeRace(DELAY_S, lambda: second).race(first)


def test_a_fast_call_is_not_hedged():
    """Guards against doubling the load by hedging every call."""
    started: list[str] = []

    async def scenario() -> GuardReply:
        hedge = HedgeRace(DELAY_S, lambda: started.append('second'))
        reply = await hedge.race(_reply(FIRST, 0))
        await asyncio.sleep(DELAY_S * 3)
        return reply

    assert asyncio.run(scenario()) is FIRST
    assert not started


def test_a_slow_call_is_overtaken_by_its_hedge_and_cancelled():
    """Guards against an attempt that keeps running after it has lost the race."""
    stopped: list[bool] = []

    async def scenario() -> GuardReply:
        return await _race(_slow(stopped), _reply(SECOND, 0))

    assert asyncio.run(scenario()) is SECOND
    assert stopped == [True]


@pytest.mark.parametrize('turns', range(8))
def test_no_cancellation_is_left_behind(turns: int):
    """Guards against a cancellation that comes with the reply and ends a later wait.

    The call replies ``turns`` iterations of the event loop after its release, the hedge
    two iterations after it.
    """

    async def scenario() -> GuardReply:
        release = asyncio.Event()

        async def reply_later(reply: GuardReply, iterations: int) -> GuardReply:
            await release.wait()
            for _ in range(iterations):
                await asyncio.sleep(0)
            return reply

        asyncio.get_running_loop().call_later(DELAY_S * 3, release.set)
        reply = await _race(reply_later(FIRST, turns), reply_later(SECOND, 2))
        for _ in range(10):
            await asyncio.sleep(0)
        assert not asyncio.current_task().cancelling()
        return reply

    assert asyncio.run(scenario()) in (FIRST, SECOND)


def test_a_caller_who_leaves_cancels_both_attempts():
    """Guards against two attempts that run on for a caller that has left."""
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


def test_a_failed_call_waits_for_its_hedge():
    """Guards against reporting a failure while a response is still expected."""

    async def scenario() -> GuardReply:
        return await _race(_reply(LOST, DELAY_S * 2), _reply(SECOND, DELAY_S * 4))

    assert asyncio.run(scenario()) is SECOND


def test_a_possible_execution_is_reported():
    """Guards against a refused hedge that hides that the call itself may have run."""

    async def scenario() -> GuardReply:
        return await _race(_reply(LOST, DELAY_S * 2), _reply(REFUSED, DELAY_S * 4))

    assert asyncio.run(scenario()) is LOST
