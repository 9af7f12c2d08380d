"""Entries and guards of one service in virtual time: who is admitted, refused and served.

The decisions are those of the nodes (``AdmissionShare``, ``ShareTable``, ``admits`` and
``WorkQueue``); the network is a delay, and an upstream serves each request for its time.
"""

import dataclasses
import functools
import heapq
import itertools
import random
from collections.abc import Callable

from gentianmill.admission_share import (
    SHARE_SCALE,
    AdmissionShare,
    ShareTable,
    admits,
)
from gentianmill.work_queue import Dispatch, WorkItem, WorkQueue

ONE_WAY_MS = 15.0
CHECK_MS = 250.0
QUEUE_FACTOR = 6
ROUTE = 'route'
SERVICE = 'service'


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of request."""

    name: str
    work_ms: float
    rank: int
    importance: float
    patience_ms: float = 600


@dataclasses.dataclass
class Request:
    """What became of a request."""

    kind: Kind
    sent_ms: float
    entry: int
    served_ms: float | None = None
    refused_ms: float | None = None
    idle_refusal: bool = False
    """Whether it was refused although an upstream had been idle for a second."""

    left: bool = False


class _Guard:
    def __init__(self, slots: int, speed: float) -> None:
        self.share = AdmissionShare()
        self.queue = WorkQueue(slots, slots * QUEUE_FACTOR)
        self.slots = slots
        self.speed = speed
        self.is_down = False
        self.free_since_ms: float | None = 0

    def observe(self, now_ms: float) -> None:
        """Let the share follow the load."""
        calls = self.queue.running + self.queue.queued
        self.share.observe(calls, self.queue.limit, now_ms)

    def note_slots(self, now_ms: float) -> None:
        """Remember since when a slot has been free."""
        is_free = self.queue.running < self.queue.limit and not self.is_down
        if not is_free:
            self.free_since_ms = None
        elif self.free_since_ms is None:
            self.free_since_ms = now_ms


class AdmissionModel:
    """Run a load through entries and guards."""

    def __init__(
        self, slots: list[int], entries: int = 1, speeds: list[float] | None = None
    ) -> None:
        """Create a service.

        Args:
            slots: Slots of each upstream.
            entries: Number of entries.
            speeds: Speed of each upstream; by default all have 1.
        """
        speeds = speeds or [1.0 for _ in slots]
        self.guards = [_Guard(*pair) for pair in zip(slots, speeds, strict=True)]
        self.requests: list[Request] = []
        self.now_ms = 0.0
        self.deaf: set[int] = set()
        """Entries that see no answers."""

        self._tables = [ShareTable() for _ in range(entries)]
        self._rng = random.Random(7)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = itertools.count()
        self.at(CHECK_MS, self._check)

    def at(self, time_ms: float, action: Callable[[], None]) -> None:
        """Do something at a time."""
        heapq.heappush(self._events, (time_ms, next(self._serial), action))

    def send(
        self,
        kind: Kind,
        per_s: float,
        begin_ms: float,
        end_ms: float,
        entry: int = 0,
        leave_after_ms: float | None = None,
    ) -> None:
        """Send requests at a steady rate."""
        time_ms = begin_ms
        while time_ms < end_ms:
            self.at(
                time_ms, functools.partial(self._arrive, kind, entry, leave_after_ms)
            )
            time_ms += 1000 / per_s

    def run(self, until_ms: float) -> None:
        """Run all events up to a time."""
        while self._events and self._events[0][0] <= until_ms:
            event = heapq.heappop(self._events)
            self.now_ms = event[0]
            event[2]()
            for guard in self.guards:
                guard.note_slots(self.now_ms)

    def resize(self, slots: int) -> None:
        """Change the slots of all upstreams."""
        for guard in self.guards:
            dispatch = guard.queue.resize(slots, slots * QUEUE_FACTOR, self.now_ms)
            self._apply(guard, dispatch)

    def of(self, kind: Kind, begin_ms: float = 0, end_ms: float = 1e9) -> list[Request]:
        """Return the requests of a kind that were sent in a time."""
        return [
            request
            for request in self.requests
            if request.kind is kind and begin_ms <= request.sent_ms < end_ms
        ]

    def _arrive(self, kind: Kind, entry: int, leave_after_ms: float | None) -> None:
        request = Request(kind, self.now_ms, entry)
        self.requests.append(request)
        share = self._tables[entry].share(ROUTE, self.now_ms)
        if not admits(share, kind.importance, returning=False, rng=self._rng):
            self._refuse(request)
            return
        guard = min(
            (guard for guard in self.guards if not guard.is_down),
            key=lambda up: (up.queue.running + up.queue.queued) / up.slots,
            default=None,
        )
        if guard is None:
            self._refuse(request)
            return
        item = _Item(
            rank=kind.rank,
            deadline_ms=self.now_ms + 5000,
            max_wait_ms=kind.patience_ms,
            request=request,
        )
        self.at(self.now_ms + ONE_WAY_MS, lambda: self._offer(guard, item))
        if leave_after_ms is not None:
            left_ms = self.now_ms + leave_after_ms
            self.at(left_ms, lambda: self._leave(guard, item))

    def _offer(self, guard: _Guard, item: '_Item') -> None:
        if guard.is_down:
            self._refuse(item.request)
        elif not item.request.left:
            dispatch = guard.queue.offer(item, self.now_ms)
            if item.started_ms is None and not item.dropped:
                wait_ms = self.now_ms + item.max_wait_ms
                self.at(wait_ms, lambda: self._time_out(guard, item))
            self._apply(guard, dispatch)

    def _time_out(self, guard: _Guard, item: '_Item') -> None:
        if item.started_ms is None and not item.dropped:
            guard.queue.withdraw(item)
            self._answer(guard, item, served=False)

    def _leave(self, guard: _Guard, item: '_Item') -> None:
        request = item.request
        if request.served_ms is not None or request.refused_ms is not None:
            return
        request.left = True
        if item.started_ms is None:
            guard.queue.withdraw(item)
        else:
            self._apply(guard, guard.queue.finish(item, self.now_ms))

    def _apply(self, guard: _Guard, dispatch: Dispatch) -> None:
        for started in dispatch.started:
            spent_ms = started.request.kind.work_ms / guard.speed
            end = functools.partial(self._end, guard, started)
            self.at(self.now_ms + spent_ms, end)
        for refused in dispatch.refused:
            self._answer(guard, refused, served=False)

    def _end(self, guard: _Guard, item: '_Item') -> None:
        if item.request.left:
            return
        dispatch = guard.queue.finish(item, self.now_ms)
        self._answer(guard, item, served=not guard.is_down)
        self._apply(guard, dispatch)

    def _answer(self, guard: _Guard, item: '_Item', *, served: bool) -> None:
        guard.observe(self.now_ms)
        shares = {SERVICE: int(guard.share.share * SHARE_SCALE)}
        request = item.request

        def arrive() -> None:
            if request.left:
                return
            if request.entry not in self.deaf:
                self._tables[request.entry].record(ROUTE, shares, self.now_ms)
            if served:
                request.served_ms = self.now_ms
            else:
                self._refuse(request)

        self.at(self.now_ms + ONE_WAY_MS, arrive)

    def _refuse(self, request: Request) -> None:
        request.refused_ms = self.now_ms
        free = [guard.free_since_ms for guard in self.guards]
        request.idle_refusal = any(
            since_ms is not None and self.now_ms - since_ms > 1000 for since_ms in free
        )

    def _check(self) -> None:
        for guard in self.guards:
            guard.observe(self.now_ms)
        self.at(self.now_ms + CHECK_MS, self._check)


@dataclasses.dataclass(eq=False, slots=True)
class _Item(WorkItem):
    request: Request | None = None
