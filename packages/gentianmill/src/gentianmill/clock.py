"""Clocks in milliseconds."""

import abc
import time

NS_PER_MS = 1_000_000


class Clock(abc.ABC):
    """Source of the time in milliseconds since an arbitrary start."""

    @abc.abstractmethod
    def now_ms(self) -> float:
        """Return the current time in milliseconds; it never decreases."""


class MonotonicClock(Clock):
    """Read the monotonic clock of the machine."""

    def now_ms(self) -> float:
        """Return the monotonic time of the machine in milliseconds."""
        return time.monotonic_ns() / NS_PER_MS


class BootClock(Clock):
    """Read the clock that also counts while the machine is suspended.

    With the monotonic clock, a deadline would expire too late on a VM that was
    suspended for a while.
    """

    def now_ms(self) -> float:
        """Return the time since the machine started, in milliseconds."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / NS_PER_MS


class ManualClock(Clock):
    """Advance only when ``advance`` is called; for tests and measurements."""

    def __init__(self, start_ms: float = 0) -> None:
        """Start the clock.

        Args:
            start_ms: The first time that the clock returns, in milliseconds.
        """
        self._now_ms = start_ms

    def now_ms(self) -> float:
        """Return the time set last, in milliseconds."""
        return self._now_ms

    def advance(self, step_ms: float) -> None:
        """Move the clock forward.

        Args:
            step_ms: Milliseconds to add; not negative.

        Raises:
            ValueError: If the step is negative.
        """
        if step_ms < 0:
            raise ValueError(f'the clock cannot go back by {-step_ms} ms')
        self._now_ms += step_ms


def unix_ms() -> int:
    """Return the Unix time in milliseconds, which may be set back."""
    return time.time_ns() // NS_PER_MS
