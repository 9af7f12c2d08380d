"""Background tasks that never end without a log line."""

import asyncio
import inspect
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from gentianmill_node.logs import component

__all__ = ('repeat', 'spawn')

log = component('background')

_running: set[asyncio.Task[None]] = set()
"""References to the running tasks; the event loop itself holds only weak ones."""


def spawn(work: Coroutine[Any, Any, object], name: str) -> asyncio.Task[Any]:
    """Start a task whose result nobody awaits; its failure is logged.

    Args:
        work: The coroutine to run.
        name: Name of the task in the log.
    """
    task = asyncio.get_running_loop().create_task(work, name=name)
    _running.add(task)
    task.add_done_callback(_end)
    return task


def repeat(
    step: Callable[[], Awaitable[None] | None], interval_s: float, name: str
) -> asyncio.Task[Any]:
    """Start a task that runs a step periodically, also after a step that failed.

    Args:
        step: Function or coroutine function; its failures are logged.
        interval_s: Pause before each step.
        name: Name of the task in the log.
    """
    return spawn(_repeat(step, interval_s, name), name)


async def _repeat(
    step: Callable[[], Awaitable[None] | None], interval_s: float, name: str
) -> None:
    while True:
        await asyncio.sleep(interval_s)
        try:
            await _run(step)
        except Exception:
            log.exception('Step of a periodic task failed.', task=name)


async def _run(step: Callable[[], Awaitable[None] | None]) -> None:
    outcome = step()
    if inspect.isawaitable(outcome):
        await outcome


def _end(task: asyncio.Task[Any]) -> None:
    _running.discard(task)
    if task.cancelled():
        return
    error = task.exception()
    if error is not None:
        log.error('Background task failed.', task=task.get_name(), exc_info=error)
