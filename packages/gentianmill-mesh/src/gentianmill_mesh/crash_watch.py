"""Notices crashes of the upstream and refuses requests that cause them."""

import asyncio
from collections.abc import Callable

from gentianmill.clock import Clock
from gentianmill.crash_strikes import CrashStrikes
from gentianmill.digest import call_digest
from gentianmill_mesh.guard_call import GuardCall
from gentianmill_mesh.upstream_pool import UpstreamPool
from gentianmill_node.logs import component

EXIT_GRACE_S = 0.05
"""An exiting process may close a connection some ms before its listener."""

Announce = Callable[[list[bytes], bool], None]

log = component('guard')


class CrashWatch:
    """Tell lost connections from crashes, and share what was lost in them."""

    def __init__(self, pool: UpstreamPool, clock: Clock) -> None:
        """Create a watch that tells nobody.

        Args:
            pool: Connections to the upstream.
            clock: Clock of the node.
        """
        self._pool = pool
        self._clock = clock
        self._strikes = CrashStrikes()
        self._check: asyncio.Task[None] | None = None
        self._announce: Announce | None = None

    def announce_by(self, announce: Announce) -> None:
        """Set what tells the other guards of the service.

        Args:
            announce: Takes digests and whether they are cleared.
        """
        self._announce = announce

    def refuses(self, call: GuardCall) -> bool:
        """Return whether a request is taken for the cause of crashes."""
        if self._strikes.empty:
            return False
        return self._strikes.refuses(_digest(call), self._clock.now_ms())

    def lost(self, call: GuardCall) -> None:
        """Record a request whose connection broke, and look for a crash."""
        self._strikes.lost(_digest(call), self._clock.now_ms())
        if self._check is None or self._check.done():
            self._check = asyncio.ensure_future(self._look())

    def crashed(self) -> None:
        """Count the requests that were lost just before a crash."""
        digests = self._strikes.crashed(self._clock.now_ms())
        if not digests:
            return
        log.warning('Upstream crashed.', lost=len(digests))
        self._tell(digests, cleared=False)

    def completed(self, call: GuardCall) -> None:
        """Record that a request was answered."""
        if self._strikes.empty:
            return
        digest = _digest(call)
        if self._strikes.completed(digest):
            self._tell([digest], cleared=True)

    def take_news(self, digests: list[bytes], cleared: bool) -> None:
        """Take over what another guard of the service told.

        Args:
            digests: Requests that were lost in a crash.
            cleared: Whether they were answered since.
        """
        if cleared:
            self._strikes.clear(digests)
        else:
            self._strikes.merge(digests, self._clock.now_ms())

    async def _look(self) -> None:
        await asyncio.sleep(EXIT_GRACE_S)
        if not await self._pool.is_reachable():
            self.crashed()

    def _tell(self, digests: list[bytes], *, cleared: bool) -> None:
        if self._announce is not None:
            self._announce(digests, cleared)


def _digest(call: GuardCall) -> bytes:
    request = call.request
    target = request.target.decode(errors='replace')
    return call_digest(call.caller_service, request.method, target, request.body)
