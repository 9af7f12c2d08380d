"""Detects crashes of the upstream and refuses the requests that cause them."""

import asyncio
from collections.abc import Callable

from gentianmill.clock import Clock
from gentianmill.crash_strikes import CrashStrikes
from gentianmill.digest import call_digest
from gentianmill_mesh.guard_call import GuardCall
from gentianmill_mesh.upstream_pool import UpstreamPool
from gentianmill_node.background import spawn
from gentianmill_node.logs import component

EXIT_GRACE_S = 0.05
"""Delay before the check; an exiting process may close a connection some ms before
its listener."""

Announce = Callable[[list[bytes], bool], None]

log = component('guard')


class CrashWatch:
    """Distinguish crashes from lost connections, and share the requests lost in them."""

    def __init__(self, pool: UpstreamPool, clock: Clock) -> None:
        """Create a watch that does not notify other guards yet.

        Args:
            pool: Connections to the upstream.
            clock: Clock of the node.
        """
        self._pool = pool
        self._clock = clock
        self._strikes = CrashStrikes()
        self._check_task: asyncio.Task[None] | None = None
        self._announce: Announce | None = None

    def set_announcer(self, announce: Announce) -> None:
        """Set the function that notifies the other guards of the service.

        Args:
            announce: Called with digests and whether they are cleared.
        """
        self._announce = announce

    def refuses(self, call: GuardCall) -> bool:
        """Return whether a request is suspected to cause crashes."""
        if self._strikes.empty:
            return False
        return self._strikes.refuses(_digest(call), self._clock.now_ms())

    def record_loss(self, call: GuardCall) -> None:
        """Record a request whose connection broke, and check for a crash."""
        self._strikes.record_loss(_digest(call), self._clock.now_ms())
        if self._check_task is None or self._check_task.done():
            self._check_task = spawn(self._check_reachable(), 'check upstream')

    def record_crash(self) -> None:
        """Add a strike to each request that was lost just before a crash."""
        digests = self._strikes.record_crash(self._clock.now_ms())
        if not digests:
            return
        log.warning('Upstream crashed.', lost=len(digests))
        self._notify_guards(digests, cleared=False)

    def record_completion(self, call: GuardCall) -> None:
        """Record that a request got a response."""
        if self._strikes.empty:
            return
        digest = _digest(call)
        if self._strikes.record_completion(digest):
            self._notify_guards([digest], cleared=True)

    def apply_update(self, digests: list[bytes], cleared: bool) -> None:
        """Apply an update from another guard of the service.

        Args:
            digests: Requests that were lost in a crash.
            cleared: Whether they have got a response since.
        """
        if cleared:
            self._strikes.clear(digests)
        else:
            self._strikes.merge(digests, self._clock.now_ms())

    async def _check_reachable(self) -> None:
        await asyncio.sleep(EXIT_GRACE_S)
        if not await self._pool.is_reachable():
            self.record_crash()

    def _notify_guards(self, digests: list[bytes], *, cleared: bool) -> None:
        if self._announce is not None:
            self._announce(digests, cleared)


def _digest(call: GuardCall) -> bytes:
    request = call.request
    target = request.target.decode(errors='replace')
    return call_digest(call.caller_service, request.method, target, request.body)
