"""Whether the upstream on this VM is responsive."""

import math

SILENT_AFTER_MS = 2000.0
"""Time without a response or heartbeat after which the upstream is asked, so that the
answer is there when it counts as unresponsive."""

UNRESPONSIVE_AFTER_MS = 3000.0
"""Time without a response or heartbeat after which an upstream is unresponsive.

Two intervals of 1.5 s between heartbeats, since a single one may be late.
"""

FIRST_PAUSE_MS = 100.0
LONGEST_PAUSE_MS = 800.0
"""Pause after a refused connection; it doubles up to the duration of a restart."""


class UpstreamLiveness:
    """Detect a dead upstream by its responses, heartbeats and refused connections.

    An upstream whose VM died neither refuses connections nor responds, so an upstream
    without a response or heartbeat for too long counts as dead until the next one.
    """

    def __init__(self) -> None:
        """Start without a response or a refused connection."""
        self._last_activity_ms = -math.inf
        self._paused_until_ms = -math.inf
        self._pause_ms = FIRST_PAUSE_MS

    def record_activity(self, now_ms: float) -> None:
        """Record a response or a heartbeat."""
        self._last_activity_ms = now_ms
        self._pause_ms = FIRST_PAUSE_MS
        self._paused_until_ms = -math.inf

    def record_refusal(self, now_ms: float) -> None:
        """Record a connection that was refused or could not be opened."""
        self._paused_until_ms = now_ms + self._pause_ms
        self._pause_ms = min(self._pause_ms * 2, LONGEST_PAUSE_MS)

    def is_silent(self, now_ms: float) -> bool:
        """Return whether it is time to ask whether the upstream is still there."""
        return now_ms - self._last_activity_ms > SILENT_AFTER_MS

    def is_unresponsive(self, now_ms: float) -> bool:
        """Return whether the last response or heartbeat was too long ago."""
        return now_ms - self._last_activity_ms > UNRESPONSIVE_AFTER_MS

    def accepts_calls(self, now_ms: float) -> bool:
        """Return whether a call may be sent now."""
        return now_ms >= self._paused_until_ms and not self.is_unresponsive(now_ms)
