"""Queue of the requests that wait for an upstream."""

import dataclasses
import heapq
import itertools
import math

SERVICE_TIME_WEIGHT = 0.1
"""Weight of a new service time in the smoothed service time."""

INITIAL_SERVICE_MS = 50.0
"""Service time assumed until the first request has ended."""


@dataclasses.dataclass(eq=False, slots=True)
class WorkItem:
    """A request that is to run on the upstream."""

    rank: int
    """Order in the queue; the lowest goes first."""

    deadline_ms: float
    """Time after which nobody uses its result."""

    expected_ms: float = 0
    """Expected service time."""

    max_wait_ms: float = math.inf
    """Maximum wait; an item that would wait longer is refused at once."""

    started_ms: float | None = None
    dropped: bool = False


@dataclasses.dataclass(slots=True)
class Dispatch:
    """Result of a change to the queue: items to start and items to refuse."""

    started: list[WorkItem] = dataclasses.field(default_factory=list)
    refused: list[WorkItem] = dataclasses.field(default_factory=list)


class WorkQueue:
    """Run up to a limit of requests at once and keep the others in order.

    Within a rank the oldest goes first. An item that can no longer end before its
    deadline is refused instead of started, so that another can use the slot.
    """

    def __init__(self, limit: int, max_queued: int) -> None:
        """Create an empty queue.

        Args:
            limit: Requests that may run at once.
            max_queued: Requests that may wait.
        """
        self._limit = limit
        self._max_queued = max_queued
        self._running = 0
        self._queued = 0
        self._heap: list[tuple[int, int, WorkItem]] = []
        self._serial = itertools.count()
        self._service_ms = INITIAL_SERVICE_MS

    @property
    def running(self) -> int:
        """Return the number of running requests."""
        return self._running

    @property
    def queued(self) -> int:
        """Return the number of waiting requests."""
        return self._queued

    @property
    def limit(self) -> int:
        """Return the number of requests that may run at once."""
        return self._limit

    def resize(self, limit: int, max_queued: int, now_ms: float) -> Dispatch:
        """Change the number of requests that may run and wait.

        Args:
            limit: Requests that may run at once; running ones beyond it still finish.
            max_queued: Requests that may wait.
            now_ms: Current time.
        """
        self._limit = limit
        self._max_queued = max_queued
        return self._start_waiting(now_ms)

    def offer(self, item: WorkItem, now_ms: float) -> Dispatch:
        """Add a request.

        Args:
            item: The request.
            now_ms: Current time.

        Returns:
            The request itself if it starts or is refused, and the less important
            request that was evicted if the queue was full.
        """
        if self._expected_wait_ms(item.rank) > item.max_wait_ms:
            item.dropped = True
            return Dispatch(refused=[item])
        heapq.heappush(self._heap, (item.rank, next(self._serial), item))
        self._queued += 1
        dispatch = self._start_waiting(now_ms)
        if self._queued > self._max_queued:
            dispatch.refused.append(self._evict())
        return dispatch

    def finish(self, item: WorkItem, now_ms: float) -> Dispatch:
        """Free the slot of a request that has ended.

        Args:
            item: A request that was started.
            now_ms: Current time.
        """
        self._running -= 1
        if item.started_ms is not None:
            elapsed_ms = now_ms - item.started_ms
            self._service_ms += SERVICE_TIME_WEIGHT * (elapsed_ms - self._service_ms)
        return self._start_waiting(now_ms)

    def withdraw(self, item: WorkItem) -> None:
        """Remove a request that is still waiting."""
        if not item.dropped and item.started_ms is None:
            item.dropped = True
            self._queued -= 1

    def drain(self) -> list[WorkItem]:
        """Remove and return all waiting requests."""
        waiting = [item for _, _, item in self._heap if not item.dropped]
        for item in waiting:
            self.withdraw(item)
        self._heap.clear()
        return waiting

    def _expected_wait_ms(self, rank: int) -> float:
        if self._running < self._limit or not self._queued:
            return 0
        ahead = sum(1 for entry in self._heap if _is_ahead(entry, rank))
        return ahead * self._service_ms / max(self._limit, 1)

    def _start_waiting(self, now_ms: float) -> Dispatch:
        dispatch = Dispatch()
        while self._heap and self._running < self._limit:
            item = heapq.heappop(self._heap)[2]
            if item.dropped:
                continue
            self._queued -= 1
            if now_ms + item.expected_ms > item.deadline_ms:
                item.dropped = True
                dispatch.refused.append(item)
                continue
            item.started_ms = now_ms
            self._running += 1
            dispatch.started.append(item)
        return dispatch

    def _evict(self) -> WorkItem:
        """Remove and return the newest item of the least important rank."""
        waiting = (entry for entry in self._heap if not entry[2].dropped)
        item = max(waiting)[2]
        self.withdraw(item)
        return item


def _is_ahead(entry: tuple[int, int, WorkItem], rank: int) -> bool:
    return entry[0] <= rank and not entry[2].dropped
