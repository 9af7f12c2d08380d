"""Budget of the repeats that reach a service, kept by the guards of its upstreams.

Each guard bounds the repeats at its own upstream by a ratio of the first arrivals
there. Whatever the guards of a service let in is then within the same ratio of all
first arrivals, however unevenly nodes send, and without a message between them.

That holds while each guard keeps its share of the load. Load that moves from one
upstream to another within a window would permit repeats at both, so first arrivals
count only as far as they still come.
"""

import dataclasses
from collections import deque
from types import MappingProxyType

from gentianmill.arrivals import Cause

USED_RATIO = 0.9
"""Part of the permitted ratio in use: first arrivals are counted where they arrive,
some 0.5 s after they are sent in a surge, which is 1 in 20 of a window of 10 s; as
much is kept for load that has just moved."""

RECENT_SHARE = 0.1
"""Part of the window whose first arrivals show how many still come."""

RECENT_FACTOR = 1.25
"""Fewer recent arrivals than this times the usual count as load that has moved; with
some 16 in the last second they vary by a quarter by chance."""

USED_SLACK = 0.5
"""Part of the permitted slack in use; a guard that starts anew gets its share anew."""

FEWEST_GUARDS = 8
"""Guards among which the slack is shared at least; a node knows few others while it
starts."""

ROOM = MappingProxyType(
    {Cause.hedge: 0.6, Cause.resend: 0.95, Cause.retry: 0.95, Cause.inherited: 1.0}
)
"""Part of the budget up to which repeats of a cause are let in. Calls of a repeat
that already runs come last, as refusing them wastes it."""

ORDINARY_ROOM = 0.95
"""Part of that up to which ordinary work may be sent again; the rest is kept for the
most important priority."""

SLOTS = 50
"""Steps in which the window moves; 1 in 50 is finer than the unused ratio."""


@dataclasses.dataclass(frozen=True, slots=True)
class RetryBudgetSettings:
    """Bound on the repeats that reach a service, over all its nodes."""

    ratio: float = 0.2
    """Repeats per first arrival in a window."""

    window_ms: float = 10_000.0
    slack: float = 0
    """Repeats in a window that are permitted besides."""


@dataclasses.dataclass(slots=True)
class _Slot:
    start_ms: float
    firsts: int = 0
    repeats: int = 0


class RepeatBudget:
    """Let repeats in as long as first arrivals permit them."""

    def __init__(self, settings: RetryBudgetSettings) -> None:
        """Create a budget without slack, as other guards are not known yet.

        Args:
            settings: The bound for the service.
        """
        self._settings = settings
        self._slack = float(0)
        self._slots: deque[_Slot] = deque()
        self._firsts = 0
        self._repeats = 0

    def share_slack(self, guards: int) -> None:
        """Set the number of guards of the service, which share the slack."""
        shared_by = max(guards, FEWEST_GUARDS)
        self._slack = self._settings.slack * USED_SLACK / shared_by

    def permits(self, cause: Cause, now_ms: float, *, ordinary: bool = False) -> bool:
        """Return whether an arrival is a first one or within the budget.

        Args:
            cause: Why the request arrives.
            now_ms: Current time.
            ordinary: Whether it is not of the most important priority.
        """
        if not cause.is_repeat:
            return True
        self._slot(now_ms)
        ratio = self._settings.ratio * USED_RATIO
        permitted = (self._lasting_firsts(now_ms) * ratio + self._slack) * ROOM[cause]
        if ordinary and cause is not Cause.inherited:
            permitted *= ORDINARY_ROOM
        return self._repeats + 1 <= permitted

    def admit(self, cause: Cause, now_ms: float, *, ordinary: bool = False) -> bool:
        """Count an arrival if it is permitted, and return whether it is.

        Args:
            cause: Why the request arrives.
            now_ms: Current time.
            ordinary: Whether it is not of the most important priority.
        """
        if not self.permits(cause, now_ms, ordinary=ordinary):
            return False
        slot = self._slot(now_ms)
        slot.firsts += not cause.is_repeat
        slot.repeats += cause.is_repeat
        self._firsts += not cause.is_repeat
        self._repeats += cause.is_repeat
        return True

    def _lasting_firsts(self, now_ms: float) -> float:
        """Return the first arrivals of a window, at the present rate if that is less."""
        oldest_ms = now_ms - self._settings.window_ms * RECENT_SHARE
        recent = 0
        for slot in reversed(self._slots):
            if slot.start_ms <= oldest_ms:
                break
            recent += slot.firsts
        return min(self._firsts, recent * RECENT_FACTOR / RECENT_SHARE)

    def _slot(self, now_ms: float) -> _Slot:
        """Return the slot of the present, after dropping those out of the window."""
        length_ms = self._settings.window_ms / SLOTS
        oldest_ms = now_ms - self._settings.window_ms - length_ms
        while self._slots and self._slots[0].start_ms <= oldest_ms:
            gone = self._slots.popleft()
            self._firsts -= gone.firsts
            self._repeats -= gone.repeats
        if not self._slots or now_ms - self._slots[-1].start_ms >= length_ms:
            self._slots.append(_Slot(now_ms))
        return self._slots[-1]
