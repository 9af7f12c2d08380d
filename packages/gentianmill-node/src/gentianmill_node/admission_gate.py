"""Asyncio wrapper of the admission queue: futures and timers for waiting calls."""

import asyncio
from collections.abc import Callable, Iterable

from gentianmill.admission import AdmissionQueue
from gentianmill.clock import Clock
from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill.concurrency_limit import ConcurrencyLimit
from gentianmill.outcome import Outcome
from gentianmill.ticket import Decision, Ticket, Verdict

from gentianmill_node.policy import Policy

MS_PER_S = 1000
STEP = 'admit'
RETRY_AFTER_MS = 1000


class AdmissionGate:
    """Make calls wait until the admission queue starts or refuses them."""

    def __init__(
        self,
        policy: Policy,
        limit: ConcurrencyLimit,
        clock: Clock,
        on_delay: Callable[[str, float], None],
    ) -> None:
        """Create a gate.

        Args:
            policy: Holds the limits of the sheet and the admission level.
            limit: Number of calls that may run at once.
            clock: Clock of the node.
            on_delay: Called with the class and the queue delay in ms of each call
                that starts.
        """
        self._queue = AdmissionQueue(policy.limits, limit)
        self._policy = policy
        self._limit = limit
        self._clock = clock
        self._on_delay = on_delay
        self._waiting: dict[int, asyncio.Future[None]] = {}
        self._timer: asyncio.TimerHandle | None = None

    @property
    def queue(self) -> AdmissionQueue:
        """Return the admission queue."""
        return self._queue

    @property
    def limit(self) -> int:
        """Return the number of calls that may run at once."""
        return self._limit.limit

    async def enter(self, ticket: Ticket) -> None:
        """Wait until the call may start.

        Args:
            ticket: The call's entry in the queue.

        Raises:
            GentianmillError: With code ``overloaded`` or ``deadline`` if it is
                refused; it did not run then.
        """
        decisions = self._queue.offer(ticket, self._clock.now_ms())
        verdict = self._apply(decisions, ticket)
        if verdict is None:
            await self._wait(ticket)
        elif verdict is not Verdict.start:
            raise _refusal(verdict)
        delay_ms = ticket.started_ms - ticket.enqueued_ms
        self._on_delay(ticket.work_class.name, delay_ms)

    async def _wait(self, ticket: Ticket) -> None:
        waiting = asyncio.get_running_loop().create_future()
        self._waiting[id(ticket)] = waiting
        try:
            await waiting
        except asyncio.CancelledError:
            self._abandon(ticket, waiting)
            raise
        finally:
            self._waiting.pop(id(ticket), None)

    def leave(self, ticket: Ticket, ok: bool) -> None:
        """Report the end of a call that was started.

        Args:
            ticket: The call's entry in the queue.
            ok: Whether the upstream returned a complete response.
        """
        self._apply(self._queue.finish(ticket, self._clock.now_ms(), ok))

    def tick(self) -> None:
        """Expire deadlines, shed by queue delay and adapt the admission level."""
        now_ms = self._clock.now_ms()
        self._apply(self._queue.tick(now_ms))

    def close(self) -> None:
        """Stop the timer."""
        if self._timer:
            self._timer.cancel()

    def _abandon(self, ticket: Ticket, waiting: asyncio.Future[None]) -> None:
        started = waiting.done() and not waiting.cancelled() and not waiting.exception()
        if started:
            self.leave(ticket, ok=False)
            return
        self._apply(self._queue.cancel(ticket, self._clock.now_ms()))

    def _apply(
        self, decisions: Iterable[Decision], own_ticket: Ticket | None = None
    ) -> Verdict | None:
        """Resolve waiting calls and return the verdict on ``own_ticket``, if any."""
        verdict: Verdict | None = None
        for decision in decisions:
            if decision.ticket is own_ticket:
                verdict = decision.verdict
            else:
                self._resolve_waiter(decision)
        now_ms = self._clock.now_ms()
        refused = self._queue.drain_protected_refusals() > 0
        self._policy.level.observe(now_ms, self._queue.queue_delay_ms, refused)
        self._set_timer(now_ms)
        return verdict

    def _resolve_waiter(self, decision: Decision) -> None:
        waiting = self._waiting.pop(id(decision.ticket), None)
        if waiting is None or waiting.done():
            return
        if decision.verdict is Verdict.start:
            waiting.set_result(None)
            return
        waiting.set_exception(_refusal(decision.verdict))

    def _set_timer(self, now_ms: float) -> None:
        if self._timer:
            self._timer.cancel()
            self._timer = None
        next_ms = self._queue.next_tick_ms(now_ms)
        if next_ms is None:
            return
        delay_s = max(next_ms - now_ms, 0) / MS_PER_S
        self._timer = asyncio.get_running_loop().call_later(delay_s, self.tick)


def _refusal(verdict: Verdict) -> GentianmillError:
    if verdict is Verdict.deadline:
        return GentianmillError(
            ErrorCode.deadline,
            STEP,
            '',
            'the deadline passed before the call could start',
            Outcome.expired,
        )
    return GentianmillError(
        ErrorCode.overloaded,
        STEP,
        '',
        'the upstream has more work than it can finish in time',
        retry_after_ms=RETRY_AFTER_MS,
    )
