"""Run a long computation while the loop serves others."""

import asyncio

from gentianmill.clock import Clock
from gentianmill.steps import Content, Steps

TURN_MS = 2


async def run_in_turns(steps: Steps[Content], clock: Clock) -> Content:
    """Take steps for a few milliseconds at a time and return the result.

    Args:
        steps: The computation.
        clock: Clock that tells when a turn ends.
    """
    ends_ms = clock.now_ms() + TURN_MS
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value
        if clock.now_ms() >= ends_ms:
            await asyncio.sleep(0)
            ends_ms = clock.now_ms() + TURN_MS
