"""Running calls that take far longer than their operation usually takes."""

import heapq
import itertools

from gentianmill.ticket import Ticket, TicketState

STRAGGLER_RATIO = 3.0
"""Multiple of the expected latency beyond which a running call is a straggler.

If latencies vary log-normally with sigma 0.5, 14 normal calls in 1,000 count as
stragglers.
"""


class Stragglers:
    """Find the running calls that have become stragglers."""

    def __init__(self) -> None:
        """Start without calls."""
        self._due: list[tuple[float, int, Ticket]] = []
        self._serial = itertools.count()
        self._count = 0

    def started(self, ticket: Ticket, expected_ms: float) -> None:
        """Watch a call that starts now.

        Args:
            ticket: The call; its start time is set.
            expected_ms: Expected latency of its operation at present, in ms; 0 if it is
                unknown, in which case the call is not watched.
        """
        if expected_ms:
            due_ms = ticket.started_ms + STRAGGLER_RATIO * expected_ms
            heapq.heappush(self._due, (due_ms, next(self._serial), ticket))

    def ended(self, ticket: Ticket) -> None:
        """Stop watching a call that ended."""
        self._count -= ticket.is_straggler
        ticket.is_straggler = False

    def count(self, now_ms: float) -> int:
        """Return the number of running stragglers."""
        while self._due and self._due[0][0] <= now_ms:
            ticket = heapq.heappop(self._due)[2]
            if ticket.state is TicketState.running:
                ticket.is_straggler = True
                self._count += 1
        return self._count
