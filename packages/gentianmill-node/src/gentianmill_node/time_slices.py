"""Run a long computation in time slices, so that other tasks can run in between."""

import asyncio

from gentianmill.clock import Clock
from gentianmill.steps import Content, Steps

SLICE_MS = 2


async def run_in_slices(steps: Steps[Content], clock: Clock) -> Content:
    """Run steps for a few milliseconds at a time and return the result.

    Args:
        steps: The computation.
        clock: Clock that measures the time slices.
    """
    slice_end_ms = clock.now_ms() + SLICE_MS
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value
        if clock.now_ms() >= slice_end_ms:
            await asyncio.sleep(0)
            slice_end_ms = clock.now_ms() + SLICE_MS
