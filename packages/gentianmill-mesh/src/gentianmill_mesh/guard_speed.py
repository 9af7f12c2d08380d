"""Measures the upstream's speed at its guard, and converts it from and to load reports."""

from collections.abc import Coroutine
from typing import TypeVar

from gentianmill.call_tree import CallOrigin, CallTree
from gentianmill.clock import Clock
from gentianmill.downstream_times import DownstreamTimes
from gentianmill.relay_messages import GuardLoad
from gentianmill.service_times import ServiceTimes, UpstreamSpeed

Reply = TypeVar('Reply')


class GuardSpeed:
    """Measure calls that run on the upstream; off until it is enabled."""

    def __init__(self, tree: CallTree, clock: Clock) -> None:
        """Start without calls.

        Args:
            tree: Requests that run on the upstream.
            clock: Clock of the node.
        """
        self._tree = tree
        self._clock = clock
        self._times = ServiceTimes()
        self._downstream = DownstreamTimes()
        self._started: dict[str, tuple[float, int]] = {}
        self._cold_until_ms: float = 0
        self._is_enabled = False

    def enable(self) -> None:
        """Measure and report from now on."""
        self._is_enabled = True

    def forget(self) -> None:
        """Drop what was measured on an upstream that was replaced."""
        self._times.forget()

    def set_cold(self, cold_ms: float) -> None:
        """Set the remaining time for which the upstream is slow after its start."""
        self._cold_until_ms = self._clock.now_ms() + cold_ms if cold_ms > 0 else 0

    def report(self, load: GuardLoad) -> None:
        """Add the speed to a load report."""
        if not self._is_enabled:
            return
        cold_ms = max(self._cold_until_ms - self._clock.now_ms(), 0)
        speed = self._times.speed(load.limit, cold_ms)
        load.service_ms = round(speed.slot_ms)
        load.capacity = speed.capacity
        load.own_ms = speed.own_ms
        load.cold_ms = round(speed.cold_ms)

    def on_start(self, request_id: str, running: int) -> None:
        """Record a request that is sent to the upstream.

        Args:
            request_id: Its id.
            running: Requests that run, itself included.
        """
        if self._is_enabled:
            self._downstream.start(request_id)
            self._started[request_id] = (self._clock.now_ms(), running)

    def on_end(self, request_id: str, route: str, running: int, limit: int) -> None:
        """Record the answer of the upstream to a request.

        Args:
            request_id: Its id.
            route: Its route.
            running: Requests that run, itself included.
            limit: Requests that may run at once.
        """
        if request_id not in self._started:
            return
        started_ms, first_running = self._started.pop(request_id)
        downstream_ms = self._downstream.end(request_id)
        if started_ms >= self._cold_until_ms:
            self._times.on_end(
                route,
                self._clock.now_ms() - started_ms,
                downstream_ms,
                (first_running + running) / 2,
                limit,
            )

    def abandon(self, request_id: str) -> None:
        """Forget a request that the upstream did not answer."""
        if self._started.pop(request_id, None) is not None:
            self._downstream.end(request_id)

    def timed(
        self, call_id: str, origin: CallOrigin, call: Coroutine[None, None, Reply]
    ) -> Coroutine[None, None, Reply]:
        """Return a call, measured if the upstream makes it for a running request.

        Args:
            call_id: Id of the call.
            origin: Its origin.
            call: The call.
        """
        if not self._is_enabled or not origin.is_inner:
            return call
        parent_id = self._tree.parent_id(call_id)
        return call if parent_id is None else self._timed(parent_id, call)

    async def _timed(self, parent_id: str, call: Coroutine[None, None, Reply]) -> Reply:
        self._downstream.call_began(parent_id, self._clock.now_ms())
        try:
            return await call
        finally:
            self._downstream.call_ended(parent_id, self._clock.now_ms())


def reported_speed(load: GuardLoad) -> UpstreamSpeed:
    """Return the speed in a load report of another node."""
    return UpstreamSpeed(load.service_ms, load.capacity, load.own_ms, load.cold_ms)
