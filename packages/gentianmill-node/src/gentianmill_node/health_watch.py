"""Poll the health that this node's upstream reports."""

import asyncio
import enum
from collections.abc import Callable

from gentianmill.settings_models import UpstreamModel

from gentianmill_node.background import repeat
from gentianmill_node.logs import component
from gentianmill_node.upstream_client import UpstreamClient

MS_PER_S = 1000
FAILURES_BEFORE_DOWN = 2
"""A single failed poll is ignored; two in a row take the upstream out of service."""

log = component('health')


class UpstreamState(enum.StrEnum):
    """Last known state of this node's upstream."""

    starting = 'starting'
    ready = 'ready'
    draining = 'draining'
    unreachable = 'unreachable'


class HealthWatch:
    """Poll the health endpoint of the upstream and report changes."""

    def __init__(
        self,
        settings: UpstreamModel,
        upstream: UpstreamClient,
        on_change: Callable[[UpstreamState], None],
    ) -> None:
        """Create a watch.

        Args:
            settings: Settings of the upstream, with the poll interval.
            upstream: This node's upstream.
            on_change: Called with each new state.
        """
        self._interval_s = settings.poll_ms / MS_PER_S
        self._upstream = upstream
        self._on_change = on_change
        self._state = UpstreamState.starting
        self._failures = 0
        self._task: asyncio.Task[None] | None = None

    @property
    def state(self) -> UpstreamState:
        """Return the last known state."""
        return self._state

    async def start(self) -> None:
        """Poll once, then in the background."""
        self._record_poll(await self._upstream.health())
        self._task = repeat(self._poll, self._interval_s, 'poll health')

    async def close(self) -> None:
        """Stop polling."""
        if self._task:
            self._task.cancel()

    async def _poll(self) -> None:
        self._record_poll(await self._upstream.health())

    def _record_poll(self, reported: str) -> None:
        known = reported in set(UpstreamState)
        state = UpstreamState(reported) if known else UpstreamState.unreachable
        if state is not UpstreamState.unreachable:
            self._failures = 0
            self._set_state(state)
            return
        self._failures += 1
        if self._failures >= FAILURES_BEFORE_DOWN:
            self._set_state(state)

    def _set_state(self, state: UpstreamState) -> None:
        if state is self._state:
            return
        log.info('Upstream changed state.', before=self._state.value, now=state.value)
        self._state = state
        self._on_change(state)
