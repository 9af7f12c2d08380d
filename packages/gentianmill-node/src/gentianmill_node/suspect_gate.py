"""Delay crash suspects so that at most one runs on the upstream."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from gentianmill.clock import Clock
from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill.outcome import Outcome
from gentianmill.crash_suspects import Strike, SuspectVerdict

from gentianmill_node.logs import component
from gentianmill_node.policy import Policy

MS_PER_S = 1000

log = component('suspect')
STEP = 'suspect'


class SuspectGate:
    """Make suspects wait while another crash suspect runs."""

    def __init__(
        self,
        policy: Policy,
        clock: Clock,
        publish: Callable[[Sequence[Strike]], Awaitable[None]],
    ) -> None:
        """Create a gate.

        Args:
            policy: Decides which digests may run, and where.
            clock: Clock of the node.
            publish: Sends strikes to the other guards of the service, in order.
        """
        self._policy = policy
        self._suspects = policy.suspects
        self._clock = clock
        self._publish = publish
        self._changed = asyncio.Event()
        self._epoch = 0
        self._published: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._published.set_result(None)

    async def enter(self, digest: bytes, deadline_ms: float) -> None:
        """Wait until a call may run and register it as running.

        Args:
            digest: Content digest of the call.
            deadline_ms: Latest time at which the call may start.

        Raises:
            GentianmillError: With code ``crash_suspect`` or ``suspect_elsewhere`` if
                the call must not run on this upstream, ``deadline`` if it waited
                too long.
        """
        while not self.may_run(digest):
            await self._wait(deadline_ms)
        self._suspects.start(digest)

    def may_run(self, digest: bytes) -> bool:
        """Return whether a call may run now; False if it has to wait.

        Args:
            digest: Content digest of the call.

        Raises:
            GentianmillError: With code ``crash_suspect`` or ``suspect_elsewhere`` if
                the call must not run on this upstream at all.
        """
        verdict = self._suspects.check(digest, self._clock.now_ms())
        if verdict is SuspectVerdict.refuse:
            raise _crash_suspect_error()
        if verdict is SuspectVerdict.elsewhere:
            raise _suspect_elsewhere_error(self._policy.suspect_owner(digest))
        return verdict is SuspectVerdict.run

    @property
    def epoch(self) -> int:
        """Return the number of crashes seen so far."""
        return self._epoch

    async def leave(self, digest: bytes, completed: bool) -> None:
        """Report that a call ended; a crash is reported to ``crash`` first.

        Args:
            digest: Content digest of the call.
            completed: Whether the upstream gave a complete response, which clears
                the suspicion.
        """
        strike = self._suspects.finish(digest, self._clock.now_ms(), completed)
        self._wake()
        if strike:
            await self._publish((strike,))

    async def crash(self, epoch: int) -> None:
        """Report that the upstream crashed with all running calls.

        Args:
            epoch: The epoch in which the lost call started. Every call lost in a
                crash reports it; only the first report of an epoch counts, so
                that calls started after the crash are not blamed.
        """
        if epoch == self._epoch:
            self._epoch += 1
            strikes = self._suspects.crash(self._clock.now_ms())
            self._wake()
            convicted = [strike.digest.hex() for strike in strikes if strike.convicted]
            log.warning(
                'Upstream crashed.', calls=len(strikes), refused_content=convicted
            )
            self._published = asyncio.ensure_future(self._publish(strikes))
        # Every lost call waits for the strikes, since any of them may be the cause.
        await asyncio.shield(self._published)

    def merge(self, strike: Strike) -> None:
        """Apply a strike received from another guard."""
        self._suspects.merge(strike, self._clock.now_ms())
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _wait(self, deadline_ms: float) -> None:
        left_s = (deadline_ms - self._clock.now_ms()) / MS_PER_S
        try:
            await asyncio.wait_for(self._changed.wait(), max(left_s, 0))
        except asyncio.TimeoutError as error:
            raise GentianmillError(
                ErrorCode.deadline,
                STEP,
                '',
                'the deadline passed while another crash suspect ran',
                Outcome.expired,
            ) from error


def _crash_suspect_error() -> GentianmillError:
    message = 'this content crashed upstreams and is refused'
    return GentianmillError(ErrorCode.crash_suspect, STEP, '', message)


def _suspect_elsewhere_error(owner: str) -> GentianmillError:
    message = 'this content was running when an upstream crashed; only one node runs it'
    return GentianmillError(ErrorCode.suspect_elsewhere, STEP, owner, message)
