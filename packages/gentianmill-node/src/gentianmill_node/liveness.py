"""Detect that the upstream process died, even if it is restarted at once."""

import asyncio
import contextlib

from gentianmill.clock import Clock

from gentianmill_node.background import spawn
from gentianmill_node.logs import component

CONNECT_TIMEOUT_S = 1.0
RECONNECT_PAUSE_S = 0.1
RECENT_LOSS_MS = 1000

log = component('upstream')


class LivenessConnection:
    """Keep an idle connection to the upstream and record when it ends.

    When a process dies, the kernel closes all its connections at once. A new
    connection only proves that some process is listening now, which may be the
    successor of the one that died.
    """

    def __init__(self, host: str, port: int, clock: Clock) -> None:
        """Create a connection that is not open yet.

        Args:
            host: Address of the upstream.
            port: Port of the upstream.
            clock: Clock of the node.
        """
        self._host = host
        self._port = port
        self._clock = clock
        self._lost_ms: float | None = None
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Keep the connection open in the background."""
        self._task = spawn(self._keep_open(), 'watch upstream')

    async def close(self) -> None:
        """Close the connection."""
        if self._task:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

    def lost_recently(self) -> bool:
        """Return whether the connection ended within the last second.

        An upstream may also close an idle connection, so this only counts
        together with a call whose connection was lost.
        """
        if self._lost_ms is None:
            return False
        return self._clock.now_ms() - self._lost_ms <= RECENT_LOSS_MS

    async def _keep_open(self) -> None:
        while True:
            # The time of the loss is recorded; ``lost_recently`` reports it.
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                await self._hold_until_closed()
            await asyncio.sleep(RECONNECT_PAUSE_S)

    async def _hold_until_closed(self) -> None:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(self._host, self._port), CONNECT_TIMEOUT_S
        )
        unsolicited = b''
        try:
            # No request is sent here, so any bytes are unsolicited; one is enough.
            unsolicited = await reader.read(1)
        finally:
            writer.close()
            if not unsolicited:
                self._lost_ms = self._clock.now_ms()
        if unsolicited:
            log.warning('The upstream sent bytes without a request.')
