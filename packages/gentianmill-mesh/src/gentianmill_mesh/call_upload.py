"""A large body of a call that arrives in parts."""

import asyncio
from collections.abc import Callable

from gentianmill.byte_budget import ByteBudget
from gentianmill_mesh.body_buffer import Body, BodyBuffer
from gentianmill_mesh.part_sender import WINDOW_BYTES

__all__ = ('RESERVE_WITHIN_S', 'CallUpload')

RESERVE_WITHIN_S = 0.5
"""Time for which a large request waits for its room; then it is refused, as its caller
may be served elsewhere."""


class CallUpload:
    """Collect a body, and tell its sender how much of it may come."""

    def __init__(
        self,
        budget: ByteBudget,
        count: int,
        on_granted: Callable[[], None],
        on_refused: Callable[[], None],
    ) -> None:
        """Create an upload; at first one window may come.

        Args:
            budget: Grants the room for it.
            count: Bytes of the body.
            on_granted: Called when there is room for all of it.
            on_refused: Called when there was none in time.
        """
        self._count = count
        self._buffer = BodyBuffer()
        self._told_limit = min(count, WINDOW_BYTES)
        self._on_refused = on_refused
        self._reservation = budget.reserve(count, on_granted)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(RESERVE_WITHIN_S, self._give_up)

    @property
    def is_granted(self) -> bool:
        """Return whether there is room for all of it."""
        return self._reservation.is_granted

    @property
    def received(self) -> int:
        """Return the bytes that have arrived."""
        return len(self._buffer)

    @property
    def told_limit(self) -> int:
        """Return the bytes that the sender may send so far."""
        return self._told_limit

    @property
    def is_whole(self) -> bool:
        """Return whether all bytes have arrived."""
        return self.is_granted and self.received == self._count

    def takes_more(self) -> bool:
        """Raise the limit if it is time to; return whether it was raised."""
        if not self.is_granted or self._told_limit == self._count:
            return False
        limit = min(self._count, self.received + WINDOW_BYTES)
        if limit < self._count and limit - self._told_limit < WINDOW_BYTES // 2:
            return False
        self._told_limit = limit
        return True

    def add(self, offset: int, content: bytes) -> bool:
        """Append a part; return whether it fits what is there."""
        if offset + len(content) <= self.received:
            return True
        if offset != self.received or offset + len(content) > self._told_limit:
            return False
        self._buffer.add(content)
        return True

    def body(self) -> Body:
        """Return the body; its room is held until ``release``."""
        return self._buffer.body()

    def release(self) -> None:
        """Give the room back."""
        self._timer.cancel()
        self._reservation.release()

    def _give_up(self) -> None:
        if not self.is_granted:
            self._on_refused()
