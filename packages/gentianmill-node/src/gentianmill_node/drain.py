"""Graceful shutdown: no running call is interrupted."""

import asyncio
from collections.abc import Awaitable, Callable

from gentianmill.settings_models import DrainModel

from gentianmill_node.logs import component

MS_PER_S = 1000
POLL_S = 0.05

IDLE_CALLER_S = 1.0
"""Time for a caller that is connected to send a request; its connection is closed
after the answer. Closing it before would cut a request that is on its way."""

log = component('drain')


async def wait_until_idle(active: Callable[[], int], limit_s: float) -> bool:
    """Wait until nothing is active.

    Args:
        active: Returns the number of active calls.
        limit_s: Longest wait in seconds.

    Returns:
        Whether nothing was active in the end.
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + limit_s
    while active() and loop.time() < end:
        await asyncio.sleep(POLL_S)
    return not active()


async def drain(
    settings: DrainModel,
    active: Callable[[], int],
    connections: Callable[[], int],
    stop_accepting: Callable[[], Awaitable[None]],
) -> None:
    """Wait for the notice period, then until running calls have ended.

    The notice gives the other nodes time to learn of the drain while this node
    still serves its callers from other upstreams. Without new connections after
    it, a steady stream of callers cannot hold the drain up to its limit.

    Args:
        settings: Notice and longest wait.
        active: Returns the number of active calls.
        connections: Returns the number of callers that are connected.
        stop_accepting: Takes no new connection of callers any more.
    """
    await asyncio.sleep(settings.notice_ms / MS_PER_S)
    await stop_accepting()
    await wait_until_idle(connections, IDLE_CALLER_S)
    limit_s = settings.limit_ms / MS_PER_S
    if await wait_until_idle(active, limit_s):
        log.info('No call is running.')
        return
    log.warning('Calls are still running after the limit.', count=active())
