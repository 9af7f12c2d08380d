"""A queue that is fair among tenants, weighted by their shares."""

import heapq
import itertools
from collections import OrderedDict

from gentianmill.ticket import Ticket

STALE_ENTRIES = 64
"""Stale heap entries and idle tenants that may accumulate before a rebuild."""


class TenantQueue:
    """Order tickets by virtual finish time.

    Each ticket costs its tenant 1 / share of virtual time, so a tenant with
    twice the share gets twice the starts while both have tickets waiting.
    Source: Goyal, Vin and Cheng, "Start-time Fair Queueing", 1996.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self._tags: OrderedDict[Ticket, float] = OrderedDict()
        self._first: list[tuple[float, int, Ticket]] = []
        self._last: list[tuple[float, int, Ticket]] = []
        self._tenant_tags: dict[str, float] = {}
        self._virtual_time: float = 0
        self._serial = itertools.count()

    def __len__(self) -> int:
        """Return the number of tickets."""
        return len(self._tags)

    @property
    def oldest(self) -> Ticket | None:
        """Return the ticket that has waited longest."""
        return next(iter(self._tags), None)

    def tag_for(self, ticket: Ticket) -> float:
        """Return the virtual finish time that the ticket would get now."""
        start_time = max(self._virtual_time, self._tenant_tags.get(ticket.tenant, 0))
        return start_time + 1 / ticket.share

    def push(self, ticket: Ticket) -> None:
        """Add a ticket."""
        tag = self.tag_for(ticket)
        serial = next(self._serial)
        self._tenant_tags[ticket.tenant] = tag
        self._tags[ticket] = tag
        heapq.heappush(self._first, (tag, serial, ticket))
        heapq.heappush(self._last, (-tag, -serial, ticket))
        self._compact()

    def peek(self) -> Ticket | None:
        """Return the ticket that starts next, or None if the queue is empty."""
        return self._top(self._first)

    def last(self) -> Ticket | None:
        """Return the newest ticket of the tenant with the largest backlog per share."""
        return self._top(self._last)

    def last_tag(self) -> float:
        """Return the largest virtual finish time; 0 if the queue is empty."""
        ticket = self.last()
        return 0 if ticket is None else self._tags[ticket]

    def start(self, ticket: Ticket) -> None:
        """Remove a ticket that starts and charge its tenant."""
        self._virtual_time = max(self._virtual_time, self._tags.pop(ticket))

    def remove(self, ticket: Ticket) -> None:
        """Remove a ticket that does not start; its tenant is not charged."""
        self._tags.pop(ticket)
        tag = self._tenant_tags.get(ticket.tenant)
        if tag is not None:
            self._tenant_tags[ticket.tenant] = tag - 1 / ticket.share

    def _top(self, heap: list[tuple[float, int, Ticket]]) -> Ticket | None:
        while heap and heap[0][2] not in self._tags:
            heapq.heappop(heap)
        return heap[0][2] if heap else None

    def _compact(self) -> None:
        # Amortised constant: at least half of the entries are stale by then.
        max_entries = 2 * len(self._tags) + STALE_ENTRIES
        if len(self._first) > max_entries:
            self._first = self._without_stale(self._first)
        if len(self._last) > max_entries:
            self._last = self._without_stale(self._last)
        if len(self._tenant_tags) > max_entries:
            self._tenant_tags = {
                tenant: tag
                for tenant, tag in self._tenant_tags.items()
                if tag > self._virtual_time
            }

    def _without_stale(
        self, heap: list[tuple[float, int, Ticket]]
    ) -> list[tuple[float, int, Ticket]]:
        live = [entry for entry in heap if entry[2] in self._tags]
        heapq.heapify(live)
        return live
