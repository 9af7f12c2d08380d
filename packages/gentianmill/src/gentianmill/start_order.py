"""Which waiting call gets the next free slot."""

from collections.abc import Iterator

from gentianmill.backlog import Backlog
from gentianmill.delay_control import DelayControl
from gentianmill.slots import Slots
from gentianmill.ticket import Lane, Ticket, order_of


class StartOrder:
    """Order by class, then by tenant, within the slots that each lane may use."""

    def __init__(
        self, backlog: Backlog, slots: Slots, delay_control: DelayControl
    ) -> None:
        """Create the start order of a backlog.

        Args:
            backlog: Calls that wait.
            slots: Calls that run.
            delay_control: Determines whether protected calls wait too long.
        """
        self._backlog = backlog
        self._slots = slots
        self._delay_control = delay_control

    def next(self, now_ms: float) -> Ticket | None:
        """Return the call that starts now, or None if none may start."""
        if not (len(self._backlog) and self._slots.has_free()):
            return None
        bulk = self._backlog.lane(Lane.bulk).first()
        if bulk is not None and self._slots.is_bulk_below_guarantee():
            # Protected work that waits too long goes before the bulk guarantee.
            if bulk.protected or not self._delay_control.is_protected_delayed(now_ms):
                return bulk
        return min(self._candidates(), key=order_of, default=None)

    def _candidates(self) -> Iterator[Ticket]:
        for lane in Lane:
            first = self._backlog.lane(lane).first()
            if first is not None and self._slots.allows(lane):
                yield first
