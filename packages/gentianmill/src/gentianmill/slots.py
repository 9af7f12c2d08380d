"""The slots of an upstream and the parts that each lane may hold."""

from gentianmill.limit import ConcurrencyLimit
from gentianmill.sheet_models import LimitsModel
from gentianmill.stragglers import Stragglers
from gentianmill.ticket import Lane, Ticket

BULK_GUARANTEE = 0.05
"""Part of the slots that bulk work gets even while other work waits."""


SHORT_RESERVE = 0.1
"""Smallest part of the slots that is kept free of long and bulk work."""

RESERVE_MARGIN = 1.5
"""Slots kept for a kind of work, relative to those it used lately."""

LENT_SHARE = 0.35
"""Largest number of slots lent for stragglers, relative to the limit."""

PEAK_MS = 10000
"""Time over which the slots used lately are counted."""


class _RecentPeak:
    """Most calls of a lane that ran at once within the last 10 to 20 s."""

    def __init__(self) -> None:
        self._begin_ms: float = 0
        self._current = 0
        self._before = 0

    @property
    def reserve(self) -> int:
        return int(RESERVE_MARGIN * max(self._current, self._before))

    def note(self, running: int, now_ms: float) -> None:
        if now_ms - self._begin_ms > PEAK_MS:
            self._before = self._current
            self._current = 0
            self._begin_ms = now_ms
        self._current = max(self._current, running)


class Slots:
    """Count running calls and say which lanes may start another.

    Long and bulk work may hold their shares of the slots, and beyond these
    what other work has not used lately, so that a service with only such
    work is not left idle. For each straggler one more call may run than the
    limit says: short work does not wait for the slots that stragglers hold.
    """

    def __init__(self, limits: LimitsModel, limit: ConcurrencyLimit) -> None:
        """Create slots that are all free.

        Args:
            limits: Parts of the slots that long and bulk work may hold.
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
        """Lend a slot for each straggler, up to a part of the limit."""
        most = int(LENT_SHARE * self._limit.limit)
        self._lent = min(self._stragglers.count(now_ms), most)

    def take(self, ticket: Ticket, now_ms: float, usual_ms: float) -> None:
        """Count a call that starts.

        Args:
            ticket: The call.
            now_ms: Current time in ms.
            usual_ms: Usual latency of its operation in ms; 0 if unknown.
        """
        self._stragglers.started(ticket, usual_ms)
        self._total += 1
        self._running[ticket.lane] += 1
        self._unprotected += not ticket.protected
        self._peaks[ticket.lane].note(self._running[ticket.lane], now_ms)

    def free(self, ticket: Ticket) -> None:
        """Count a call that ended."""
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
        slow_part = self._slow_part()
        if long_running + bulk_running >= slow_part:
            return False
        if lane is Lane.long:
            return True
        unused_by_long = slow_part - self._peaks[Lane.long].reserve
        return bulk_running < max(self._part(self._limits.bulk_share), unused_by_long)

    def guarantees_bulk(self) -> bool:
        """Return whether bulk work holds less than its guaranteed part."""
        guaranteed = self._part(BULK_GUARANTEE)
        return self.has_free() and self._running[Lane.bulk] < guaranteed

    def _slow_part(self) -> int:
        """Return the slots that long and bulk work may hold together."""
        reserve = max(self._part(SHORT_RESERVE), self._peaks[Lane.short].reserve)
        return max(self._part(self._limits.long_share), self._limit.limit - reserve)

    def _part(self, share: float) -> int:
        return max(1, int(share * self._limit.limit))
