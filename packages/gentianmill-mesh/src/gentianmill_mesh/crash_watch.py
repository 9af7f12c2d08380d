"""Detects crashes of the upstream and refuses the requests that cause them."""

import asyncio
import random
from collections.abc import Callable, Iterable

from gentianmill.clock import Clock
from gentianmill.crash_strikes import CrashStrikes, StrikeRecord
from gentianmill.digest import call_digest
from gentianmill.relay_messages import StrikeEntry
from gentianmill_mesh.guard_call import GuardCall
from gentianmill_mesh.http_message import HttpRequest
from gentianmill_mesh.upstream_pool import UpstreamPool
from gentianmill_node.background import spawn
from gentianmill_node.logs import component

EXIT_GRACE_S = 0.05
"""Delay before the check; an exiting process may close a connection some ms before
its listener."""

CRASH_BITS = 63
"""Size of the random number of a crash; a frame carries 64-bit integers."""

Announce = Callable[[list[StrikeRecord]], None]

log = component('guard')


class CrashWatch:
    """Distinguish crashes from lost connections, and share the requests lost in them."""

    def __init__(self, pool: UpstreamPool, clock: Clock) -> None:
        """Create a watch that does not tell other nodes yet.

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
        """Set the function that tells other nodes of requests lost in crashes."""
        self._announce = announce

    def refuses(self, caller_service: str, request: HttpRequest) -> bool:
        """Return whether a request is suspected to cause crashes.

        Args:
            caller_service: Service on the VM where the request began.
            request: The request.
        """
        if self._strikes.empty:
            return False
        digest = _digest(caller_service, request)
        now_ms = self._clock.now_ms()
        if not self._strikes.refuses(digest, now_ms):
            return False
        self._notify(self._strikes.refreshed(digest, now_ms))
        return True

    def record_loss(self, call: GuardCall) -> None:
        """Record a request whose connection broke, and check for a crash."""
        digest = _digest(call.caller_service, call.request)
        self._strikes.record_loss(digest, self._clock.now_ms())
        if self._check_task is None or self._check_task.done():
            self._check_task = spawn(self._check_reachable(), 'check upstream')

    def record_crash(self) -> None:
        """Add a strike to each request that was lost just before a crash."""
        lost = self._strikes.record_crash(_new_crash(), self._clock.now_ms())
        if lost:
            log.warning('Upstream crashed.', lost=len(lost))
            self._notify(lost)

    def record_completion(self, call: GuardCall) -> None:
        """Record that a request got a response."""
        if self._strikes.empty:
            return
        digest = _digest(call.caller_service, call.request)
        cleared = self._strikes.record_completion(digest, self._clock.now_ms())
        if cleared is not None:
            self._notify([cleared])

    def latest(self, count: int) -> list[StrikeRecord]:
        """Return the requests of whose crashes there was news last."""
        return self._strikes.latest(count)

    def merge(self, entries: Iterable[StrikeEntry]) -> list[StrikeRecord]:
        """Join what another node knows, and return what is news."""
        records = [
            StrikeRecord(
                entry.digest, frozenset(entry.crashes), frozenset(entry.cleared)
            )
            for entry in entries
        ]
        return self._strikes.merge(records, self._clock.now_ms())

    def merge_crash(self, digests: Iterable[bytes]) -> None:
        """Add a strike for a crash that its guard has not numbered."""
        crash = frozenset((_new_crash(),))
        records = [StrikeRecord(digest, crash) for digest in digests]
        self._strikes.merge(records, self._clock.now_ms())

    async def _check_reachable(self) -> None:
        await asyncio.sleep(EXIT_GRACE_S)
        if not await self._pool.is_reachable():
            self.record_crash()

    def _notify(self, records: list[StrikeRecord]) -> None:
        if self._announce is not None and records:
            self._announce(records)


def _new_crash() -> int:
    return random.getrandbits(CRASH_BITS)  # noqa: S311


def _digest(caller_service: str, request: HttpRequest) -> bytes:
    target = request.target.decode(errors='replace')
    return call_digest(caller_service, request.method, target, request.body)
