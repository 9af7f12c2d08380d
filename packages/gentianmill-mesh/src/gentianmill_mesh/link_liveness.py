"""Detects an unresponsive connection while responses are pending."""

import asyncio
from collections.abc import Callable

from gentianmill.clock import Clock

PING_AFTER_MS = 400.0
"""Time without received bytes after which a ping is sent. The shortest calls have 700 ms,
and one on a link that has been silent for longer must have time to go elsewhere."""

PONG_WITHIN_MS = 400.0
"""Wait for the response to a ping: six round trips between regions, or a lost packet. A
link that is dropped by mistake costs a handshake: its calls are joined on the next one."""

SLOWEST_LINK_BYTES_PER_MS = 250
"""Rate of a link, 2 Mbit/s, up to which a large body is not taken for silence."""

MS_PER_S = 1000


class LinkLiveness:
    """Ping the peer of a connection, but only while responses are pending.

    A node has links to many others and awaits responses on few of them; pings on all
    links made up a fifth of the frames on a day with little traffic.
    """

    def __init__(
        self,
        clock: Clock,
        is_busy: Callable[[], bool],
        ping: Callable[[], None],
        on_unresponsive: Callable[[], None],
        ahead_bytes: Callable[[], int] | None = None,
    ) -> None:
        """Create a watch for a connection that was just opened.

        Args:
            clock: Clock of the node.
            is_busy: Returns whether responses are pending.
            ping: Sends a ping.
            on_unresponsive: Called once if the peer does not respond.
            ahead_bytes: Returns how many bytes a ping may have to wait for.
        """
        self._clock = clock
        self._is_busy = is_busy
        self._ping = ping
        self._on_unresponsive = on_unresponsive
        self._ahead_bytes = ahead_bytes
        self._last_received_ms = clock.now_ms()
        self._pinged_ms: float | None = None
        self._timer: asyncio.TimerHandle | None = None

    def on_received(self) -> None:
        """Record that bytes from the peer were received."""
        self._last_received_ms = self._clock.now_ms()
        self._pinged_ms = None

    def on_sent(self) -> None:
        """Record that a frame was sent whose response is awaited."""
        if self._timer is not None:
            return
        if self._clock.now_ms() - self._last_received_ms > PING_AFTER_MS:
            self._send_ping()
        else:
            self._check_after(PING_AFTER_MS)

    def stop(self) -> None:
        """End the watch."""
        if self._timer is not None:
            self._timer.cancel()

    def _check(self) -> None:
        self._timer = None
        if not self._is_busy():
            self._pinged_ms = None
            return
        now_ms = self._clock.now_ms()
        if self._pinged_ms is not None:
            self._check_pong(now_ms - self._pinged_ms)
            return
        idle_ms = now_ms - self._last_received_ms
        if idle_ms >= PING_AFTER_MS:
            self._send_ping()
        else:
            self._check_after(PING_AFTER_MS - idle_ms)

    def _check_pong(self, waited_ms: float) -> None:
        limit_ms = PONG_WITHIN_MS
        if self._ahead_bytes is not None:
            limit_ms += self._ahead_bytes() / SLOWEST_LINK_BYTES_PER_MS
        if waited_ms >= limit_ms:
            self._on_unresponsive()
        else:
            self._check_after(limit_ms - waited_ms)

    def _send_ping(self) -> None:
        self._pinged_ms = self._clock.now_ms()
        self._ping()
        self._check_after(PONG_WITHIN_MS)

    def _check_after(self, pause_ms: float) -> None:
        loop = asyncio.get_running_loop()
        # A timer may fire slightly early.
        self._timer = loop.call_later((pause_ms + 1) / MS_PER_S, self._check)
