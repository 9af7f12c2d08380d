"""Queues requests until the upstream has a free slot."""

import asyncio

from gentianmill.clock import Clock
from gentianmill.relay_messages import GuardLoad
from gentianmill.work_queue import Dispatch, WorkItem, WorkQueue

LATE_MARGIN_MS = 5.0
"""Least time that must be left before the deadline when a request is sent."""

MS_PER_S = 1000


class SlotQueue:
    """Assign slots to requests in the order of a ``WorkQueue``."""

    def __init__(self, clock: Clock) -> None:
        """Create a queue without slots.

        Args:
            clock: Clock of the node.
        """
        self._clock = clock
        self._queue = WorkQueue(0, 0)
        self._waiters: dict[WorkItem, asyncio.Future[bool]] = {}

    @property
    def busy(self) -> bool:
        """Return whether requests are running or waiting."""
        return bool(self._queue.running or self._queue.queued)

    @property
    def running(self) -> int:
        """Return the requests that run."""
        return self._queue.running

    @property
    def limit(self) -> int:
        """Return the requests that may run at once."""
        return self._queue.limit

    @property
    def load(self) -> GuardLoad:
        """Return the load to report to other nodes."""
        return GuardLoad(
            running=self._queue.running,
            limit=self._queue.limit,
            queued=self._queue.queued,
        )

    def resize(self, limit: int, max_queued: int) -> None:
        """Change the number of requests that may run and wait.

        Args:
            limit: Requests that may run at once.
            max_queued: Requests that may wait.
        """
        if limit != self._queue.limit:
            now_ms = self._clock.now_ms()
            self._apply(self._queue.resize(limit, max_queued, now_ms))

    async def acquire(self, item: WorkItem) -> bool:
        """Wait for a slot and return whether the request got one.

        Args:
            item: The request; call ``release`` afterwards if it got a slot.
        """
        now_ms = self._clock.now_ms()
        dispatch = self._queue.offer(item, now_ms)
        self._apply(dispatch)
        if item.started_ms is not None:
            return True
        if item in dispatch.refused:
            return False
        return await self._wait(item, now_ms)

    def release(self, item: WorkItem) -> None:
        """Free the slot of a request."""
        self._apply(self._queue.finish(item, self._clock.now_ms()))

    def refuse_waiting(self) -> None:
        """Refuse all waiting requests."""
        for item in self._queue.drain():
            self._resolve(item, admitted=False)

    async def _wait(self, item: WorkItem, now_ms: float) -> bool:
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[bool] = loop.create_future()
        self._waiters[item] = waiter
        left_ms = max(item.deadline_ms - now_ms - LATE_MARGIN_MS, 0)
        left_ms = min(left_ms, item.max_wait_ms)
        timer = loop.call_later(left_ms / MS_PER_S, self._time_out, item)
        try:
            return await waiter
        except asyncio.CancelledError:
            self._abandon(item)
            raise
        finally:
            timer.cancel()
            self._waiters.pop(item, None)

    def _abandon(self, item: WorkItem) -> None:
        if item.started_ms is None:
            self._queue.withdraw(item)
        else:
            self.release(item)

    def _time_out(self, item: WorkItem) -> None:
        waiter = self._waiters.get(item)
        if waiter is not None and not waiter.done():
            self._queue.withdraw(item)
            waiter.set_result(False)

    def _apply(self, dispatch: Dispatch) -> None:
        for started in dispatch.started:
            self._resolve(started, admitted=True)
        for refused in dispatch.refused:
            self._resolve(refused, admitted=False)

    def _resolve(self, item: WorkItem, *, admitted: bool) -> None:
        waiter = self._waiters.get(item)
        if waiter is not None and not waiter.done():
            waiter.set_result(admitted)
