"""Notice that the upstream process died, even if it is restarted at once."""

import asyncio
import contextlib

from gentianmill.clock import Clock

from gentianmill_node.logs import component

CONNECT_TIMEOUT_S = 1.0
RETRY_S = 0.1
RECENT_MS = 1000

log = component('upstream')


class LivenessConnection:
    """Hold an idle connection to the upstream and note when it ends.

    When a process dies, the kernel ends all its connections together. A new
    connection only tells that some process listens now, which may be the next one.
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
        self._task = asyncio.ensure_future(self._hold_forever())

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
        return self._clock.now_ms() - self._lost_ms <= RECENT_MS

    async def _hold_forever(self) -> None:
        while True:
            # The loss is kept with its time, and told by who asks for it.
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                await self._hold()
            await asyncio.sleep(RETRY_S)

    async def _hold(self) -> None:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(self._host, self._port), CONNECT_TIMEOUT_S
        )
        unasked = b''
        try:
            # Nothing is asked here, so what comes is not read to its end.
            unasked = await reader.read(1)
        finally:
            writer.close()
            if not unasked:
                self._lost_ms = self._clock.now_ms()
        if unasked:
            log.warning('The upstream sends bytes without a request.')
