"""The slots of an upstream and how many of them each lane may use."""

from gentianmill.concurrency_limit import ConcurrencyLimit
from gentianmill.sheet_models import LimitsModel
from gentianmill.stragglers import Stragglers
from gentianmill.ticket import Lane, Ticket

BULK_GUARANTEED_SHARE = 0.05
"""Fraction of the slots that bulk work gets even while other work waits."""

SHORT_RESERVE = 0.1
"""Smallest fraction of the slots reserved for short work."""

RESERVE_FACTOR = 1.5
"""Slots reserved for a lane, relative to its recent peak use."""

LENT_SHARE = 0.35
"""Most slots lent to make up for stragglers, relative to the limit."""

PEAK_WINDOW_MS = 10000
"""Time after which a new window of peak use begins."""


class _RecentPeak:
    """Peak concurrency of a lane over the last 10 to 20 s."""

    def __init__(self) -> None:
        self._window_start_ms: float = 0
        self._current = 0
        self._previous = 0

    @property
    def reserve(self) -> int:
        return int(RESERVE_FACTOR * max(self._current, self._previous))

    def record(self, running: int, now_ms: float) -> None:
        if now_ms - self._window_start_ms > PEAK_WINDOW_MS:
            self._previous = self._current
            self._current = 0
            self._window_start_ms = now_ms
        self._current = max(self._current, running)


class Slots:
    """Count running calls and decide which lanes may start another.

    Long and bulk work may use their configured shares of the slots, and also
    the slots that other work has not used recently, so that a service with only
    such work does not idle. For each straggler, one call more than the limit
    may run, so that short work does not wait for slots occupied by stragglers.
    """

    def __init__(self, limits: LimitsModel, limit: ConcurrencyLimit) -> None:
        """Create slots that are all free.

        Args:
            limits: Shares of the slots that long and bulk work may use.
            limit: The number of slots.
        """
        self._limits = limits
        self._limit = limit
        self._running = {lane: 0 for lane in Lane}
        self._unprotected = 0
        self._total = 0
        self._stragglers = Stragglers()
        self._lent = 0
        self._peaks = {lane: _RecentPeak() for lane in Lane}

    @property
    def in_flight(self) -> int:
        """Return the number of running calls."""
        return self._total

    @property
    def unprotected(self) -> int:
        """Return the number of running calls that are not protected."""
        return self._unprotected

    def lend(self, now_ms: float) -> None:
        """Lend one slot per straggler, up to a fraction of the limit."""
        max_lent = int(LENT_SHARE * self._limit.limit)
        self._lent = min(self._stragglers.count(now_ms), max_lent)

    def occupy(self, ticket: Ticket, now_ms: float, expected_ms: float) -> None:
        """Record a call that starts.

        Args:
            ticket: The call.
            now_ms: Current time in ms.
            expected_ms: Expected latency of its operation in ms; 0 if unknown.
        """
        self._stragglers.started(ticket, expected_ms)
        self._total += 1
        self._running[ticket.lane] += 1
        self._unprotected += not ticket.protected
        self._peaks[ticket.lane].record(self._running[ticket.lane], now_ms)

    def free(self, ticket: Ticket) -> None:
        """Record a call that ended."""
        self._stragglers.ended(ticket)
        self._total -= 1
        self._running[ticket.lane] -= 1
        self._unprotected -= not ticket.protected

    def has_free(self) -> bool:
        """Return whether any slot is free."""
        return self._total < self._limit.limit + self._lent

    def allows(self, lane: Lane) -> bool:
        """Return whether the lane may start another call."""
        if not self.has_free():
            return False
        if lane is Lane.short:
            return True
        long_running = self._running[Lane.long]
        bulk_running = self._running[Lane.bulk]
        slow_slots = self._slow_slots()
        if long_running + bulk_running >= slow_slots:
            return False
        if lane is Lane.long:
            return True
        unused_by_long = slow_slots - self._peaks[Lane.long].reserve
        return bulk_running < max(
            self._slots_for(self._limits.bulk_share), unused_by_long
        )

    def is_bulk_below_guarantee(self) -> bool:
        """Return whether bulk work is below its guarantee and a slot is free."""
        guaranteed = self._slots_for(BULK_GUARANTEED_SHARE)
        return self.has_free() and self._running[Lane.bulk] < guaranteed

    def _slow_slots(self) -> int:
        """Return the slots that long and bulk work may use together."""
        reserve = max(self._slots_for(SHORT_RESERVE), self._peaks[Lane.short].reserve)
        return max(
            self._slots_for(self._limits.long_share), self._limit.limit - reserve
        )

    def _slots_for(self, share: float) -> int:
        return max(1, int(share * self._limit.limit))
