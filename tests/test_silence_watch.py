"""When a link is pinged and when it counts as lost."""

import asyncio

from gentianmill_mesh.silence_watch import (
    PING_AFTER_MS,
    PONG_WITHIN_MS,
    SilenceWatch,
)
from virtual_time import LoopClock, run_virtual

LONG_S = (PING_AFTER_MS + PONG_WITHIN_MS) * 5 / 1000


class _Link:
    def __init__(self, *, answering: bool) -> None:
        self.answering = answering
        self.busy = True
        self.pings = 0
        self.losses = 0
        self.watch = SilenceWatch(
            LoopClock(), lambda: self.busy, self._ping, self._lose
        )

    def _ping(self) -> None:
        self.pings += 1
        if self.answering:
            self.watch.heard()

    def _lose(self) -> None:
        self.losses += 1


def test_silent_link_is_lost_once():
    """A call on a link that went silent would wait to its deadline."""

    async def scenario() -> _Link:
        link = _Link(answering=False)
        link.watch.asked()
        await asyncio.sleep(LONG_S)
        return link

    link = run_virtual(scenario())
    assert (link.pings, link.losses) == (1, 1)


def test_link_that_answers_pings_is_kept():
    """A slow payment is no reason to cut its link."""

    async def scenario() -> _Link:
        link = _Link(answering=True)
        link.watch.asked()
        await asyncio.sleep(LONG_S)
        return link

    link = run_virtual(scenario())
    assert link.pings >= 2
    assert not link.losses


def test_link_without_calls_is_not_pinged():
    """Pings on idle links grow with the square of the number of nodes."""

    async def scenario() -> _Link:
        link = _Link(answering=True)
        link.busy = False
        link.watch.asked()
        await asyncio.sleep(LONG_S)
        return link

    assert not run_virtual(scenario()).pings


def test_link_that_rested_is_pinged_with_the_next_call():
    """A link that went silent while it rested must not cost the call a full wait."""

    async def scenario() -> _Link:
        link = _Link(answering=False)
        await asyncio.sleep(PING_AFTER_MS * 2 / 1000)
        link.watch.asked()
        assert link.pings == 1
        await asyncio.sleep(PONG_WITHIN_MS * 1.5 / 1000)
        return link

    assert run_virtual(scenario()).losses == 1
