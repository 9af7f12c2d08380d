"""Queue of the requests that wait for an upstream.

Answers two loads: a team that sends many times its usual demand, which must delay its own
requests only, and requests of unequal length, whose cost is their time in a slot.
"""

import dataclasses
import math

from gentianmill.fair_queue import FairQueue

SERVICE_TIME_WEIGHT = 0.1
"""Weight of a new service time in the smoothed service time."""

INITIAL_SERVICE_MS = 50.0
"""Service time assumed until the first request has ended."""

MAX_KINDS = 1024
"""Kinds of work whose service times are kept; routes that are gone would stay."""


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

    flow: str = ''
    """Team that it belongs to; empty for requests of no team, which form one flow."""

    kind: str = ''
    """Kind of work, such as a route, for the expected time in a slot."""

    is_repeat: bool = False
    """Whether its caller was refused before and did not wait as told; it goes after the
    other requests of its team."""

    started_ms: float | None = None
    dropped: bool = False


@dataclasses.dataclass(slots=True)
class Dispatch:
    """Result of a change to the queue: items to start and items to refuse."""

    started: list[WorkItem] = dataclasses.field(default_factory=list)
    refused: list[WorkItem] = dataclasses.field(default_factory=list)


class WorkQueue:
    """Run up to a limit of requests at once and keep the others in order.

    Within a rank, flows get equal time in slots, and the oldest request of a flow goes
    first, repeats after all others of the flow. An item that can no longer end before its deadline is refused instead of
    started, so that another can use the slot.
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
        self._by_rank: dict[int, FairQueue[WorkItem]] = {}
        self._service_ms = INITIAL_SERVICE_MS
        self._kind_service_ms: dict[str, float] = {}

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
        if self._expected_wait_ms(item) > item.max_wait_ms:
            item.dropped = True
            return Dispatch(refused=[item])
        queue, is_repeat = self._queue(item.rank), _is_repeat(item)
        queue.push(item, item.flow, self._cost_ms(item), is_repeat=is_repeat)
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
            self._observe(item.kind, now_ms - item.started_ms)
        return self._start_waiting(now_ms)

    def withdraw(self, item: WorkItem) -> None:
        """Remove a request that is still waiting."""
        if not item.dropped and item.started_ms is None:
            item.dropped = True
            self._queued -= 1
            self._queue(item.rank).remove(item)

    def drain(self) -> list[WorkItem]:
        """Remove and return all waiting requests."""
        waiting = [item for queue in self._by_rank.values() for item in queue.items]
        for item in waiting:
            self.withdraw(item)
        return waiting

    def _queue(self, rank: int) -> FairQueue[WorkItem]:
        queue = self._by_rank.get(rank)
        if queue is None:
            queue = FairQueue()
            self._by_rank[rank] = queue
            self._by_rank = dict(sorted(self._by_rank.items()))
        return queue

    def _cost_ms(self, item: WorkItem) -> float:
        if not item.flow:
            # Equal costs keep the order of arrival where there are no teams.
            return INITIAL_SERVICE_MS
        return self._kind_service_ms.get(item.kind, self._service_ms)

    def _observe(self, kind: str, elapsed_ms: float) -> None:
        self._service_ms += SERVICE_TIME_WEIGHT * (elapsed_ms - self._service_ms)
        if len(self._kind_service_ms) >= MAX_KINDS:
            self._kind_service_ms.clear()
        mean_ms = self._kind_service_ms.get(kind, elapsed_ms)
        mean_ms += SERVICE_TIME_WEIGHT * (elapsed_ms - mean_ms)
        self._kind_service_ms[kind] = mean_ms

    def _expected_wait_ms(self, item: WorkItem) -> float:
        if self._running < self._limit or not self._queued:
            return 0
        own = self._queue(item.rank)
        cost_ms = self._cost_ms(item)
        place = own.place_for(item.flow, cost_ms, is_repeat=_is_repeat(item))
        ahead = own.count_before(place)
        ahead += sum(
            len(queue) for rank, queue in self._by_rank.items() if rank < item.rank
        )
        return ahead * self._service_ms / max(self._limit, 1)

    def _start_waiting(self, now_ms: float) -> Dispatch:
        dispatch = Dispatch()
        while self._queued and self._running < self._limit:
            queue = next(filter(None, self._by_rank.values()))
            item = queue.peek()
            if now_ms + item.expected_ms > item.deadline_ms:
                self.withdraw(item)
                dispatch.refused.append(item)
                continue
            queue.start(item)
            self._queued -= 1
            item.started_ms = now_ms
            self._running += 1
            dispatch.started.append(item)
        return dispatch

    def _evict(self) -> WorkItem:
        """Remove and return the item of the least important rank that would go last."""
        queue = next(filter(None, reversed(self._by_rank.values())))
        item = queue.last()
        self.withdraw(item)
        return item


def _is_repeat(item: WorkItem) -> bool:
    """Return whether an item goes after the others of its team, if it has one."""
    return item.is_repeat and bool(item.flow)
