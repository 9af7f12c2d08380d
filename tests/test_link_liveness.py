"""Tests of when a link is pinged and when it counts as lost."""

import asyncio

from gentianmill_mesh.link_liveness import (
    PING_AFTER_MS,
    PONG_WITHIN_MS,
    LinkLiveness,
)
from virtual_time import LoopClock, run_virtual

OBSERVATION_S = (PING_AFTER_MS + PONG_WITHIN_MS) * 5 / 1000


class _Link:
    def __init__(self, *, responding: bool) -> None:
        self.responding = responding
        self.busy = True
        self.pings = 0
        self.losses = 0
        self.liveness = LinkLiveness(
            LoopClock(), lambda: self.busy, self._ping, self._lose
        )

    def _ping(self) -> None:
        self.pings += 1
        if self.responding:
            self.liveness.on_received()

    def _lose(self) -> None:
        self.losses += 1


def test_unresponsive_link_is_lost_once():
    """Guards against a call on an unresponsive link that waits until its deadline."""

    async def scenario() -> _Link:
        link = _Link(responding=False)
        link.liveness.on_sent()
        await asyncio.sleep(OBSERVATION_S)
        return link

    link = run_virtual(scenario())
    assert (link.pings, link.losses) == (1, 1)


def test_link_that_responds_to_pings_is_kept():
    """Guards against closing a link because one of its calls is slow."""

    async def scenario() -> _Link:
        link = _Link(responding=True)
        link.liveness.on_sent()
        await asyncio.sleep(OBSERVATION_S)
        return link

    link = run_virtual(scenario())
    assert link.pings >= 2
    assert not link.losses


def test_link_without_calls_is_not_pinged():
    """Guards against idle pings, which grow with the square of the number of nodes."""

    async def scenario() -> _Link:
        link = _Link(responding=True)
        link.busy = False
        link.liveness.on_sent()
        await asyncio.sleep(OBSERVATION_S)
        return link

    assert not run_virtual(scenario()).pings


def test_idle_link_is_pinged_with_the_next_call():
    """Guards against a full wait on a link that became unresponsive while idle."""

    async def scenario() -> _Link:
        link = _Link(responding=False)
        await asyncio.sleep(PING_AFTER_MS * 2 / 1000)
        link.liveness.on_sent()
        assert link.pings == 1
        await asyncio.sleep(PONG_WITHIN_MS * 1.5 / 1000)
        return link

    assert run_virtual(scenario()).losses == 1
