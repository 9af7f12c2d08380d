"""Notices that a connection has fallen silent while answers are awaited."""

import asyncio
from collections.abc import Callable

from gentianmill.clock import Clock

PING_AFTER_MS = 1200.0
"""Silence after which a ping is sent, about the longest usual time of a call."""

PONG_WITHIN_MS = 600.0
"""Time for the answer to a ping: ten round trips between regions."""

MS_PER_S = 1000


class SilenceWatch:
    """Ping the other side of a connection, but only while something is awaited.

    A node has links to many others and awaits answers on few of them; pings on all
    made up a fifth of the frames on a quiet day.
    """

    def __init__(
        self,
        clock: Clock,
        is_busy: Callable[[], bool],
        ping: Callable[[], None],
        on_silence: Callable[[], None],
    ) -> None:
        """Create a watch for a connection that has just been opened.

        Args:
            clock: Clock of the node.
            is_busy: Tells whether answers are awaited.
            ping: Sends a ping.
            on_silence: Called once if nothing answers.
        """
        self._clock = clock
        self._is_busy = is_busy
        self._ping = ping
        self._on_silence = on_silence
        self._heard_ms = clock.now_ms()
        self._pinged_ms: float | None = None
        self._timer: asyncio.TimerHandle | None = None

    def heard(self) -> None:
        """Take note of bytes of the other side."""
        self._heard_ms = self._clock.now_ms()
        self._pinged_ms = None

    def asked(self) -> None:
        """Take note that something was sent whose answer is awaited."""
        if self._timer is not None:
            return
        if self._clock.now_ms() - self._heard_ms > PING_AFTER_MS:
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
        silent_ms = now_ms - self._heard_ms
        if silent_ms >= PING_AFTER_MS:
            self._send_ping()
        else:
            self._check_after(PING_AFTER_MS - silent_ms)

    def _check_pong(self, waited_ms: float) -> None:
        if waited_ms >= PONG_WITHIN_MS:
            self._on_silence()
        else:
            self._check_after(PONG_WITHIN_MS - waited_ms)

    def _send_ping(self) -> None:
        self._pinged_ms = self._clock.now_ms()
        self._ping()
        self._check_after(PONG_WITHIN_MS)

    def _check_after(self, pause_ms: float) -> None:
        loop = asyncio.get_running_loop()
        # A timer may fire slightly early.
        self._timer = loop.call_later((pause_ms + 1) / MS_PER_S, self._check)
