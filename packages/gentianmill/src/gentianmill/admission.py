"""The queue of a guard: which call starts next and which is refused."""

from gentianmill.backlog import Backlog
from gentianmill.delay_control import DelayControl
from gentianmill.concurrency_limit import ConcurrencyLimit
from gentianmill.operation_profile import OperationProfiles
from gentianmill.queue_capacity import QueueCapacity
from gentianmill.sheet_models import LimitsModel
from gentianmill.slots import Slots
from gentianmill.start_order import StartOrder
from gentianmill.ticket import Decision, Lane, Ticket, TicketState, Verdict

TICK_MS = 10
"""Longest time between two checks of a non-empty queue."""


class AdmissionQueue:
    """Order calls by class and tenant, and shed from the lowest class up.

    Every ticket that is offered gets exactly one decision, unless it is
    cancelled before.
    """

    def __init__(self, limits: LimitsModel, limit: ConcurrencyLimit) -> None:
        """Create an empty queue.

        Args:
            limits: Limits from the sheet.
            limit: Number of calls that may run at once.
        """
        self._limit = limit
        self._slots = Slots(limits, limit)
        self._backlog = Backlog()
        self._profiles = OperationProfiles()
        self._capacity = QueueCapacity(limits, self._backlog, self._slots)
        self._delay_control = DelayControl(
            limits, self._backlog, self._slots, self._profiles
        )
        self._order = StartOrder(self._backlog, self._slots, self._delay_control)
        self._queue_delay_ms: float = 0
        self._protected_refusals = 0
        self._decisions: list[Decision] = []

    @property
    def in_flight(self) -> int:
        """Return the number of running calls."""
        return self._slots.in_flight

    @property
    def queued(self) -> int:
        """Return the number of waiting calls."""
        return len(self._backlog)

    @property
    def queue_delay_ms(self) -> float:
        """Return how long the oldest waiting short call has waited, in ms."""
        return self._queue_delay_ms

    def drain_protected_refusals(self) -> int:
        """Return and reset the number of protected calls refused for overload."""
        count = self._protected_refusals
        self._protected_refusals = 0
        return count

    def offer(self, ticket: Ticket, now_ms: float) -> list[Decision]:
        """Add a call.

        Args:
            ticket: A new ticket.
            now_ms: Current time in milliseconds.

        Returns:
            Decisions on this and other tickets; none on this one if it is queued.

        Raises:
            ValueError: If the ticket was offered before.
        """
        if ticket.state is not TicketState.new:
            raise ValueError(f'ticket of {ticket.operation} was offered twice')
        ticket.enqueued_ms = now_ms
        ticket.lane = self._profiles.lane_of(ticket)
        self._slots.lend(now_ms)
        if ticket.deadline_ms <= now_ms:
            self._refuse(ticket, Verdict.deadline)
        elif not self.queued and self._slots.allows(ticket.lane):
            return [self._start_now(ticket, now_ms)]
        elif self._make_space(ticket):
            self._backlog.push(ticket)
        return self._advance(now_ms)

    def finish(self, ticket: Ticket, now_ms: float, ok: bool) -> list[Decision]:
        """End a running call.

        Args:
            ticket: A ticket that was started.
            now_ms: Current time in milliseconds.
            ok: Whether the call succeeded; otherwise its latency is ignored.

        Returns:
            Decisions on other tickets.
        """
        if ticket.state is TicketState.running:
            self._record_latency(ticket, now_ms, ok)
            self._slots.free(ticket)
            ticket.state = TicketState.done
        return self._advance(now_ms)

    def cancel(self, ticket: Ticket, now_ms: float) -> list[Decision]:
        """Drop a call whose caller no longer waits for it.

        Args:
            ticket: A waiting or running ticket; no decision is made on it.
            now_ms: Current time in milliseconds.

        Returns:
            Decisions on other tickets.
        """
        if ticket.state is TicketState.queued:
            self._backlog.remove(ticket)
        elif ticket.state is TicketState.running:
            self._slots.free(ticket)
        ticket.state = TicketState.done
        return self._advance(now_ms)

    def tick(self, now_ms: float) -> list[Decision]:
        """Apply deadlines and the bound on queue delay.

        Args:
            now_ms: Current time in milliseconds.

        Returns:
            Decisions on tickets.
        """
        return self._advance(now_ms)

    def next_tick_ms(self, now_ms: float) -> float | None:
        """Return when ``tick`` is due, or None while nothing waits."""
        deadline_ms = self._backlog.earliest_deadline_ms
        if deadline_ms is None:
            return None
        return max(now_ms, min(deadline_ms, now_ms + TICK_MS))

    def _record_latency(self, ticket: Ticket, now_ms: float, ok: bool) -> None:
        # The duration of a bulk call depends on how fast its caller reads.
        if ticket.lane is Lane.bulk:
            return
        latency_ms = max(now_ms - ticket.started_ms, 1e-3)
        if ok:
            latency_ms = self._profiles.add(ticket.operation, latency_ms)
        self._limit.on_done(now_ms, latency_ms, self.in_flight, ok)

    def _refuse(self, ticket: Ticket, verdict: Verdict) -> None:
        if ticket.state is TicketState.queued:
            self._backlog.remove(ticket)
        ticket.state = TicketState.done
        if ticket.protected and verdict is Verdict.overloaded:
            self._protected_refusals += 1
        self._decisions.append(Decision(ticket, verdict))

    def _make_space(self, ticket: Ticket) -> bool:
        if self._capacity.has_space(ticket) or self._capacity.may_overflow(ticket):
            return True
        victim = self._capacity.victim(ticket)
        self._refuse(victim or ticket, Verdict.overloaded)
        return victim is not None

    def _advance(self, now_ms: float) -> list[Decision]:
        if self.queued:
            self._slots.lend(now_ms)
            for expired in self._backlog.expired(now_ms):
                self._refuse(expired, Verdict.deadline)
            self._start(now_ms)
            for victim in self._delay_control.victims(now_ms):
                self._refuse(victim, Verdict.overloaded)
        self._queue_delay_ms = self._backlog.lane(Lane.short).oldest_ms(now_ms)
        decisions = self._decisions
        self._decisions = []
        return decisions

    def _start(self, now_ms: float) -> None:
        ticket = self._order.next(now_ms)
        while ticket is not None:
            self._backlog.start(ticket)
            self._decisions.append(self._start_now(ticket, now_ms))
            ticket = self._order.next(now_ms)

    def _start_now(self, ticket: Ticket, now_ms: float) -> Decision:
        ticket.state = TicketState.running
        ticket.started_ms = now_ms
        expected_ms = self._profiles.expected_ms(ticket.operation)
        self._slots.occupy(ticket, now_ms, expected_ms)
        return Decision(ticket, Verdict.start)
