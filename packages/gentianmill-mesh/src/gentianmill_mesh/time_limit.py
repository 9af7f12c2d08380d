"""Limits the time of an awaitable."""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

Outcome = TypeVar('Outcome')


async def within(work: Awaitable[Outcome], timeout_s: float) -> Outcome:
    """Return the result of an awaitable, or cancel it after a timeout.

    ``asyncio.timeout`` of Python 3.11 leaves a cancellation pending if the awaitable
    finishes in the same iteration of the event loop in which the timeout expires;
    the next ``await`` of the caller then fails.

    Args:
        work: The awaitable, which runs as a separate task.
        timeout_s: Time limit in s.

    Raises:
        TimeoutError: If the time limit is exceeded.
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
