"""An event loop whose time advances only while no task is ready to run."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

from gentianmill.clock import Clock

MS_PER_S = 1000
_Content = TypeVar('_Content')


class _InstantSelector(selectors.DefaultSelector):
    """Returns at once and accounts for the time that it would have waited."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Poll, and advance the time by the timeout instead of waiting.

        Raises:
            RuntimeError: If no timer is set, so that nothing can wake the loop.
        """
        if timeout is None:
            raise RuntimeError('deadlock: no task can run and no timer is set')
        self.now_s += max(0, timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """A loop for tests without I/O; sleeps take no real time."""

    def __init__(self) -> None:
        """Create a loop at time 0."""
        self._instant = _InstantSelector()
        super().__init__(self._instant)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._instant.now_s


class LoopClock(Clock):
    """The time of the running loop."""

    def now_ms(self) -> float:
        """Return the time of the loop in milliseconds."""
        return asyncio.get_running_loop().time() * MS_PER_S


def run_virtual(main: Coroutine[Any, Any, _Content]) -> _Content:
    """Run a coroutine to its end in virtual time."""
    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(main)
    finally:
        loop.close()
