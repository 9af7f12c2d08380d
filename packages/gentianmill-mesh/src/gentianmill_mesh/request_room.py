"""Room for a large body that is read from a caller."""

import asyncio
from collections.abc import Callable

from gentianmill.byte_budget import SMALL_BYTES, ByteBudget, Reservation
from gentianmill_mesh.call_upload import RESERVE_WITHIN_S

__all__ = ('RequestRoom',)

STEP_BYTES = 1024 * 1024
"""Room that is reserved at once for a body of unknown length."""


class RequestRoom:
    """Reserve the bytes of one body: all at its head, or step by step.

    While it waits for room, the connection of the caller is not read.
    """

    def __init__(
        self,
        budget: ByteBudget,
        on_granted: Callable[[], None],
        on_refused: Callable[[], None],
    ) -> None:
        """Create a room without bytes.

        Args:
            budget: Grants the room.
            on_granted: Called when a wait has ended.
            on_refused: Called when there was no room in time.
        """
        self._budget = budget
        self._on_granted = on_granted
        self._on_refused = on_refused
        self._reserved = SMALL_BYTES
        self._reservations: list[Reservation] = []
        self._timer: asyncio.TimerHandle | None = None

    @property
    def is_waiting(self) -> bool:
        """Return whether there is no room yet."""
        return bool(self._reservations) and not self._reservations[-1].is_granted

    def reserve(self, length: int) -> None:
        """Reserve room for a body whose length is known; small ones need none."""
        if length > self._reserved:
            self._add(length)

    def grow(self, size: int) -> None:
        """Reserve more room if the bytes that have arrived need it."""
        if size > self._reserved and not self.is_waiting:
            self._add(max(STEP_BYTES, size - self._reserved))

    def release(self) -> None:
        """Give everything back."""
        self._stop_timer()
        for reservation in self._reservations:
            reservation.release()

    def _add(self, count: int) -> None:
        self._reserved += count
        self._reservations.append(self._budget.reserve(count, self._end_wait))
        if self.is_waiting:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(RESERVE_WITHIN_S, self._on_refused)

    def _end_wait(self) -> None:
        self._stop_timer()
        self._on_granted()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
