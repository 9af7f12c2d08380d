"""Whether the upstream on the VM gives signs of life."""

import math

SILENCE_MS = 3000.0
"""Two heartbeats of 1.5 s without any other sign; a single one may be late."""

FIRST_PAUSE_MS = 100.0
LONGEST_PAUSE_MS = 800.0
"""Pause after a refused connection; it doubles up to the time of a restart."""


class UpstreamLiveness:
    """Judge an upstream by its answers, heartbeats and refused connections.

    An upstream whose VM died refuses nothing and answers nothing, so silence while
    it has work counts as death until the next sign.
    """

    def __init__(self) -> None:
        """Assume that the upstream lives."""
        self._last_sign_ms = -math.inf
        self._paused_until_ms = -math.inf
        self._pause_ms = FIRST_PAUSE_MS

    def sign(self, now_ms: float) -> None:
        """Take note of an answer or a heartbeat."""
        self._last_sign_ms = now_ms
        self._pause_ms = FIRST_PAUSE_MS
        self._paused_until_ms = -math.inf

    def refused(self, now_ms: float) -> None:
        """Take note of a connection that was refused or not made."""
        self._paused_until_ms = now_ms + self._pause_ms
        self._pause_ms = min(self._pause_ms * 2, LONGEST_PAUSE_MS)

    def is_silent(self, now_ms: float) -> bool:
        """Return whether the upstream has been without a sign for too long."""
        return now_ms - self._last_sign_ms > SILENCE_MS

    def takes_calls(self, now_ms: float) -> bool:
        """Return whether a call may be sent now."""
        return now_ms >= self._paused_until_ms and not self.is_silent(now_ms)
