"""Capacity of a guard's queue: which calls may enter and which are evicted."""

from gentianmill.backlog import Backlog
from gentianmill.sheet_models import LimitsModel
from gentianmill.slots import Slots
from gentianmill.ticket import Lane, Ticket

PROTECTED_OVERFLOW_FACTOR = 4
"""Multiple of the queue length for protected work while other work runs.

A running call keeps its slot until it ends, and protected work must not be
refused while other work runs; the multiple bounds the memory.
"""

SHARED_LANES = (Lane.short, Lane.long)
BULK_LANES = (Lane.bulk,)


class QueueCapacity:
    """Bound the number of waiting calls.

    Short and long calls share the queue length. Bulk calls have their own
    capacity, a fraction of that length, so that a surge of short calls does
    not evict them.
    """

    def __init__(self, limits: LimitsModel, backlog: Backlog, slots: Slots) -> None:
        """Create the bound for a backlog.

        Args:
            limits: Limits from the sheet.
            backlog: Calls that wait.
            slots: Calls that run.
        """
        self._limits = limits
        self._backlog = backlog
        self._slots = slots

    def has_space(self, ticket: Ticket) -> bool:
        """Return whether the call may enter without evicting another one."""
        return self._count(ticket) < self._max_length(ticket)

    def may_overflow(self, ticket: Ticket) -> bool:
        """Return whether the call may enter a queue full of protected calls."""
        if not (ticket.protected and self._slots.unprotected):
            return False
        if self._unprotected_victim() is not None:
            return False
        return self._count(ticket) < PROTECTED_OVERFLOW_FACTOR * self._max_length(
            ticket
        )

    def victim(self, ticket: Ticket) -> Ticket | None:
        """Return the call to evict from a full queue in favour of this one, if any.

        Args:
            ticket: A call that is not in the queue yet.

        Returns:
            A less important call; otherwise the last call of a tenant of the
            same class whose backlog is larger relative to its share; otherwise
            None.
        """
        victim = self._unprotected_victim() if ticket.protected else None
        if victim is not None:
            return victim
        victim = self._backlog.least_important(self._lanes(ticket))
        if victim is not None and victim.order > ticket.order:
            return victim
        queue = self._backlog.lane(ticket.lane).queue_of(ticket)
        if queue and queue.last_tag() > queue.tag_for(ticket):
            return queue.last()
        return None

    def _unprotected_victim(self) -> Ticket | None:
        victim = self._backlog.least_important(tuple(Lane))
        return None if victim is None or victim.protected else victim

    def _lanes(self, ticket: Ticket) -> tuple[Lane, ...]:
        return BULK_LANES if ticket.lane is Lane.bulk else SHARED_LANES

    def _count(self, ticket: Ticket) -> int:
        lanes = map(self._backlog.lane, self._lanes(ticket))
        return sum(map(len, lanes))

    def _max_length(self, ticket: Ticket) -> int:
        length = self._limits.queue_length
        if ticket.lane is Lane.bulk:
            return max(1, int(length * self._limits.bulk_share))
        return length
