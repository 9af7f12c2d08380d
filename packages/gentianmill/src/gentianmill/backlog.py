"""The waiting tickets of a guard, by lane and class."""

import heapq
import itertools
from collections.abc import Iterator

from gentianmill.tenant_queue import STALE_ENTRIES, TenantQueue
from gentianmill.ticket import Lane, Ticket, TicketState, order_of


class LaneBacklog:
    """Tickets of one lane, one fair queue per class."""

    def __init__(self) -> None:
        """Create an empty lane."""
        self._queues: dict[int, TenantQueue] = {}
        self._count = 0
        self._busy_since_ms: float = 0

    def __len__(self) -> int:
        """Return the number of tickets."""
        return self._count

    def queues(self) -> list[TenantQueue]:
        """Return the queues that hold tickets, most important class first."""
        return [queue for queue in self._queues.values() if queue]

    def busy_ms(self, now_ms: float) -> float:
        """Return how long the lane has been non-empty, in ms."""
        return now_ms - self._busy_since_ms if self._count else 0

    def oldest_ms(self, now_ms: float) -> float:
        """Return the age of the ticket that has waited longest, in ms."""
        if not self._count:
            return 0
        return max(now_ms - queue.oldest.enqueued_ms for queue in self.queues())

    def first_queue(self) -> TenantQueue | None:
        """Return the queue of the most important class with waiting tickets."""
        return next(filter(None, self._queues.values()), None)

    def first(self) -> Ticket | None:
        """Return the ticket that starts next."""
        queue = self.first_queue()
        return None if queue is None else queue.peek()

    def last(self) -> Ticket | None:
        """Return the ticket that is shed first."""
        return self.queues()[-1].last() if self._count else None

    def queue_of(self, ticket: Ticket) -> TenantQueue:
        """Return the queue of a ticket's class."""
        rank = ticket.work_class.rank
        queue = self._queues.get(rank)
        if queue is None:
            queue = TenantQueue()
            self._queues[rank] = queue
            self._queues = dict(sorted(self._queues.items()))
        return queue

    def push(self, ticket: Ticket) -> None:
        """Add a ticket."""
        if not self._count:
            self._busy_since_ms = ticket.enqueued_ms
        self._count += 1
        self.queue_of(ticket).push(ticket)

    def start(self, ticket: Ticket) -> None:
        """Remove a ticket that starts."""
        self._count -= 1
        self.queue_of(ticket).start(ticket)

    def remove(self, ticket: Ticket) -> None:
        """Remove a ticket that does not start."""
        self._count -= 1
        self.queue_of(ticket).remove(ticket)


class Backlog:
    """All waiting tickets, with their deadlines."""

    def __init__(self) -> None:
        """Create an empty backlog."""
        self._lanes = {lane: LaneBacklog() for lane in Lane}
        self._count = 0
        self._deadlines: list[tuple[float, int, Ticket]] = []
        self._serial = itertools.count()

    def __len__(self) -> int:
        """Return the number of tickets."""
        return self._count

    def lane(self, lane: Lane) -> LaneBacklog:
        """Return one lane."""
        return self._lanes[lane]

    @property
    def earliest_deadline_ms(self) -> float | None:
        """Return the earliest deadline, or None if nothing waits."""
        heap = self._deadlines
        while heap and heap[0][2].state is not TicketState.queued:
            heapq.heappop(heap)
        return heap[0][0] if heap else None

    def push(self, ticket: Ticket) -> None:
        """Add a ticket."""
        ticket.state = TicketState.queued
        self._count += 1
        self._lanes[ticket.lane].push(ticket)
        entry = (ticket.deadline_ms, next(self._serial), ticket)
        heapq.heappush(self._deadlines, entry)
        if len(self._deadlines) > 2 * len(self) + STALE_ENTRIES:
            self._compact()

    def start(self, ticket: Ticket) -> None:
        """Remove a ticket that starts."""
        self._count -= 1
        self._lanes[ticket.lane].start(ticket)
        ticket.state = TicketState.running

    def remove(self, ticket: Ticket) -> None:
        """Remove a ticket that does not start."""
        self._count -= 1
        self._lanes[ticket.lane].remove(ticket)
        ticket.state = TicketState.done

    def expired(self, now_ms: float) -> Iterator[Ticket]:
        """Yield the tickets whose deadline has passed.

        The caller must remove each one before it asks for the next.
        """
        deadline_ms = self.earliest_deadline_ms
        while deadline_ms is not None and deadline_ms <= now_ms:
            yield self._deadlines[0][2]
            deadline_ms = self.earliest_deadline_ms

    def least_important(self, lanes: tuple[Lane, ...]) -> Ticket | None:
        """Return the ticket of these lanes that is shed first."""
        found = [self._lanes[lane].last() for lane in lanes]
        return max(filter(None, found), key=order_of, default=None)

    def _compact(self) -> None:
        self._deadlines = [
            entry for entry in self._deadlines if entry[2].state is TicketState.queued
        ]
        heapq.heapify(self._deadlines)
