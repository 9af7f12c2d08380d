"""Shedding by queue delay, from the lowest class up."""

from collections.abc import Iterator

from gentianmill.backlog import Backlog
from gentianmill.operation_profile import OperationProfiles
from gentianmill.sheet_models import LimitsModel
from gentianmill.slots import Slots
from gentianmill.tenant_queue import TenantQueue
from gentianmill.ticket import Lane, Ticket

BURST_DELAY_FACTOR = 4
"""Multiple of the queue delay that calls may wait during a short burst."""

PROTECTED_DELAY_FACTOR = 10
"""Multiple of the queue delay after which protected work may be shed."""

LONG_LATENCY_FACTOR = 2
"""Multiple of its typical latency that long work may wait."""


class DelayControl:
    """Select the calls that cannot start in time.

    A lane with a standing queue sheds calls that have waited longer than the
    queue delay; during a short burst, calls may wait longer. This is the rule
    of Maurer, "Fail at Scale", 2015, after Nichols and Jacobson,
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
            limits: Limits from the sheet.
            backlog: Calls that wait.
            slots: Calls that run.
            profiles: Typical latencies of operations.
        """
        self._limits = limits
        self._backlog = backlog
        self._slots = slots
        self._profiles = profiles

    def victims(self, now_ms: float) -> Iterator[Ticket]:
        """Yield the calls to shed.

        The caller must remove each one before it asks for the next.
        """
        for lane in (Lane.short, Lane.long):
            if len(self._backlog.lane(lane)):
                yield from self._lane_victims(lane, now_ms)

    def is_protected_delayed(self, now_ms: float) -> bool:
        """Return whether a protected short call waits longer than the queue delay."""
        first = self._backlog.lane(Lane.short).first_queue()
        if first is None or not first.oldest.protected:
            return False
        return now_ms - first.oldest.enqueued_ms > self._limits.queue_delay_ms

    def _lane_victims(self, lane: Lane, now_ms: float) -> Iterator[Ticket]:
        max_wait_ms = self._max_wait_ms(lane, now_ms)
        lower_queues = self._backlog.lane(lane).queues()
        while lower_queues:
            queue = lower_queues.pop(0)
            cutoff_ms = now_ms - max_wait_ms
            if queue.oldest.protected:
                cutoff_ms = now_ms - PROTECTED_DELAY_FACTOR * max_wait_ms
            if queue.oldest.enqueued_ms < cutoff_ms:
                yield from self._from_lowest_up(queue, lower_queues, cutoff_ms)
                return

    def _from_lowest_up(
        self, queue: TenantQueue, lower_queues: list[TenantQueue], cutoff_ms: float
    ) -> Iterator[Ticket]:
        if queue.oldest.protected:
            yield from self._unprotected()
            # Protected work is refused only when no other work is running.
            if self._slots.unprotected:
                return
        for lower_queue in reversed(lower_queues):
            while lower_queue:
                yield lower_queue.last()
        while queue and queue.oldest.enqueued_ms < cutoff_ms:
            yield queue.oldest

    def _unprotected(self) -> Iterator[Ticket]:
        victim = self._backlog.least_important(tuple(Lane))
        while victim is not None and not victim.protected:
            yield victim
            victim = self._backlog.least_important(tuple(Lane))

    def _max_wait_ms(self, lane: Lane, now_ms: float) -> float:
        delay_ms = self._limits.queue_delay_ms
        backlog = self._backlog.lane(lane)
        if lane is Lane.long:
            typical_ms = self._profiles.typical_ms(backlog.first().operation)
            delay_ms = max(delay_ms, LONG_LATENCY_FACTOR * typical_ms)
        is_standing = backlog.busy_ms(now_ms) > BURST_DELAY_FACTOR * delay_ms
        return delay_ms if is_standing else BURST_DELAY_FACTOR * delay_ms
