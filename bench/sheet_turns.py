"""Measure how long reading a new sheet blocks the event loop of a node."""

import asyncio
import gc
import statistics

from gentianmill.clock import MonotonicClock
from gentianmill.sheet_version import SheetTracker
from gentianmill_node.heap import freeze_heap
from gentianmill_node.time_slices import run_in_slices

SHEET_REPETITIONS = 15


async def longest_turns(text: str) -> dict[str, float]:
    """Return how long reading a new sheet blocks the event loop at most, in ms."""
    freeze_heap()
    turns_ms = [await longest_turn_ms(text) for _ in range(SHEET_REPETITIONS)]
    gc.unfreeze()
    return {
        'node_longest_turn_ms': statistics.median(turns_ms),
        'node_longest_turn_of_all_ms': max(turns_ms),
    }


async def longest_turn_ms(text: str) -> float:
    """Return the longest time for which another task could not run, in ms."""
    clock = MonotonicClock()
    steps = SheetTracker().offer_steps(1, text, 'bench', 0)
    reading = asyncio.create_task(run_in_slices(steps, clock))
    longest_ms = 0.0
    last_ms = clock.now_ms()
    while not reading.done():
        await asyncio.sleep(0)
        now_ms = clock.now_ms()
        longest_ms = max(longest_ms, now_ms - last_ms)
        last_ms = now_ms
    return longest_ms
