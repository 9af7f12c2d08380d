"""Asks an upstream that has fallen silent whether it is still there."""

import asyncio

from gentianmill_mesh.upstream_pool import UpstreamPool
from gentianmill_node.background import spawn
from gentianmill_node.logs import component

__all__ = ('SilenceCheck',)

FAILURES = 2
"""Questions without an answer after which an upstream is gone: a full queue of new
connections drops the first one."""

PAUSE_S = 1.0
"""Pause after an answer; each question costs the upstream a connection."""

log = component('guard')


class SilenceCheck:
    """Give up running requests only if their upstream does not answer a question.

    Reports may be seconds late while the upstream works. Requests that run are lost
    only if it refuses a connection or does not accept one in time.
    """

    def __init__(self, pool: UpstreamPool) -> None:
        """Create a check.

        Args:
            pool: Connections to the upstream.
        """
        self._pool = pool
        self._failures = 0
        self._question: asyncio.Task[None] | None = None

    @property
    def is_gone(self) -> bool:
        """Return whether the upstream did not answer the last questions."""
        return self._failures >= FAILURES

    def ask(self) -> None:
        """Ask, unless a question is open; call it while the upstream is silent."""
        if self._question is None or self._question.done():
            self._question = spawn(self._ask(), 'ask upstream')

    def reset(self) -> None:
        """Record that the upstream is not silent."""
        self._failures = 0

    async def _ask(self) -> None:
        if await self._pool.is_reachable():
            self._failures = 0
            log.info('Silent upstream accepts connections.')
            await asyncio.sleep(PAUSE_S)
        else:
            self._failures += 1
            log.info('Silent upstream not reachable.', failures=self._failures)
