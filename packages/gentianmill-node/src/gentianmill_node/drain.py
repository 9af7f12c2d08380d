"""Graceful shutdown that lets running calls finish, up to a time limit."""

import asyncio
from collections.abc import Awaitable, Callable

from gentianmill.settings_models import DrainModel

from gentianmill_node.logs import component

MS_PER_S = 1000
POLL_INTERVAL_S = 0.05

IDLE_CALLER_WAIT_S = 1.0
"""Time that a connected caller has to send one more request; its connection is
closed after the response. Closing it earlier would interrupt a request that is
already in transit."""

log = component('drain')


async def wait_until_idle(active: Callable[[], int], limit_s: float) -> bool:
    """Wait until nothing is active.

    Args:
        active: Returns the number of active calls.
        limit_s: Maximum wait in seconds.

    Returns:
        Whether nothing was active when the wait ended.
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + limit_s
    while active() and loop.time() < end:
        await asyncio.sleep(POLL_INTERVAL_S)
    return not active()


async def drain(
    settings: DrainModel,
    active: Callable[[], int],
    connections: Callable[[], int],
    stop_accepting: Callable[[], Awaitable[None]],
) -> None:
    """Wait for the notice period, then until running calls have ended.

    During the notice period the other nodes learn of the drain through gossip,
    while this node still serves its callers from other upstreams. New connections
    are refused afterwards, as a steady stream of callers would otherwise delay the
    end of the drain up to its limit.

    Args:
        settings: Notice period and maximum wait for running calls, in ms.
        active: Returns the number of active calls.
        connections: Returns the number of open caller connections.
        stop_accepting: Stops accepting new caller connections.
    """
    await asyncio.sleep(settings.notice_ms / MS_PER_S)
    await stop_accepting()
    await wait_until_idle(connections, IDLE_CALLER_WAIT_S)
    limit_s = settings.limit_ms / MS_PER_S
    if await wait_until_idle(active, limit_s):
        log.info('All calls have ended.')
        return
    log.warning('Calls are still running after the time limit.', count=active())
