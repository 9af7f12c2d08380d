"""How much memory a node may hold for others."""

import os
from pathlib import Path

from gentianmill.byte_budget import ByteBudget, HeldKind
from gentianmill_mesh.response_memory import MAX_BUFFERED_BYTES, ResponseMemory
from gentianmill_node.heap import return_free_memory
from gentianmill_node.logs import component

__all__ = ('NodeMemory',)

MARGIN_SHARE = 0.15
"""Part of the memory that is neither held for others nor taken by an idle node: parser
buffers, tasks, and what the allocator can't return at once."""

IDLE_BYTES = 45_000_000
"""Memory of an idle node, where the system does not tell it."""

SMALLEST_BUDGET_BYTES = 16_000_000

UNLIMITED_BYTES = 1_073_741_824
"""Budget of a node without a memory limit."""

WHOLE_SHARE = 0.25
MAX_WHOLE_BYTES = 32_000_000
"""Responses are collected until they are whole while they take less than this part of the
budget together, and less than this number of bytes."""

RETAINED_BYTES = 8_000_000
"""Memory that is neither held nor taken when idle, beyond which the allocator may keep
much of what was freed."""

SIZES_FILE = Path('/proc/self/statm')
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')

log = component('memory')


class NodeMemory:
    """The budget of a node, and that of the responses being received."""

    def __init__(self, limit_bytes: int | None) -> None:
        """Create the memory of a node that is idle now.

        Args:
            limit_bytes: Memory that the process may take, or None if it is not limited.
        """
        self._idle = _resident_bytes()
        self._returned = self._idle
        if limit_bytes is None:
            self._budget = ByteBudget(UNLIMITED_BYTES)
            self._responses = ResponseMemory(MAX_BUFFERED_BYTES, self._budget)
            return
        free_bytes = int(limit_bytes * (1 - MARGIN_SHARE)) - self._idle
        self._budget = ByteBudget(max(free_bytes, SMALLEST_BUDGET_BYTES))
        whole_bytes = min(int(self._budget.limit * WHOLE_SHARE), MAX_WHOLE_BYTES)
        self._responses = ResponseMemory(MAX_BUFFERED_BYTES, self._budget, whole_bytes)
        log.info(
            'Memory.', limit=limit_bytes, idle=self._idle, budget=self._budget.limit
        )

    def check(self) -> None:
        """Return free memory to the system after a time in which much was taken."""
        uncounted = _resident_bytes() - self._budget.held
        if uncounted > self._returned + RETAINED_BYTES:
            return_free_memory()
            uncounted = _resident_bytes() - self._budget.held
            self._returned = max(uncounted, self._idle)
        self._returned = max(min(self._returned, uncounted), self._idle)

    @property
    def budget(self) -> ByteBudget:
        """Return the limit on all that is held."""
        return self._budget

    @property
    def gauges(self) -> list[tuple[str, str, int]]:
        """Return name, description and value of each gauge."""
        budget = self._budget
        return [
            *(
                (f'held_bytes_{kind}', f'Bytes held: {kind}.', budget.held_of(kind))
                for kind in HeldKind
            ),
            ('held_bytes_limit', 'Bytes that may be held.', budget.limit),
            ('waiting_requests', 'Large requests that wait for room.', budget.waiting),
        ]

    @property
    def responses(self) -> ResponseMemory:
        """Return the limit on incomplete responses of the upstream."""
        return self._responses


def _resident_bytes() -> int:
    try:
        _, resident, *_ = SIZES_FILE.read_text().split()
    except (OSError, ValueError) as error:
        log.info('Resident memory not known.', error=repr(error))
        return IDLE_BYTES
    return int(resident) * PAGE_BYTES
