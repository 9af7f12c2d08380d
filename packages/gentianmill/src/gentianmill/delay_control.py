"""Shedding by queue delay, from the lowest class up."""

from collections.abc import Iterator

from gentianmill.backlog import Backlog
from gentianmill.operation_profile import OperationProfiles
from gentianmill.sheet_models import LimitsModel
from gentianmill.slots import Slots
from gentianmill.tenant_queue import TenantQueue
from gentianmill.ticket import Lane, Ticket

RELAXED_DELAY = 4
"""Multiple of the queue delay that a short burst may wait."""

PROTECTED_DELAY = 10
"""Multiple of the queue delay after which protected work may be shed."""

LONG_DELAY_RATIO = 2
"""Multiple of its typical latency that long work may wait."""


class DelayControl:
    """Pick the calls that have no prospect of a timely start.

    A lane that has not been empty for a while sheds calls that waited longer
    than the queue delay; in a short burst calls may wait longer. This is the
    rule of Maurer, "Fail at Scale", 2015, after Nichols and Jacobson,
    "Controlling Queue Delay", 2012. Bulk work is shed by its deadline only.
    """

    def __init__(
        self,
        limits: LimitsModel,
        backlog: Backlog,
        slots: Slots,
        profiles: OperationProfiles,
    ) -> None:
        """Create a control for a backlog.

        Args:
            limits: Limits of the sheet.
            backlog: Calls that wait.
            slots: Calls that run.
            profiles: Typical latencies of operations.
        """
        self._limits = limits
        self._backlog = backlog
        self._slots = slots
        self._profiles = profiles

    def victims(self, now_ms: float) -> Iterator[Ticket]:
        """Yield the calls to shed; each must be removed before the next is asked."""
        for lane in (Lane.short, Lane.long):
            if len(self._backlog.lane(lane)):
                yield from self._lane_victims(lane, now_ms)

    def protected_waits(self, now_ms: float) -> bool:
        """Return whether a protected short call waits longer than the queue delay."""
        first = self._backlog.lane(Lane.short).first_queue()
        if first is None or not first.oldest.protected:
            return False
        return now_ms - first.oldest.enqueued_ms > self._limits.queue_delay_ms

    def _lane_victims(self, lane: Lane, now_ms: float) -> Iterator[Ticket]:
        patience_ms = self._patience_ms(lane, now_ms)
        lower = self._backlog.lane(lane).queues()
        while lower:
            queue = lower.pop(0)
            since_ms = now_ms - patience_ms
            if queue.oldest.protected:
                since_ms = now_ms - PROTECTED_DELAY * patience_ms
            if queue.oldest.enqueued_ms < since_ms:
                yield from self._from_lowest_up(queue, lower, since_ms)
                return

    def _from_lowest_up(
        self, queue: TenantQueue, lower: list[TenantQueue], since_ms: float
    ) -> Iterator[Ticket]:
        if queue.oldest.protected:
            yield from self._unprotected()
            # Protected work is refused only once nothing else runs here.
            if self._slots.unprotected:
                return
        for lower_queue in reversed(lower):
            while lower_queue:
                yield lower_queue.last()
        while queue and queue.oldest.enqueued_ms < since_ms:
            yield queue.oldest

    def _unprotected(self) -> Iterator[Ticket]:
        victim = self._backlog.least_important(tuple(Lane))
        while victim is not None and not victim.protected:
            yield victim
            victim = self._backlog.least_important(tuple(Lane))

    def _patience_ms(self, lane: Lane, now_ms: float) -> float:
        delay_ms = self._limits.queue_delay_ms
        backlog = self._backlog.lane(lane)
        if lane is Lane.long:
            typical_ms = self._profiles.typical_ms(backlog.first().operation)
            delay_ms = max(delay_ms, LONG_DELAY_RATIO * typical_ms)
        is_standing = backlog.busy_ms(now_ms) > RELAXED_DELAY * delay_ms
        return delay_ms if is_standing else RELAXED_DELAY * delay_ms
