"""A queue of tickets that is fair among tenants, weighted by their shares."""

from gentianmill.fair_queue import STALE_ENTRIES, FairQueue
from gentianmill.ticket import Ticket

__all__ = ('STALE_ENTRIES', 'TenantQueue')


class TenantQueue:
    """Order tickets by virtual finish time.

    Each ticket costs its tenant 1 / share of virtual time, so a tenant with
    twice the share gets twice the starts while both have tickets waiting.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self._queue: FairQueue[Ticket] = FairQueue()

    def __len__(self) -> int:
        """Return the number of tickets."""
        return len(self._queue)

    @property
    def oldest(self) -> Ticket | None:
        """Return the ticket that has waited longest."""
        return self._queue.oldest

    def tag_for(self, ticket: Ticket) -> float:
        """Return the virtual finish time that the ticket would get now."""
        return self._queue.tag_for(ticket.tenant, 1 / ticket.share)

    def push(self, ticket: Ticket) -> None:
        """Add a ticket."""
        self._queue.push(ticket, ticket.tenant, 1 / ticket.share)

    def peek(self) -> Ticket | None:
        """Return the ticket that starts next, or None if the queue is empty."""
        return self._queue.peek()

    def last(self) -> Ticket | None:
        """Return the newest ticket of the tenant with the largest backlog per share."""
        return self._queue.last()

    def last_tag(self) -> float:
        """Return the largest virtual finish time; 0 if the queue is empty."""
        return self._queue.last_tag()

    def start(self, ticket: Ticket) -> None:
        """Remove a ticket that starts and charge its tenant."""
        self._queue.start(ticket)

    def remove(self, ticket: Ticket) -> None:
        """Remove a ticket that does not start; its tenant is not charged."""
        self._queue.remove(ticket)
