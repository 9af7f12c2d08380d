"""Room in a guard's queue: who may enter it and who must leave for that."""

from gentianmill.backlog import Backlog
from gentianmill.sheet_models import LimitsModel
from gentianmill.slots import Slots
from gentianmill.ticket import Lane, Ticket

PROTECTED_OVERFLOW = 4
"""Multiple of the queue length for protected work while other work runs.

Running work cannot be taken back, and protected work must not be refused
while other work runs; the multiple bounds the memory.
"""

SHARED_LANES = (Lane.short, Lane.long)
BULK_LANES = (Lane.bulk,)


class QueueRoom:
    """Bound the queue.

    Short and long calls share the queue length; bulk calls have a part of it
    on top, so that a surge of short calls does not push them out.
    """

    def __init__(self, limits: LimitsModel, backlog: Backlog, slots: Slots) -> None:
        """Create the bound of a backlog.

        Args:
            limits: Limits of the sheet.
            backlog: Calls that wait.
            slots: Calls that run.
        """
        self._limits = limits
        self._backlog = backlog
        self._slots = slots

    def has_room(self, ticket: Ticket) -> bool:
        """Return whether the call may enter without another one leaving."""
        return self._count(ticket) < self._length(ticket)

    def may_overflow(self, ticket: Ticket) -> bool:
        """Return whether the call may enter a queue full of protected calls."""
        if not (ticket.protected and self._slots.unprotected):
            return False
        if self._unprotected() is not None:
            return False
        return self._count(ticket) < PROTECTED_OVERFLOW * self._length(ticket)

    def victim(self, ticket: Ticket) -> Ticket | None:
        """Return the call that must leave a full queue for this one, if any.

        Args:
            ticket: A call that has not entered.

        Returns:
            A less important call; else the last one of a tenant of the same
            class that has more calls waiting for its share; else None.
        """
        victim = self._unprotected() if ticket.protected else None
        if victim is not None:
            return victim
        victim = self._backlog.least_important(self._lanes(ticket))
        if victim is not None and victim.order > ticket.order:
            return victim
        queue = self._backlog.lane(ticket.lane).queue_of(ticket)
        if queue and queue.last_tag() > queue.tag_for(ticket):
            return queue.last()
        return None

    def _unprotected(self) -> Ticket | None:
        victim = self._backlog.least_important(tuple(Lane))
        return None if victim is None or victim.protected else victim

    def _lanes(self, ticket: Ticket) -> tuple[Lane, ...]:
        return BULK_LANES if ticket.lane is Lane.bulk else SHARED_LANES

    def _count(self, ticket: Ticket) -> int:
        lanes = map(self._backlog.lane, self._lanes(ticket))
        return sum(map(len, lanes))

    def _length(self, ticket: Ticket) -> int:
        length = self._limits.queue_length
        if ticket.lane is Lane.bulk:
            return max(1, int(length * self._limits.bulk_share))
        return length
