"""The slots of an upstream and the parts that each lane may hold."""

from gentianmill.limit import ConcurrencyLimit
from gentianmill.sheet_models import LimitsModel
from gentianmill.ticket import Lane, Ticket

BULK_GUARANTEE = 0.05
"""Part of the slots that bulk work gets even while other work waits."""


class Slots:
    """Count running calls and say which lanes may start another."""

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

    @property
    def in_flight(self) -> int:
        """Return the number of running calls."""
        return self._total

    @property
    def unprotected(self) -> int:
        """Return the number of running calls that are not protected."""
        return self._unprotected

    def take(self, ticket: Ticket) -> None:
        """Count a call that starts."""
        self._total += 1
        self._running[ticket.lane] += 1
        self._unprotected += not ticket.protected

    def free(self, ticket: Ticket) -> None:
        """Count a call that ended."""
        self._total -= 1
        self._running[ticket.lane] -= 1
        self._unprotected -= not ticket.protected

    def has_free(self) -> bool:
        """Return whether any slot is free."""
        return self._total < self._limit.limit

    def allows(self, lane: Lane) -> bool:
        """Return whether the lane may start another call."""
        if not self.has_free():
            return False
        if lane is Lane.short:
            return True
        slow = self._running[Lane.long] + self._running[Lane.bulk]
        if slow >= self._part(self._limits.long_share):
            return False
        is_long = lane is Lane.long
        return is_long or self._running[lane] < self._part(self._limits.bulk_share)

    def guarantees_bulk(self) -> bool:
        """Return whether bulk work holds less than its guaranteed part."""
        guaranteed = self._part(BULK_GUARANTEE)
        return self.has_free() and self._running[Lane.bulk] < guaranteed

    def _part(self, share: float) -> int:
        return max(1, int(share * self._limit.limit))
