"""Notices that the process did not run for a while."""

from collections.abc import Callable

from gentianmill.clock import Clock
from gentianmill_node.logs import component

__all__ = ('SuspensionWatch',)

SUSPENDED_AFTER_MS = 1000.0
"""Pause between two checks beyond which waits are renewed: a busy event loop stays below
it, and timers that are this late do no harm."""

log = component('node')


class SuspensionWatch:
    """Compare the times of periodic checks.

    The timers of the event loop do not advance while a VM is suspended, and responses
    that were sent to it meanwhile come late or never. Waits that began before must
    therefore be renewed instead of continued.
    """

    def __init__(self, clock: Clock, on_resumed: Callable[[], None]) -> None:
        """Create a watch; call ``check`` regularly.

        Args:
            clock: A clock that also advances while the VM is suspended.
            on_resumed: Called after each suspension.
        """
        self._clock = clock
        self._on_resumed = on_resumed
        self._checked_ms = clock.now_ms()

    def check(self) -> None:
        """Call the listener if the last check was too long ago."""
        now_ms = self._clock.now_ms()
        pause_ms = now_ms - self._checked_ms
        self._checked_ms = now_ms
        if pause_ms > SUSPENDED_AFTER_MS:
            log.warning('Process did not run.', pause_ms=round(pause_ms))
            self._on_resumed()
