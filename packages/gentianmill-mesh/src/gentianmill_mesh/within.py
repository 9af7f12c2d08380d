"""Bounds the time of an awaitable."""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

Outcome = TypeVar('Outcome')


async def within(work: Awaitable[Outcome], timeout_s: float) -> Outcome:
    """Return the result of an awaitable, or end it when its time is over.

    ``asyncio.timeout`` of Python 3.11 leaves a cancellation behind if the work ends
    in the same turn of the loop in which its time ends; the next wait of the caller
    then fails.

    Args:
        work: What to run, as a task of its own.
        timeout_s: Its time in s.

    Raises:
        TimeoutError: If the time is over.
    """
    task = asyncio.ensure_future(work)
    try:
        await asyncio.wait({task}, timeout=timeout_s)
    except asyncio.CancelledError:
        task.cancel()
        raise
    if not task.done():
        task.cancel()
        raise TimeoutError(f'not done within {timeout_s} s')
    return task.result()
